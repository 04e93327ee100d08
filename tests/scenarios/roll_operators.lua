-- P8: two operators race, answers are lost after the write, a call sends
-- nothing, an entry is frozen: each time the desk says what is true.
local fleet = require("fleet")
local rolls = require("rolls")

local f = rolls.fleet()
local entries = {f:add_entry("entry-1"), f:add_entry("entry-2")}

local function ctl_start(version, log)
  return spawn{"sassafrasctl", "--platform", "127.0.0.1:" .. f.platform_port,
               "--operator-key", DIR .. "/desk.public.pem", "roll", tostring(version), log = log}
end

local function exit_code(pid)
  local code
  fleet.wait_until("sassafrasctl ends", 20000, function()
    code = code or exited(pid)
    return code
  end)
  return code
end

-- How often each roll number was written to the head.
local function heads()
  local counts = {}
  for _, change in ipairs(fleet.get_json(f.platform_port, "/history")) do
    if change.key == "/sassafrascart/pulse/head" then
      local roll = json(change.value).roll
      counts[roll] = (counts[roll] or 0) + 1
    end
  end
  return counts
end

-- Both read the head before either writes: each answer takes 300 ms.
fleet.control(f.platform_port, '{"delay_ms": 300}')
local racers = {}
for version = 1, 2 do
  racers[version] = ctl_start(version, DIR .. "/racer-" .. version .. ".log")
end
local codes = {exit_code(racers[1]), exit_code(racers[2])}
fleet.control(f.platform_port, '{"delay_ms": 0}')
table.sort(codes)
assert(codes[1] == 0 and codes[2] == 7, "one wins, one is told: " .. codes[1] .. ", " .. codes[2])
assert(heads()[1] == 1 and not heads()[2], "one roll was written")
local winner = f:must_ctl("status").head
local loser_log = fleet.read(DIR .. "/racer-" .. (3 - winner.version) .. ".log")
assert(loser_log:find("not done: another operator (" .. winner.writer .. ") was first: roll 1 put version "
       .. winner.version .. " in force", 1, true), "the loser is told who won: " .. loser_log)
rolls.wait_in_force(f, entries, 1, 10000)

-- The answer to the write is lost: reading back tells that it was done.
fleet.control(f.platform_port, '{"fault_key": "/sassafrascart/pulse/head", "fault": "lose"}')
local report = f:must_ctl("roll", 2)
assert(report.roll == 2 and heads()[2] == 1, "written once and known to be done")

-- The answer is lost and nothing can be read back: unknown, and how to find out.
fleet.control(f.platform_port, '{"fault_key": "/sassafrascart/pulse/head", "fault": "lose"}')
local pid = ctl_start(1, DIR .. "/unknown.log")
fleet.wait_until("the head is written", 10000, function() return heads()[3] end)
fleet.control(f.platform_port, '{"mode": "down"}')
local code = exit_code(pid)
local text = fleet.read(DIR .. "/unknown.log")
local writer = text:match("with the writer (%S+)")
assert(code == 19 and writer and text:find("unknown: roll 3", 1, true),
       "unknown says how to find out: " .. code .. " " .. text)
fleet.control(f.platform_port, '{"mode": "ok"}')
local head = fleet.wait_until("status answers it", 10000, function()
  local _, status = f:ctl("status")
  return status.head
end)
assert(head.writer == writer and head.roll == 3, "status shows who wrote the roll")
-- Also after another operator rolled on.
f:must_ctl("roll", 2)
local listed = f:must_ctl("status").rolls
assert(#listed == 4 and listed[2].roll == 3 and listed[2].writer == writer, "status lists the rolls before")
rolls.wait_in_force(f, entries, 4, 10000)

-- Nothing was sent: provably not done.
local good_port = f.platform_port
f.platform_port = free_port()
code, report = f:ctl("roll", 2)
assert(code == 15 and report.result == "not done", "nothing listens: " .. tostring(report.message))
f.platform_port = good_port
assert(not heads()[5], "no roll 5")

-- A frozen entry delays the desk no longer than it may wait.
fleet.wait_until("both entries are members again", 10000, function()
  return #f:must_ctl("status").processes == 2
end)
signal(entries[2].pid, "STOP")
local began = now_ms()
code, report = f:ctl("--wait-ms", "1500", "roll", 1)
assert(now_ms() - began < 8000, "the desk does not hang")
assert(code == 22 and report.result == "done" and report.in_force == 1,
       "pending: " .. code .. " " .. tostring(report.message))
signal(entries[2].pid, "CONT")
rolls.wait_in_force(f, entries, 5, 10000)
for _, process in ipairs(f:must_ctl("status").processes) do
  assert(process.answered and process.roll == 5 and process.took_ms >= 0,
         process.id .. " has roll 5 in force since a known time")
end
