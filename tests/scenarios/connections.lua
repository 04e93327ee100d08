-- Test fixture: callers' connections whose request follows some time after the connection
-- was opened, as over a network, and which tell a request that got no answer from one that
-- was never sent.
local fleet = require("fleet")

local connections = {}

-- Opens a connection on which a request is sent at a time.
function connections.open(port, request, send_at_ms)
  return {fd = tcp_open(port), request = request, send_at_ms = send_at_ms, text = ""}
end

local function is_done(connection) return connection.refused or connection.answered or connection.cut end

-- Whether the text has the end of a response with a body of the length that it states.
local function is_whole(text)
  local head, body = text:match("^(.-\r\n\r\n)(.*)$")
  if not head then return false end
  return #body >= tonumber(head:lower():match("content%-length:%s*(%d+)") or 0)
end

-- Advances a connection. Sets `refused` if the request could not be sent, `answered`, or
-- `cut`, the reason, if the connection ended after the whole request was sent.
local function step(connection)
  if is_done(connection) then return end
  if not connection.sent then
    if now_ms() < connection.send_at_ms then return end
    local sent = tcp_send(connection.fd, connection.request)
    connection.sent, connection.refused = sent == #connection.request, not sent
    return
  end
  local bytes, gone = tcp_receive(connection.fd)
  connection.text = connection.text .. (bytes or "")
  if is_whole(connection.text) then
    connection.answered = true
  elseif gone then
    connection.cut = gone
  end
end

-- Advances all connections of a list; returns how many are not done.
function connections.step(list)
  local pending = 0
  for _, connection in ipairs(list) do
    step(connection)
    if not is_done(connection) then pending = pending + 1 end
  end
  return pending
end

-- Sends the request of each answered connection of a list again.
function connections.send_again(list)
  for _, connection in ipairs(list) do
    connection.sent, connection.answered, connection.text = false, false, ""
    step(connection)
  end
end

-- Waits until all connections of a list are done and closes them; returns how many were
-- cut and how many answered.
function connections.finish(list, what)
  fleet.wait_until(what, 6000, function() return connections.step(list) == 0 end)
  local cut, answered = 0, 0
  for _, connection in ipairs(list) do
    if connection.cut then cut = cut + 1 end
    if connection.answered then answered = answered + 1 end
    tcp_close(connection.fd)
  end
  return cut, answered
end

-- Opens connections to a port while a process stops until it has ended; returns the
-- counts of connections.finish() and the exit code.
function connections.during_stop(pid, port, request, stop_ms)
  -- Time from the opening of a connection to its request, and between two connections.
  local delay_ms, interval_ms = 15, 3
  local list, next_open_ms, code = {}, now_ms(), nil
  signal(pid, "TERM")
  fleet.wait_until("the process ends", stop_ms, function()
    if now_ms() >= next_open_ms then
      next_open_ms = now_ms() + interval_ms
      table.insert(list, connections.open(port, request, now_ms() + delay_ms))
    end
    connections.step(list)
    code = exited(pid)
    return code
  end)
  local cut, answered = connections.finish(list, "the connections during the stop end")
  return cut, answered, code
end

return connections
