-- "sassafrasctl explain roll" works for every roll with a stored record, not only
-- for the newest: it reports writer, time and version, and which processes have
-- applied that roll or a later one.
local fleet = require("fleet")
local rolls = require("rolls")

local f = rolls.fleet()
local gateways = {f:add_gateway("entry-1"), f:add_gateway("entry-2")}
local before_ms = wall_ms()
local first = f:must_ctl("roll", 1)
f:must_ctl("roll", 2)
rolls.wait_in_force(f, gateways, 2, 10000)

local function check_explained(roll, version, in_force, not_in_force)
  local report = f:must_ctl("explain", "roll", roll)
  local record = report.record
  assert(record, report.message)
  assert(record.roll == roll and record.version == version, report.message)
  assert(#record.digest == 64 and report.message:find(record.digest, 1, true), report.message)
  assert(record.at_ms >= before_ms and record.at_ms <= wall_ms(), "the time of the roll is wrong")
  assert(#report.in_force == in_force and #report.not_in_force == not_in_force, report.message)
  return report
end

local older = check_explained(1, 1, 2, 0)
assert(older.record.writer == first.writer and older.record.digest == first.digest, older.message)
assert(older.message:find("followed by others up to 2", 1, true), older.message)
local newest = check_explained(2, 2, 2, 0)
assert(not newest.message:find("followed", 1, true), newest.message)
assert(newest.record.writer ~= first.writer, "two rolls have the same writer")

-- A process that does not respond is not counted as in force.
signal(gateways[2].pid, "STOP")
assert(check_explained(1, 1, 1, 1).not_in_force[1] == "entry-2")
signal(gateways[2].pid, "CONT")

-- A skipped roll number has no record; one above the head was never written.
local head = rolls.read_key(f, rolls.HEAD)
rolls.write_key(f, rolls.HEAD, (head:gsub('"roll":%s*2', '"roll":9')))
local code, absent = f:ctl("explain", "roll", 5)
assert(code ~= 0 and absent.error == "not-found" and absent.message:find("no record", 1, true), absent.message)
local above_code, above = f:ctl("explain", "roll", 10)
assert(above_code ~= 0 and above.message:find("never written", 1, true), above.message)
