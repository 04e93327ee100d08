-- Guarantee P8: sassafrasctl reports the true result of a roll when two operators
-- race, when the response to its write is lost, when the platform cannot be reached
-- and when a gateway process is frozen.
local fleet = require("fleet")
local rolls = require("rolls")

local f = rolls.fleet()
local gateways = {f:add_gateway("entry-1"), f:add_gateway("entry-2")}

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

-- Returns how often each roll number was written to the head.
local function head_write_counts()
  local counts = {}
  for _, change in ipairs(fleet.get_json(f.platform_port, "/history")) do
    if change.key == "/sassafrascart/pulse/head" then
      local roll = json(change.value).roll
      counts[roll] = (counts[roll] or 0) + 1
    end
  end
  return counts
end

-- Each response takes 300 ms, so that both operators read the head before either
-- writes it.
fleet.control(f.platform_port, '{"delay_ms": 300}')
local racers = {}
for version = 1, 2 do
  racers[version] = ctl_start(version, DIR .. "/racer-" .. version .. ".log")
end
local codes = {exit_code(racers[1]), exit_code(racers[2])}
fleet.control(f.platform_port, '{"delay_ms": 0}')
table.sort(codes)
assert(codes[1] == 0 and codes[2] == 7, "exit codes of the winner and the loser: " .. codes[1] .. ", " .. codes[2])
assert(head_write_counts()[1] == 1 and not head_write_counts()[2], "roll 1 must be written once, and no roll 2")
local winner = f:must_ctl("status").head
local loser_log = fleet.read(DIR .. "/racer-" .. (3 - winner.version) .. ".log")
assert(loser_log:find("not done: another operator (" .. winner.writer .. ") was first: roll 1 put version "
       .. winner.version .. " in force", 1, true), "the loser's message does not name the winner: " .. loser_log)
rolls.wait_in_force(f, gateways, 1, 10000)

-- The response to the write is lost: sassafrasctl finds by reading back that the
-- write took effect.
fleet.control(f.platform_port, '{"fault_key": "/sassafrascart/pulse/head", "fault": "lose"}')
local report = f:must_ctl("roll", 2)
assert(report.roll == 2 and head_write_counts()[2] == 1, "roll 2 was not written exactly once")

-- The response is lost and the head cannot be read back: the result is unknown, and
-- the message says how to find out.
fleet.control(f.platform_port, '{"fault_key": "/sassafrascart/pulse/head", "fault": "lose"}')
local pid = ctl_start(1, DIR .. "/unknown.log")
fleet.wait_until("the head is written", 10000, function() return head_write_counts()[3] end)
fleet.control(f.platform_port, '{"mode": "down"}')
local code = exit_code(pid)
local text = fleet.read(DIR .. "/unknown.log")
local writer = text:match("with the writer (%S+)")
assert(code == 19 and writer and text:find("unknown: roll 3", 1, true),
       "no instructions for an unknown result: " .. code .. " " .. text)
fleet.control(f.platform_port, '{"mode": "ok"}')
local head = fleet.wait_until("status shows the head", 10000, function()
  local _, status = f:ctl("status")
  return status.head
end)
assert(head.writer == writer and head.roll == 3,
       "status does not show the writer of the roll")
-- The writer is also shown after another operator has rolled again.
f:must_ctl("roll", 2)
local listed = f:must_ctl("status").rolls
assert(#listed == 4 and listed[2].roll == 3 and listed[2].writer == writer,
       "status does not list the earlier rolls")
rolls.wait_in_force(f, gateways, 4, 10000)

-- Nothing listens at the platform's port: the roll was certainly not written.
local platform_port = f.platform_port
f.platform_port = free_port()
code, report = f:ctl("roll", 2)
assert(code == 15 and report.result == "not done", "unexpected result without a platform: " .. tostring(report.message))
f.platform_port = platform_port
assert(not head_write_counts()[5], "roll 5 was written")

-- A frozen gateway process delays sassafrasctl by no more than --wait-ms.
fleet.wait_until("status lists both gateway processes", 10000, function()
  return #f:must_ctl("status").processes == 2
end)
signal(gateways[2].pid, "STOP")
local rolled_ms = now_ms()
code, report = f:ctl("--wait-ms", "1500", "roll", 1)
assert(now_ms() - rolled_ms < 8000, "sassafrasctl waited too long for a frozen process")
assert(code == 22 and report.result == "done" and report.in_force == 1,
       "unexpected result with a frozen process: " .. code .. " " .. tostring(report.message))
signal(gateways[2].pid, "CONT")
rolls.wait_in_force(f, gateways, 5, 10000)
for _, process in ipairs(f:must_ctl("status").processes) do
  assert(process.answered and process.roll == 5 and process.took_ms >= 0,
         process.id .. " does not report roll 5 and when it came into force")
end
