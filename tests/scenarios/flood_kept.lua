-- A flood of connections that never send a whole request takes all connections of a
-- process. The flood's own must give way, not the kept ones of callers that are served.
local fleet = require("fleet")
local jobfleet = require("jobfleet")

local CALLERS, PAUSE_MS, FLOOD_MS = 12, 200, 4000
local DESCRIPTORS_MAX, FLOOD = 256, 400

local platform = jobfleet.new(SEED)
local process = platform:add_process(platform.port)
process.descriptors_max = DESCRIPTORS_MAX
jobfleet.start(process)
fleet.wait_until("the process is ready", 10000, function() return jobfleet.is_ready(process) end)

local request = string.format("GET /queue-0/ HTTP/1.1\r\nhost: %s\r\n\r\n", jobfleet.QUEUE_HOST)

-- Sends a request on each connection; returns how many were answered.
local function call_all(connections)
  local answered = 0
  for _, fd in ipairs(connections) do tcp_send(fd, request) end
  for _, fd in ipairs(connections) do
    fleet.wait_until("a connection is answered or closed", 5000, function()
      local bytes = tcp_receive(fd)
      if bytes and bytes ~= "" then answered = answered + 1 end
      return bytes ~= ""
    end)
  end
  return answered
end

for _, mode in ipairs{"idle", "half", "drip"} do
  local connections = {}
  for i = 1, CALLERS do connections[i] = tcp_open(process.front) end
  fleet.pause(50)
  assert(call_all(connections) == CALLERS)
  local flood = spawn{"standin_flood", tostring(process.front), tostring(FLOOD), mode,
                      log = DIR .. "/flood.log"}
  local until_ms = now_ms() + FLOOD_MS
  while now_ms() < until_ms do
    fleet.pause(PAUSE_MS)
    local answered = call_all(connections)
    assert(answered == CALLERS, string.format("%s: %d of %d kept connections are left", mode,
                                              answered, CALLERS))
  end
  signal(flood, "KILL")
  fleet.wait_until("the flood ends", 2000, function() return exited(flood) end)
  for _, fd in ipairs(connections) do tcp_close(fd) end
end
