-- Scaling by demand. Sustained demand moves a VM from the spare pool to a pool, a
-- short burst does not. After sustained low demand the VM returns, but not before
-- its minimum stay. With an even seed the manager is killed while the VM stays:
-- its successor keeps the pool's size and measures the stay from the start of its
-- own term. No pool may fall below its floor.
local fleet = require("fleet")
local placement = require("placement")

local WINDOW_MS = 5000
local STAY_MS = WINDOW_MS * 15 / 10 -- minimum stay at equal cost weights
local SUSTAINED, BURST = 17, 48       -- concurrent requests; two VMs have 16 slots

local backends = {}
for i = 1, 5 do backends[i] = {name = "vm-" .. i, zone = "z" .. i % 3, rack = "r" .. i % 3} end
local f = fleet.new{flags = placement.FLAGS, backends = backends}
for i = 1, 3 do f:add_gateway("entry-" .. i, {"--demand-window-ms", WINDOW_MS}) end
-- The first two VMs may not serve the spare pool, so only the VM that was added by
-- demand can return to it.
f:publish(1, {{name = "draws", vms = {"vm-1", "vm-2", "vm-3", "vm-4", "vm-5"}, target = 2, floor = 2, queue = 500},
              {name = "entries", vms = {"vm-3", "vm-4", "vm-5"}, target = 3, floor = 1, spare = true}},
          {{path = "/draws", pool = "draws", deadline_ms = 5000}})
f:must_ctl("roll", 1)
for _, gateway in pairs(f.gateways) do f:wait_serving(gateway) end

local pending, sent = {}, 0
local function send(run_ms)
  local names = {}
  for name in pairs(f.gateways) do table.insert(names, name) end
  table.sort(names)
  sent = sent + 1
  pending[http_start{url = fleet.url(f.gateways[names[sent % #names + 1]].port, "/draws"), timeout_ms = 10000,
                  headers = {["x-test-id"] = "demand-" .. sent, ["x-run-ms"] = tostring(run_ms)}}] = true
end
local function in_progress()
  local count = 0
  for id in pairs(pending) do
    if http_result(id) then pending[id] = nil else count = count + 1 end
  end
  return count
end

-- VMs that started to serve a pool and VMs that stopped serving it, each in order.
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

-- A burst after a full demand window without load: no VM moves.
fleet.pause(WINDOW_MS * 1.2)
local idle_number = placement.newest(f).number
for _ = 1, BURST do send(150) end
fleet.wait_until("the burst ends", 10000, function() return in_progress() == 0 end)
fleet.pause(WINDOW_MS / 2)
assert(placement.newest(f).number == idle_number, "the burst changed the placement")
local arrived, left = moves("draws")
assert(#arrived == 2 and #left == 0, #arrived .. " arrived, " .. #left .. " left")

-- Sustained demand, spread over all gateway processes.
fleet.wait_until("a third VM serves the pool", 40000, function()
  for _ = in_progress() + 1, SUSTAINED do send(300) end
  return #moves("draws") >= 3
end)
arrived = moves("draws")
local added = arrived[3]
assert(added.reason == "demand", "the VM was added with reason " .. added.reason)
fleet.wait_until("the last requests end", 10000, function() return in_progress() == 0 end)

local stay_started_ms = added.at_ms
if SEED % 2 == 0 then
  local manager = placement.wait_manager(f)
  signal(manager.pid, "KILL")
  f.gateways[manager.name] = nil
  placement.wait_manager(f)
  for _, item in ipairs(placement.history(f)) do
    if item.key == "/sassafrascart/pulse/manager" and item.value then stay_started_ms = item.at_ms end
  end
end
fleet.wait_until("the VM goes back to the spare pool", 40000, function()
  local row = placement.newest(f).rows[added.vm]
  return row.pool == "entries" and row.state == "serving"
end)
arrived, left = moves("draws")
assert(#arrived == 3 and #left == 1, #arrived .. " arrived, " .. #left .. " left")
assert(left[1].vm == added.vm and left[1].reason == "return", left[1].vm .. " left with reason " .. left[1].reason)
local stayed_ms = left[1].at_ms - stay_started_ms
assert(stayed_ms >= STAY_MS, "the VM left after " .. stayed_ms .. " ms, minimum " .. STAY_MS)

-- sassafrasctl explains both moves by the demand that caused them.
local explained = {}
for _, change in ipairs(f:must_ctl("explain", "vm", added.vm).changes) do
  if change.demand and change.state == "draining" then explained[change.reason] = change.demand end
end
assert(explained.demand and explained.demand.reason == "demand" and explained.demand.wanted == 3,
       "the move to the pool is not explained")
assert(explained.demand.demand_milli > 14000, "demand " .. explained.demand.demand_milli)
assert(explained["return"] and explained["return"].reason == "idle" and explained["return"].wanted == 2,
       "the return is not explained")

local list = placement.list(placement.history(f))
placement.check_stages(list)
placement.check_floors(list, {draws = 2, entries = 1})
placement.check_managers(placement.history(f))
placement.check_runs(f, list)
for id, count in pairs(f:runs_by_test_id()) do assert(count == 1, id .. " ran " .. count .. " times") end
