-- P8: a roll is in force everywhere within 10 s and never reverts: with a
-- silent platform on some entries, with the platform down straight after the
-- head was written, in an entry started during the outage, and after a
-- rollback.
local fleet = require("fleet")
local rolls = require("rolls")

local BOUND_MS = 10000

local f = rolls.fleet()
local silent = rolls.silent_platform()
local entries = {f:add_entry("entry-1"), f:add_entry("entry-2"), f:add_entry("entry-3")}
for index = 4, 5 do
  table.insert(entries, f:add_entry("entry-" .. index, rolls.silent_flags(silent, entries[1])))
end

f:must_ctl("roll", 1)
rolls.wait_in_force(f, entries, 1, BOUND_MS)
rolls.check_answers(f, entries, 1, "after roll 1")

fleet.control(f.platform_port, '{"fault_key": "/sassafrascart/pulse/head", "fault": "down"}')
local began = now_ms()
local code, report = f:ctl("roll", 2)
assert(report.result == "done", "roll 2: " .. tostring(report.message))
rolls.wait_in_force(f, entries, 2, math.max(BOUND_MS - (now_ms() - began), 0))
rolls.check_answers(f, entries, 2, "in the outage")

table.insert(entries, f:add_entry("entry-6", {"--peer", "127.0.0.1:" .. entries[2].rpc}))
rolls.wait_in_force(f, entries, 2, BOUND_MS)
rolls.check_answers(f, entries, 2, "started in the outage")

fleet.control(f.platform_port, '{"mode": "ok"}')
fleet.wait_until("the desk reads the platform", 10000, function()
  return f:ctl("status") == 0
end)
local back = f:must_ctl("rollback", 1)
assert(back.roll == 3 and back.version == 1, "a rollback is a new roll")
rolls.wait_in_force(f, entries, 3, BOUND_MS)
rolls.check_answers(f, entries, 1, "after the rollback")
