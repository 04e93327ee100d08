-- Guarantee P8: a roll is in force in all processes within 10 s and is never
-- reverted. Some gateway processes get no response from the platform and depend on
-- their peers, the platform goes down right after the head was written, another
-- process starts during the outage, and a rollback follows.
local fleet = require("fleet")
local rolls = require("rolls")

local DEADLINE_MS = 10000

local f = rolls.fleet()
local silent = rolls.silent_platform()
local gateways = {f:add_gateway("entry-1"), f:add_gateway("entry-2"), f:add_gateway("entry-3")}
for index = 4, 5 do
  table.insert(gateways, f:add_gateway("entry-" .. index, rolls.silent_flags(silent, gateways[1])))
end

f:must_ctl("roll", 1)
rolls.wait_in_force(f, gateways, 1, DEADLINE_MS)
rolls.check_answers(f, gateways, 1, "after roll 1")

fleet.control(f.platform_port, '{"fault_key": "/sassafrascart/pulse/head", "fault": "down"}')
local rolled_ms = now_ms()
local code, report = f:ctl("roll", 2)
assert(report.result == "done", "roll 2: " .. tostring(report.message))
rolls.wait_in_force(f, gateways, 2, math.max(DEADLINE_MS - (now_ms() - rolled_ms), 0))
rolls.check_answers(f, gateways, 2, "in the outage")

table.insert(gateways, f:add_gateway("entry-6", {"--peer", "127.0.0.1:" .. gateways[2].rpc}))
rolls.wait_in_force(f, gateways, 2, DEADLINE_MS)
rolls.check_answers(f, gateways, 2, "started in the outage")

fleet.control(f.platform_port, '{"mode": "ok"}')
fleet.wait_until("sassafrasctl reads the platform", 10000, function()
  return f:ctl("status") == 0
end)
local rollback = f:must_ctl("rollback", 1)
assert(rollback.roll == 3 and rollback.version == 1, "the rollback did not become roll 3 of version 1")
rolls.wait_in_force(f, gateways, 3, DEADLINE_MS)
rolls.check_answers(f, gateways, 1, "after the rollback")
