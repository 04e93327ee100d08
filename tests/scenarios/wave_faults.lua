-- A maintenance wave under load and faults. The manager is killed after it recorded
-- the intent to drain a VM and before the action took effect; responses to actions
-- are lost, so that the same action is sent again; the platform is down during the
-- wave. No action happens without an intent, the pool keeps its floor, and the wave
-- finishes.
local fleet = require("fleet")
local placement = require("placement")
local load = require("load")
local waves = require("waves")

local f = waves.new()
waves.publish(f, 1, false)
f:must_ctl("roll", 1)
for _, gateway in pairs(f.gateways) do f:wait_serving(gateway) end
local callers = load.new(f, "/draws", 40)
callers:pause(200 + SEED * 97 % 600)

fleet.control(f.platform_port, '{"refuses_actions": true, "reboot_ms": 300, "list_lag_ms": 100}')
waves.publish(f, 2, true)
f:must_ctl("roll", 2)
local intent = callers:wait("a drain is recorded and refused", 10000, function()
  local actions = waves.actions(f)
  return actions[1] and actions[1].action == "drain" and actions[1].intent
end)
local manager = placement.wait_manager(f)
callers:remove_gateway(manager)
local in_progress = callers:in_progress()
signal(manager.pid, "KILL")
f.gateways[manager.name] = nil
callers.per_s = 200
fleet.control(f.platform_port, '{"refuses_actions": false, "loses_actions": true}')
callers:wait("the next manager repeats the action under the same intent", 15000, function()
  for _, action in ipairs(waves.actions(f)) do
    if action.intent == intent and action.repeated then return true end
  end
end)
fleet.control(f.platform_port, '{"loses_actions": false}')
callers.per_s = 10
callers:wait("enough VMs are maintained", 20000, function() return waves.record(f).maintained >= 1 + SEED % 3 end)
fleet.control(f.platform_port, '{"mode": "down"}')
callers.per_s = 40
callers:pause(1500)
fleet.control(f.platform_port, '{"mode": "ok"}')
callers:wait("the wave is done", 40000, function() return waves.record(f).status == "done" end)

callers:check_outcomes(in_progress)
local rebooted = {}
for _, action in ipairs(waves.actions(f)) do
  if action.action == "reboot" and not action.refused and not action.repeated then
    assert(not rebooted[action.vm], action.vm .. " was rebooted twice")
    rebooted[action.vm] = true
  end
end
for i = 1, 6 do assert(rebooted["vm-" .. i], "vm-" .. i .. " was not maintained") end
waves.check(f)
