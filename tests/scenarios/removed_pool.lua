-- A fleet in which a roll is about to remove the pool "draws" from the bundle.
local fleet = require("fleet")
local placement = require("placement")
local removed_pool = {}

-- Rolls a bundle with the pools "draws" (vm-a) and "orders" (vm-b). The bundle of the
-- next roll, 2, has no pool "draws", and its VM may serve "orders".
function removed_pool.fleet(deadline_ms)
  local f = fleet.new{flags = placement.FLAGS, backends = {
    {name = "vm-a", zone = "z1", rack = "r1"},
    {name = "vm-b", zone = "z2", rack = "r2"},
  }}
  local draws = {path = "/draws", pool = "draws", deadline_ms = deadline_ms}
  local orders = {path = "/orders", pool = "orders", deadline_ms = deadline_ms}
  for i = 1, 2 do f:add_gateway("entry-" .. i) end
  f:publish(1, {{name = "draws", vms = {"vm-a"}, floor = 1}, {name = "orders", vms = {"vm-b"}, floor = 1}},
            {draws, orders})
  f:publish(2, {{name = "orders", vms = {"vm-b", "vm-a"}, floor = 1}}, {orders})
  f:must_ctl("roll", 1)
  for _, gateway in pairs(f.gateways) do f:wait_serving(gateway) end
  return f
end

-- Starts requests of the pool "draws" at one gateway process; returns their
-- identifiers by test identifier.
function removed_pool.start_draws(f, count, run_ms, timeout_ms)
  local requests = {}
  for i = 1, count do
    local test_id = "draw-" .. i
    requests[test_id] = http_start{
      url = fleet.url(f.gateways["entry-1"].port, "/draws"), timeout_ms = timeout_ms,
      headers = {["x-test-id"] = test_id, ["x-run-ms"] = tostring(run_ms)}}
  end
  return requests
end

return removed_pool
