-- Callers of the soak that keep their connections open until the process is gone. Their
-- connections lead to the process itself, so only the process can close them. A whole
-- request without an answer is a failure unless the process was killed.
local jobfleet = require("jobfleet")
local soak_processes = require("soak_processes")

local soak_callers = {}
soak_callers.__index = soak_callers

-- Time limit of a caller; the process stops a call after 3 s.
local ANSWER_MS = 4000
-- A process that runs reads a request that has arrived within this time.
local READ_MS = 500
-- Until the exit of a process that closed a connection has been noticed.
local EXIT_NOTICE_MS = 1000
local PAUSE_MIN_MS, PAUSE_MAX_MS = 20, 400
-- After this many answers, on average, a caller opens another connection.
local FRESH_ONE_IN = 15

-- next_request() returns a request: method, job, and done(status, body), which gets the
-- status 0 if there is no answer.
function soak_callers.new(fail, next_request)
  return setmetatable({connections = {}, unresolved = {}, fail = fail, next_request = next_request,
                       answered = 0, unread = 0, killed = 0, unsent = 0,
                       idle_ended = 0}, soak_callers)
end

function soak_callers:add(process, count)
  for _ = 1, count do
    table.insert(self.connections, {process = process, next_ms = 0, received = ""})
  end
end

local function request_text(request)
  local body = request.method == "POST" and request.job.body or ""
  return string.format("%s /queue-%d/%s HTTP/1.1\r\nhost: %s\r\ncontent-length: %d\r\n\r\n%s",
                       request.method, request.job.pool, request.job.id, jobfleet.QUEUE_HOST,
                       #body, body)
end

-- Returns the status, the body and whether the connection ends, or nil if the answer is
-- not complete.
local function answer_parse(text)
  local head, rest = text:match("^(.-\r\n)\r\n(.*)$")
  if not head then return nil end
  local length = tonumber(head:lower():match("\r\ncontent%-length: *(%d+)"))
  if not length or #rest < length then return nil end
  return tonumber(head:match("^HTTP/1.1 (%d+)")), rest:sub(1, length),
         head:lower():find("\r\nconnection: *close") ~= nil
end

local function close(connection)
  if connection.fd then tcp_close(connection.fd) end
  connection.fd, connection.request, connection.received = nil, nil, ""
  connection.next_ms = now_ms() + math.random(PAUSE_MIN_MS, PAUSE_MAX_MS)
end

function soak_callers:report(lost, what)
  local request = lost.request
  self.fail(lost.run, string.format(
    "%s of job %s, sent at %s as request %d of its connection: %s", request.method,
    request.job.id, soak_processes.time_text(request.sent_ms), lost.number, what))
end

-- Decides on a whole request whose connection was closed. The system sends a reset if the
-- process left bytes unread; then the request must have arrived at the moment of its exit.
-- A connection that had ended before the request does not count, see begin().
function soak_callers:resolve(lost)
  local run, what = lost.run, nil
  if run.killed then
    self.killed = self.killed + 1
    return true
  end
  if lost.reason == "closed" then
    what = "the process read it and closed the connection"
  elseif run.ended_ms then
    -- Under a sanitizer a process looks for leaks after its orderly end, without reading.
    local stopped_ms = soak_processes.stopped_ms(run) or lost.closed_ms
    local ms = soak_processes.running_ms(run, lost.request.sent_ms, stopped_ms)
    if ms <= READ_MS then
      self.unread = self.unread + 1
      return true
    end
    what = string.format("not read by the process in %d ms before its exit", ms)
  elseif soak_processes.running_ms(run, lost.closed_ms, now_ms()) < EXIT_NOTICE_MS then
    return false
  else
    what = "the running process closed the connection: " .. lost.reason
  end
  self:report(lost, what)
  return true
end

-- Ends a connection whose request has no answer.
function soak_callers:lose(connection, reason)
  local request = connection.request
  if request and request.sent_ms then
    table.insert(self.unresolved, {request = request, run = connection.run, reason = reason,
                                   number = connection.number, closed_ms = now_ms()})
  elseif request then
    self.unsent = self.unsent + 1
  elseif not connection.run.ended_ms then
    self.idle_ended = self.idle_ended + 1
  end
  close(connection)
  if request then request.done(0, "") end
end

-- Prepares a request, which takes some milliseconds, and then looks whether the connection
-- is still open: a process may close an idle one at any time, see docs/CALLERS.md.
function soak_callers:begin(connection)
  local process = connection.process
  if process.run.ended_ms then return end
  local request = self.next_request()
  if connection.fd and not tcp_receive(connection.fd) then
    self.idle_ended = self.idle_ended + 1
    close(connection)
  end
  if not connection.fd then
    connection.fd, connection.run, connection.number = tcp_open(process.front), process.run, 0
  end
  connection.request, connection.text = request, request_text(request)
  connection.number = connection.number + 1
end

function soak_callers:send(connection)
  local sent, reason = tcp_send(connection.fd, connection.text)
  if not sent then return self:lose(connection, reason) end
  connection.text = connection.text:sub(sent + 1)
  if connection.text == "" then
    connection.request.sent_ms = now_ms()
    connection.request.cpu_wait_ms = soak_processes.cpu_wait_ms(connection.run)
  end
end

function soak_callers:receive(connection)
  local bytes, reason = tcp_receive(connection.fd)
  local request = connection.request
  if not bytes then return self:lose(connection, reason) end
  connection.received = connection.received .. bytes
  if not request then return end
  local status, body, ends = answer_parse(connection.received)
  if status then
    self.answered = self.answered + 1
    connection.request, connection.received = nil, ""
    connection.next_ms = now_ms() + math.random(PAUSE_MIN_MS, PAUSE_MAX_MS)
    if ends or math.random(FRESH_ONE_IN) == 1 then close(connection) end
    request.done(status, body)
  elseif request.sent_ms and not connection.run.killed
         and soak_processes.running_ms(connection.run, request.sent_ms, now_ms()) > ANSWER_MS then
    self:report({request = request, run = connection.run, number = connection.number},
                string.format("no answer in %d ms, in which the process waited %d ms for a CPU", ANSWER_MS,
                              soak_processes.cpu_wait_ms(connection.run) - request.cpu_wait_ms))
    close(connection)
    request.done(0, "")
  end
end

-- Drives all connections; new requests begin if more is true.
function soak_callers:step(more)
  for _, connection in ipairs(self.connections) do
    if connection.fd then self:receive(connection) end
    if more and not connection.request and now_ms() >= connection.next_ms then self:begin(connection) end
    if connection.request and not connection.request.sent_ms then self:send(connection) end
  end
  for i = #self.unresolved, 1, -1 do
    if self:resolve(self.unresolved[i]) then table.remove(self.unresolved, i) end
  end
end

-- Returns whether no request is without its answer or verdict.
function soak_callers:is_idle()
  for _, connection in ipairs(self.connections) do
    if connection.request then return false end
  end
  return #self.unresolved == 0
end

return soak_callers
