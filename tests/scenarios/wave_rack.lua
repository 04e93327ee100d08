-- A rack fails during a maintenance wave. The pool keeps its floor, the wave halts
-- and records the reason, the failed VMs are replaced from the spare pool, and the
-- wave continues only after a new roll.
local fleet = require("fleet")
local placement = require("placement")
local load = require("load")
local waves = require("waves")

local f = waves.new()
fleet.control(f.platform_port, '{"reboot_ms": 300, "list_lag_ms": 100}')
waves.publish(f, 1, true)
waves.publish(f, 2, true)
f:must_ctl("roll", 1)
for _, gateway in pairs(f.gateways) do f:wait_serving(gateway) end
local callers = load.new(f, "/draws", 60)
callers:wait("the first VM is maintained", 20000, function()
  return waves.record(f).maintained >= 1
end)

local failed_vms = waves.racks["r" .. SEED % 3 + 1]
local in_progress = callers:in_progress()
for _, vm in ipairs(failed_vms) do
  signal(f.backends[vm].pid, "KILL")
  fleet.control(f.platform_port, '{"vm": "' .. vm .. '", "state": "down", "breaks": true}')
end
local record = callers:wait("the wave halts", 20000, function()
  local newest = waves.record(f)
  return newest.status == "halted" and newest
end)
assert(record.reason == "max-failures" and #record.failed == 2, "wrong reason or wrong number of failed VMs")
local explained = f:must_ctl("explain", "wave", "nightly")
assert(explained.wave.reason == "max-failures" and explained.message:find("another roll"), explained.message)
local intents = #waves.intents(f)
callers:wait("the failed VMs are replaced", 20000, function()
  local rows, serving = placement.newest(f).rows, 0
  for vm, row in pairs(rows) do
    local is_failed = vm == failed_vms[1] or vm == failed_vms[2]
    if row.pool == "draws" and row.state == "serving" and not is_failed then serving = serving + 1 end
  end
  return serving >= 6
end)
callers:pause(1000)
assert(#waves.intents(f) == intents, "a halted wave started an action")
assert(waves.record(f).status == "halted", "the wave did not stay halted")

f:must_ctl("roll", 2)
callers:wait("the wave continues after the new roll", 20000, function()
  return #waves.intents(f) > intents
end)
for _, vm in ipairs(failed_vms) do
  f:restart_backend(vm)
  fleet.control(f.platform_port, '{"vm": "' .. vm .. '", "state": "live", "breaks": false}')
end
callers:wait("the wave is done after the rack has recovered", 40000, function()
  return waves.record(f).status == "done"
end)
callers:check_outcomes(in_progress)
local replaced = 0
for _, view in ipairs(placement.list(placement.history(f))) do
  for vm, row in pairs(view.rows) do
    if row.next == "draws" then
      assert(row.reason == "failure", vm .. " was added with reason " .. row.reason)
      replaced = replaced + 1
    end
  end
end
assert(replaced > 0, "no spare VM was added")
waves.check(f)

-- sassafrasctl explains the changes from the stored records.
local function has_reason(report, reason)
  for _, change in ipairs(report.changes) do
    if change.reason == reason then return true end
  end
end
local vm = f:must_ctl("explain", "vm", failed_vms[1])
assert(has_reason(vm, "failure") and has_reason(vm, "fill"), vm.message)
local pool = f:must_ctl("explain", "pool", "draws")
assert(has_reason(pool, "wave-done") and pool.message:find("6 VMs serve"), pool.message)
local roll = f:must_ctl("explain", "roll", 2)
assert(roll.record.version == 2 and roll.newest == 2 and #roll.not_in_force == 0 and has_reason(roll, "wave"), roll.message)
assert(f:must_ctl("explain", "roll", 1).message:find("followed by others"))
assert(f:ctl("explain", "roll", 3) ~= 0 and f:ctl("explain", "vm", "vm-none") ~= 0)
assert(f:ctl("explain", "wave", "none") ~= 0 and f:ctl("explain", "pool", "none") ~= 0)
