-- Responses to placement writes are lost after the writes took effect. The manager
-- must read the stored placement back: no VM may get two rows or skip a stage.
local fleet = require("fleet")
local placement = require("placement")

local f = fleet.new{flags = placement.FLAGS, backends = {
  {name = "vm-a", zone = "z1", rack = "r1"},
  {name = "vm-b", zone = "z2", rack = "r2"},
  {name = "vm-c", zone = "z1", rack = "r3"},
}}
for i = 1, 2 do f:add_gateway("entry-" .. i, {"--platform-timeout-ms", "100", "--lease-ttl-s", "3"}) end

local routes = {{path = "/draws", pool = "draws", deadline_ms = 200},
                {path = "/orders", pool = "orders", deadline_ms = 200}}
f:publish(1, {{name = "draws", vms = {"vm-a", "vm-b"}, floor = 1},
              {name = "orders", vms = {"vm-c"}, floor = 1}}, routes)
f:publish(2, {{name = "draws", vms = {"vm-a"}, floor = 1},
              {name = "orders", vms = {"vm-c", "vm-b"}, floor = 1}}, routes)
f:must_ctl("roll", 1)
for _, gateway in pairs(f.gateways) do f:wait_serving(gateway) end

local lost = 0
local LOSE = '{"fault_key": "/sassafrascart/placement", "fault": "lose"}'
for round, pool in ipairs{"orders", "draws", "orders"} do
  local number = placement.newest(f).number
  fleet.control(f.platform_port, LOSE)
  f:ctl("--wait-ms", "0", round == 2 and "rollback" or "roll", round == 2 and 1 or 2)
  fleet.wait_until("vm-b serves " .. pool, 20000, function()
    local newest = placement.newest(f)
    if newest.number > number then
      number, lost = newest.number, lost + 1
      fleet.control(f.platform_port, LOSE)
    end
    local row = newest.rows["vm-b"]
    return row and row.pool == pool and row.state == "serving"
  end)
end
assert(lost >= 9, "too few lost responses to placement writes: " .. lost)

local history = placement.history(f)
placement.check_managers(history)
placement.check_stages(placement.list(history))
placement.check_floors(placement.list(history), {draws = 1, orders = 1})
