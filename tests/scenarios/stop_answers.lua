-- A process in job mode that stops must not end before requests that are on their way to
-- it have been answered: those on connections opened shortly before, whose request arrives
-- some milliseconds later as over a network, and those that arrived while the process was
-- paused. Connections opened after it has stopped listening are refused.
local connections = require("connections")
local fleet = require("fleet")
local jobfleet = require("jobfleet")

local ROUNDS = 3
local KEPT = 8
local STOP_MS = 8000
-- After SIGTERM, shortly before the process ends if nothing is under way.
local PAUSE_AT_MS = 2000

local platform = jobfleet.new(SEED)
local processes = platform.processes
for _ = 1, 2 do jobfleet.start(platform:add_process(platform.port)) end

local function wait_ready(process)
  fleet.wait_until(process.name .. " is ready", 10000, function() return jobfleet.is_ready(process) end)
end
for _, process in ipairs(processes) do wait_ready(process) end

local job = platform:create_job{pool = 0}
platform:announce(job)
local submission = jobfleet.call(processes[1].front, "POST", job, job.body)
fleet.wait_until("the job is accepted", 6000, function() return http_result(submission) end)

local REQUEST = string.format("GET /queue-0/%s HTTP/1.1\r\nhost: %s\r\n\r\n", job.id, jobfleet.QUEUE_HOST)

local function start_again(process, code)
  assert(code == 0, process.name .. " ended with code " .. tostring(code))
  jobfleet.start(process)
  wait_ready(process)
end

-- 1. New connections throughout the stop.
local stop_cut, stop_answered = 0, 0
for round = 1, ROUNDS do
  local process = processes[1 + round % 2]
  local cut, answered, code = connections.during_stop(process.pid, process.front, REQUEST, STOP_MS)
  stop_cut, stop_answered = stop_cut + cut, stop_answered + answered
  start_again(process, code)
end
print(string.format("during %d stops %d requests were answered, %d cut", ROUNDS, stop_answered, stop_cut))

-- 2. Requests on kept connections that arrive while the stopping process is paused at
-- the time when it would end.
local pause_cut, pause_answered = 0, 0
for round = 1, ROUNDS do
  local process = processes[1 + round % 2]
  local kept = {}
  for index = 1, KEPT do kept[index] = connections.open(process.front, REQUEST, 0) end
  fleet.wait_until("the kept connections are used", 2000, function() return connections.step(kept) == 0 end)
  signal(process.pid, "TERM")
  fleet.pause(PAUSE_AT_MS + 40 * round)
  signal(process.pid, "STOP")
  fleet.pause(50)
  connections.send_again(kept)
  fleet.pause(300)
  signal(process.pid, "CONT")
  local cut, answered = connections.finish(kept, "the requests during the pause end")
  pause_cut, pause_answered = pause_cut + cut, pause_answered + answered
  local code
  fleet.wait_until(process.name .. " ends", STOP_MS, function()
    code = exited(process.pid)
    return code
  end)
  start_again(process, code)
end
print(string.format("during %d pauses %d requests were answered, %d cut", ROUNDS, pause_answered, pause_cut))

assert(stop_cut == 0, stop_cut .. " whole requests on new connections got no answer")
assert(pause_cut == 0, pause_cut .. " whole requests that arrived during a pause got no answer")
assert(stop_answered > 0 and pause_answered == ROUNDS * KEPT)
