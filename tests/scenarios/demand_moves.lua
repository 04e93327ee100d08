-- A pool under lasting demand gets a VM of the spare pool; a burst moves none;
-- after lasting calm the VM goes back, but not before its minimum stay. With
-- an even seed the manager is killed meanwhile: the next one holds the size
-- and counts the stay from the start of its own term. Floors always hold.
local fleet = require("fleet")
local placement = require("placement")

local WINDOW_MS = 5000
local STAY_MS = WINDOW_MS * 15 / 10 -- at equal cost weights
local LASTING, BURST = 17, 48       -- requests at once; two VMs have 16 slots

local backends = {}
for i = 1, 5 do backends[i] = {name = "vm-" .. i, zone = "z" .. i % 3, rack = "r" .. i % 3} end
local f = fleet.new{flags = placement.FLAGS, backends = backends}
for i = 1, 3 do f:add_entry("entry-" .. i, {"--demand-window-ms", WINDOW_MS}) end
-- The first two VMs may not serve the spare pool, so that none but the VM
-- that came by demand can go back.
f:publish(1, {{name = "draws", vms = {"vm-1", "vm-2", "vm-3", "vm-4", "vm-5"}, target = 2, floor = 2, queue = 500},
              {name = "entries", vms = {"vm-3", "vm-4", "vm-5"}, target = 3, floor = 1, spare = true}},
          {{path = "/draws", pool = "draws", deadline_ms = 5000}})
f:must_ctl("roll", 1)
for _, entry in pairs(f.entries) do f:wait_serving(entry) end

local open, sent = {}, 0
local function send(run_ms)
  local names = {}
  for name in pairs(f.entries) do table.insert(names, name) end
  table.sort(names)
  sent = sent + 1
  open[http_start{url = fleet.url(f.entries[names[sent % #names + 1]].port, "/draws"), timeout_ms = 10000,
                  headers = {["x-test-id"] = "demand-" .. sent, ["x-run-ms"] = tostring(run_ms)}}] = true
end
local function in_progress()
  local count = 0
  for id in pairs(open) do
    if http_result(id) then open[id] = nil else count = count + 1 end
  end
  return count
end
local function pause(ms)
  local until_ms = now_ms() + ms
  fleet.wait_until("the pause ends", ms + 5000, function() return now_ms() >= until_ms end)
end

-- VMs that came to serve a pool and VMs that began to leave it, in order.
local function moves(pool)
  local arrived, left, before = {}, {}, {}
  for _, view in ipairs(placement.list(placement.history(f))) do
    for vm, row in pairs(view.rows) do
      local was = before[vm]
      local served = was and was.pool == pool and was.state == "serving"
      local change = {vm = vm, at_ms = view.at_ms, reason = row.reason}
      if row.pool == pool and row.state == "serving" and not served then table.insert(arrived, change) end
      if served and row.state ~= "serving" then table.insert(left, change) end
    end
    before = view.rows
  end
  return arrived, left
end

-- An observed window of calm, then a burst: no VM moves.
pause(WINDOW_MS * 1.2)
local calm = placement.newest(f).number
for _ = 1, BURST do send(150) end
fleet.wait_until("the burst ends", 10000, function() return in_progress() == 0 end)
pause(WINDOW_MS / 2)
assert(placement.newest(f).number == calm, "the burst changed the placement")
local arrived, left = moves("draws")
assert(#arrived == 2 and #left == 0, #arrived .. " arrived, " .. #left .. " left")

-- Lasting demand, through all processes.
fleet.wait_until("a third VM serves the pool", 40000, function()
  for _ = in_progress() + 1, LASTING do send(300) end
  return #moves("draws") >= 3
end)
arrived = moves("draws")
local came = arrived[3]
assert(came.reason == "demand", "it came by " .. came.reason)
fleet.wait_until("the last requests end", 10000, function() return in_progress() == 0 end)

local stays_from_ms = came.at_ms
if SEED % 2 == 0 then
  local manager = placement.wait_manager(f)
  signal(manager.pid, "KILL")
  f.entries[manager.name] = nil
  placement.wait_manager(f)
  for _, item in ipairs(placement.history(f)) do
    if item.key == "/sassafrascart/pulse/manager" and item.value then stays_from_ms = item.at_ms end
  end
end
fleet.wait_until("the VM goes back to the spare pool", 40000, function()
  local row = placement.newest(f).rows[came.vm]
  return row.pool == "entries" and row.state == "serving"
end)
arrived, left = moves("draws")
assert(#arrived == 3 and #left == 1, #arrived .. " arrived, " .. #left .. " left")
assert(left[1].vm == came.vm and left[1].reason == "return", left[1].vm .. " left by " .. left[1].reason)
local stayed_ms = left[1].at_ms - stays_from_ms
assert(stayed_ms >= STAY_MS, "it left after " .. stayed_ms .. " ms")

-- The desk tells both moves with the demand that they followed from.
local told = {}
for _, change in ipairs(f:must_ctl("explain", "vm", came.vm).changes) do
  if change.demand and change.state == "draining" then told[change.reason] = change.demand end
end
assert(told.demand and told.demand.reason == "demand" and told.demand.wanted == 3, "the growth is explained")
assert(told.demand.demand_milli > 14000, "demand " .. told.demand.demand_milli)
assert(told["return"] and told["return"].reason == "idle" and told["return"].wanted == 2, "the return is explained")

local list = placement.list(placement.history(f))
placement.judge_stages(list)
placement.judge_floors(list, {draws = 2, entries = 1})
placement.judge_managers(placement.history(f))
placement.judge_runs(f, list)
for id, count in pairs(f:runs_by_test_id()) do assert(count == 1, id .. " ran " .. count .. " times") end
