-- Fencing: the manager is frozen until its lease has expired, its successor moves
-- a VM, the old manager resumes. No write of the old manager may succeed. Two
-- rounds, each with a new roll.
local fleet = require("fleet")
local placement = require("placement")

local f = fleet.new{flags = placement.FLAGS, backends = {
  {name = "vm-a", zone = "z1", rack = "r1"},
  {name = "vm-b", zone = "z2", rack = "r2"},
  {name = "vm-c", zone = "z1", rack = "r3"},
}}
for i = 1, 3 do f:add_gateway("entry-" .. i) end

local routes = {{path = "/draws", pool = "draws", deadline_ms = 2000},
                {path = "/orders", pool = "orders", deadline_ms = 2000}}
f:publish(1, {{name = "draws", vms = {"vm-a", "vm-b"}, floor = 1},
              {name = "orders", vms = {"vm-c"}, floor = 1}}, routes)
f:publish(2, {{name = "draws", vms = {"vm-a"}, floor = 1},
              {name = "orders", vms = {"vm-c", "vm-b"}, floor = 1}}, routes)
f:must_ctl("roll", 1)
for _, gateway in pairs(f.gateways) do f:wait_serving(gateway) end

for round, pool in ipairs{"orders", "draws"} do
  local old = placement.wait_manager(f)
  f:ctl("--wait-ms", "0", round == 2 and "rollback" or "roll", round == 2 and 1 or 2)
  fleet.wait_until("vm-b drains", 5000, function()
    local row = placement.newest(f).rows["vm-b"]
    return row and row.state == "draining"
  end)
  -- Freezes the manager once it has received all confirmations and waits for a
  -- response of the platform, so that it tries to write as soon as it resumes.
  poll(1300 + SEED * 37 % 200)
  fleet.control(f.platform_port, '{"delay_ms": 500}')
  poll(250)
  signal(old.pid, "STOP")
  fleet.control(f.platform_port, '{"delay_ms": 0}')
  local new = placement.wait_manager(f, old)
  local moved = placement.wait_serving(f, "vm-b", pool)
  signal(old.pid, "CONT")
  f:wait_serving(old, moved.number)
  fleet.wait_until("the old manager has resigned", 10000, function()
    local status = f:status(old)
    return status and not status.manager
  end)
  assert(f:status(new).manager, new.name .. " is no longer the manager")
end

local history = placement.history(f)
placement.check_managers(history)
placement.check_stages(placement.list(history))
placement.check_floors(placement.list(history), {draws = 1, orders = 1})
