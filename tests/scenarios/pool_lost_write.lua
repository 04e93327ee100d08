-- Answers to placement writes are lost after the writes took effect: the
-- manager reads what is there, and no VM ever has two rows or skips a stage.
local fleet = require("fleet")
local placement = require("placement")

local f = fleet.new{flags = placement.FLAGS, backends = {
  {name = "vm-a", zone = "z1", rack = "r1"},
  {name = "vm-b", zone = "z2", rack = "r2"},
  {name = "vm-c", zone = "z1", rack = "r3"},
}}
for i = 1, 2 do f:add_entry("entry-" .. i, {"--platform-timeout-ms", "100", "--lease-ttl-s", "3"}) end

local routes = {{path = "/draws", pool = "draws", deadline_ms = 200},
                {path = "/orders", pool = "orders", deadline_ms = 200}}
f:publish(1, {{name = "draws", vms = {"vm-a", "vm-b"}, floor = 1},
              {name = "orders", vms = {"vm-c"}, floor = 1}}, routes)
f:publish(2, {{name = "draws", vms = {"vm-a"}, floor = 1},
              {name = "orders", vms = {"vm-c", "vm-b"}, floor = 1}}, routes)
f:must_ctl("roll", 1)
for _, entry in pairs(f.entries) do f:wait_serving(entry) end

local lost = 0
for round, pool in ipairs{"orders", "draws", "orders"} do
  f:ctl("--wait-ms", "0", round == 2 and "rollback" or "roll", round == 2 and 1 or 2)
  fleet.wait_until("vm-b serves " .. pool, 20000, function()
    local before = placement.newest(f)
    local row = before.rows["vm-b"]
    if row and row.pool == pool and row.state == "serving" then return true end
    fleet.control(f.platform_port, '{"mode": "lose-writes"}')
    poll(150)
    if placement.newest(f).number > before.number then lost = lost + 1 end
    fleet.control(f.platform_port, '{"mode": "ok"}')
    poll(150)
  end)
end
assert(lost > 0, "no placement write was lost")

local history = placement.history(f)
placement.judge_managers(history)
placement.judge_stages(placement.list(history))
placement.judge_floors(placement.list(history), {draws = 1, orders = 1})
