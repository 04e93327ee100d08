-- Fixture of the scenarios for maintenance waves: a pool of six VMs in three zones
-- and a spare pool of three.

local fleet = require("fleet")
local placement = require("placement")
local waves = {}

waves.FLOOR = 3

local backends, racks = {}, {}
for i = 1, 6 do
  local zone = (i - 1) % 3 + 1
  backends[i] = {name = "vm-" .. i, zone = "z" .. zone, rack = "r" .. zone}
  racks["r" .. zone] = racks["r" .. zone] or {}
  table.insert(racks["r" .. zone], "vm-" .. i)
end
for i = 7, 9 do backends[i] = {name = "vm-" .. i, zone = "z" .. (i - 6), rack = "s" .. (i - 6)} end
waves.racks = racks

local POOL = {"vm-1", "vm-2", "vm-3", "vm-4", "vm-5", "vm-6", "vm-7", "vm-8", "vm-9"}
local SPARE = POOL

function waves.new(flags)
  local f = fleet.new{flags = placement.FLAGS, backends = backends}
  for i = 1, 3 do
    f:add_gateway("entry-" .. i, {"--vm-list-lag-ms", "400", "--dispatch-window-ms", "3000", "--maintenance-timeout-ms", "6000",
                                  table.unpack(flags or {})})
  end
  return f
end

-- Publishes a bundle, optionally with a wave whose window is open all day.
function waves.publish(f, version, wave)
  f.waves_text = wave and "waves:\n  - {name: nightly, opens: \"00:00\", closes: \"24:00\", "
    .. "pools: [draws], max_parallel: 2, max_failures: 2}" or nil
  f:publish(version, {{name = "draws", vms = POOL, target = 6, floor = waves.FLOOR, survive = "zone",
                       queue = 500},
                      {name = "entries", vms = SPARE, target = 3, spare = true}},
            {{path = "/draws", pool = "draws", deadline_ms = 1000}})
end

-- Returns the latest stored record of the wave.
function waves.record(f)
  local record
  for _, item in ipairs(placement.history(f)) do
    if item.key == "/sassafrascart/wave/nightly" and item.value then record = json(item.value) end
  end
  return record or {status = "none", maintained = 0}
end

-- Identifiers of all intents written so far, oldest first.
function waves.intents(f)
  local ids, seen = {}, {}
  for _, item in ipairs(placement.history(f)) do
    local id = item.key:match("^/sassafrascart/intent/(.*)")
    if id and not seen[id] then
      seen[id] = true
      table.insert(ids, id)
    end
  end
  return ids
end

function waves.actions(f)
  return fleet.get_json(f.platform_port, "/actions")
end

-- At most limit VMs are under maintenance at the same time.
function waves.check_parallel(list, limit)
  for _, view in ipairs(list) do
    local count = 0
    for _, row in pairs(view.rows) do
      if row.reason == "wave" and row.state ~= "serving" then count = count + 1 end
    end
    assert(count <= limit, count .. " VMs under maintenance in placement " .. view.number)
  end
end

-- Runs all checks of the recorded placements, intents and actions.
function waves.check(f)
  local history = placement.history(f)
  local list = placement.list(history)
  placement.check_managers(history)
  placement.check_stages(list)
  placement.check_floors(list, {draws = waves.FLOOR})
  placement.check_runs(f, list)
  waves.check_parallel(list, 2)
  assert(placement.check_intents(f, history) > 0, "the platform received no action on a VM")
end

return waves
