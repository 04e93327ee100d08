-- A gateway process is frozen with queued requests while a roll moves a VM to another
-- pool. When the process resumes, its view of the placement is stale but still within
-- the dispatch window, which exceeds the deadlines of the old pool's requests. The
-- process must not send requests of the old pool, queued before or received while it
-- was frozen, to the moved VM.
local fleet = require("fleet")
local placement = require("placement")

local f = fleet.new{flags = placement.FLAGS, backends = {
  {name = "vm-a", zone = "z1", rack = "r1"},
  {name = "vm-b", zone = "z2", rack = "r2"},
  {name = "vm-c", zone = "z1", rack = "r3"},
}}
for i = 1, 3 do f:add_gateway("entry-" .. i, {"--dispatch-window-ms", "3000"}) end

local routes = {{path = "/draws", pool = "draws", deadline_ms = 1000},
                {path = "/orders", pool = "orders", deadline_ms = 1000}}
f:publish(1, {{name = "draws", vms = {"vm-a", "vm-b"}, floor = 1},
              {name = "orders", vms = {"vm-c"}, floor = 1}}, routes)
f:publish(2, {{name = "draws", vms = {"vm-a"}, floor = 1},
              {name = "orders", vms = {"vm-c", "vm-b"}, floor = 1}}, routes)
f:must_ctl("roll", 1)
for _, gateway in pairs(f.gateways) do f:wait_serving(gateway) end

local manager = placement.wait_manager(f)
local frozen
for _, gateway in pairs(f.gateways) do
  if gateway ~= manager then frozen = gateway end
end

-- Fills the slots of both VMs and the queue of the process that will be frozen.
local requests = {}
for i = 1, 60 do
  requests[i] = http_start{method = "GET", url = fleet.url(frozen.port, "/draws"), timeout_ms = 15000,
                           headers = {["x-test-id"] = "draw-" .. i, ["x-run-ms"] = "200"}}
end
fleet.wait_until("requests run", 5000, function()
  return fleet.get_json(f.backends["vm-b"].port, "/stats").running > 0
end)
signal(frozen.pid, "STOP")
for i = 61, 100 do
  requests[i] = http_start{url = fleet.url(frozen.port, "/draws"), timeout_ms = 15000,
                           headers = {["x-test-id"] = "late-draw-" .. i}}
end
poll(50)

f:ctl("--wait-ms", "0", "roll", 2)
local moved = placement.wait_serving(f, "vm-b", "orders")
local others = {}
for _, gateway in pairs(f.gateways) do
  if gateway ~= frozen then table.insert(others, gateway) end
end
for i, gateway in ipairs(others) do
  f:wait_serving(gateway, moved.number)
  for j = 1, 2 do
    local answer = fleet.http{url = fleet.url(gateway.port, "/orders"),
                              headers = {["x-test-id"] = "order-" .. i .. "-" .. j}}
    assert(answer.status == 200, "a request to the pool orders failed: " .. answer.status)
  end
end

signal(frozen.pid, "CONT")
for _, id in ipairs(requests) do
  fleet.wait_until("the queued requests end", 20000, function() return http_result(id) end)
end
f:wait_serving(frozen, moved.number)

local orders = 0
for _, run in ipairs(f:runs()) do
  if run.vm == "vm-b" and run.test_id:find("draw") then
    assert(run.at_ms < moved.at_ms, run.test_id .. " ran on vm-b " ..
           (run.at_ms - moved.at_ms) .. " ms after it served orders")
  end
  if run.vm == "vm-b" and run.test_id:find("order") then orders = orders + 1 end
end
assert(orders > 0, "vm-b served no requests of the pool orders")
local history = placement.history(f)
placement.check_stages(placement.list(history))
placement.check_floors(placement.list(history), {draws = 1, orders = 1})
