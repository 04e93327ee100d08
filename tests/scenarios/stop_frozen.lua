-- A process that stops is paused by SIGSTOP shortly before it would end. Requests that
-- arrive on its open connections meanwhile must be answered once it goes on.
local fleet = require("fleet")
local jobfleet = require("jobfleet")

local CALLERS, ROUNDS = 8, 4

local platform = jobfleet.new(SEED)
local processes = platform.processes
for _ = 1, 2 do jobfleet.start(platform:add_process(platform.port)) end
for _, process in ipairs(processes) do
  fleet.wait_until(process.name .. " is ready", 10000, function() return jobfleet.is_ready(process) end)
end

local function request(job)
  return string.format("GET /queue-0/%s HTTP/1.1\r\nhost: %s\r\n\r\n", job.id, jobfleet.QUEUE_HOST)
end

local job = platform:create_job{pool = 0}
platform:announce(job)
local id = jobfleet.call(processes[1].front, "POST", job, job.body)
fleet.wait_until("the job is accepted", 6000, function() return http_result(id) end)

-- Returns the status of the answer on a connection, or nil and why there is none.
local function receive(fd)
  local text, reason = "", nil
  fleet.wait_until("a connection is answered or closed", 6000, function()
    local bytes, gone = tcp_receive(fd)
    text, reason = text .. (bytes or ""), gone
    return gone or text:find("\r\n\r\n.*}$")
  end)
  return text:match("^HTTP/1.1 (%d+)"), reason
end

local unanswered = 0
for round = 1, ROUNDS do
  local process = processes[1 + round % 2]
  local fds = {}
  for i = 1, CALLERS do
    fds[i] = tcp_open(process.front)
    fleet.wait_until("a request is sent", 1000, function() return tcp_send(fds[i], request(job)) > 0 end)
    assert(receive(fds[i]))
  end
  signal(process.pid, "TERM")
  fleet.pause(2150 + 40 * round)
  signal(process.pid, "STOP")
  fleet.pause(100)
  for i = 1, CALLERS do assert(tcp_send(fds[i], request(job))) end
  fleet.pause(300)
  signal(process.pid, "CONT")
  for i = 1, CALLERS do
    local status, reason = receive(fds[i])
    if not status then
      unanswered = unanswered + 1
      print(string.format("round %d, connection %d: no answer, %s", round, i, reason))
    end
    tcp_close(fds[i])
  end
  fleet.wait_until("the process ends", 8000, function() return exited(process.pid) end)
  jobfleet.start(process)
  fleet.wait_until(process.name .. " is ready", 10000, function() return jobfleet.is_ready(process) end)
end
assert(unanswered == 0, unanswered .. " requests were not answered")
