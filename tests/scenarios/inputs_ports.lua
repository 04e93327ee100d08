-- What strangers send to the listening ports of a process: half a request, a byte a
-- second, a header or a body without end, an aborted connection, and at the peer port
-- calls that are garbage or truncated. The process goes on serving, with bounded memory
-- and processor time.
local fleet = require("fleet")
local jobfleet = require("jobfleet")
local flood = require("flood")
math.randomseed(SEED)

local CONNECTIONS = 50
local MODE_MS = 700
local CPU_SHARE_MAX = 0.25
local MEMORY_GROWTH_MAX_KB = 16 * 1024
-- Bound of the process on a request's head, and what the flood sends of it in a second.
local HEAD_MAX_BYTES, HEADER_BYTES_PER_S = 32768, 20480
-- Bodies of 1 MB, which a VM with the least memory, 160 MB, could not hold.
local FILL_CONNECTIONS, FILL_MS, FILL_MEMORY_MAX_KB = 300, 5500, 128 * 1024
local PEER_DATAGRAMS = 2000
local AT_ONCE_MS = 1000

local platform = jobfleet.new(SEED)
local process = platform:add_process(platform.port)
jobfleet.start(process)
fleet.wait_until("the process is ready", 10000, function() return jobfleet.is_ready(process) end)

local ports = {
  {name = "callers", port = process.front, path = "/queue-0/none"},
  {name = "readiness", port = process.ready, path = "/-/readyz"},
  {name = "metrics", port = process.metrics, path = "/metrics"},
  {name = "peers", port = process.peer, path = "/"},
}
local memory_kb = flood.memory_kb(process, "VmHWM")
local memory_counts = flood.memory_counts(process)

for _, port in ipairs(ports) do
  for _, mode in ipairs{"half", "drip", "header", "body", "reset"} do
    local name = mode .. " at the port for " .. port.name
    -- At the other ports the bound on connections closes them first.
    local header = mode == "header" and port.name == "callers"
    local result = flood.run{platform = platform, process = process, port = port.port, path = port.path,
                             mode = mode, connections = CONNECTIONS,
                             for_ms = header and HEAD_MAX_BYTES * 1000 // HEADER_BYTES_PER_S + 2000 or MODE_MS}
    print(flood.describe(name, result))
    flood.check(name, result, CPU_SHARE_MAX)
    if mode == "header" then
      assert(result.closed > 0, name .. ": no connection was closed")
    elseif mode == "body" and port.name ~= "peers" then
      assert(result.line:match("status%-413 %d+"), name .. ": no 413")
    end
    assert(not memory_counts or result.memory_kb - memory_kb < MEMORY_GROWTH_MAX_KB,
           string.format("%s: memory grew from %d to %d KB", name, memory_kb, result.memory_kb))
  end
end

-- Bodies that do not end hold a bounded amount of memory.
local result = flood.run{platform = platform, process = process, port = process.front, mode = "fill",
                         connections = FILL_CONNECTIONS, for_ms = FILL_MS}
print(flood.describe("fill", result))
flood.check("fill", result, CPU_SHARE_MAX)
assert(not memory_counts or result.memory_kb < FILL_MEMORY_MAX_KB, "incomplete bodies took " .. result.memory_kb .. " KB")

-- The peer port of proxy mode gets datagrams.
local f = fleet.new{backends = {{name = "vm-a", zone = "z1", rack = "r1"}}}
local gateway = f:add_gateway("entry-1")
f:publish(1, {{name = "draws", vms = {"vm-a"}}}, {{path = "/draws", pool = "draws", deadline_ms = 5000}})
f:must_ctl("roll", 1)
f:wait_serving(gateway)
local socket, port = udp_open()
local peer = f:add_gateway("entry-2", {"--peer", "127.0.0.1:" .. port})
local genuine = fleet.wait_until("a heartbeat is received", 10000, function()
  local bytes = udp_receive(socket)
  return bytes and #bytes > 100 and bytes
end)

local function garbage()
  local bytes = {}
  for index = 1, math.random(0, 300) do bytes[index] = string.char(math.random(0, 255)) end
  return table.concat(bytes)
end
local function flipped()
  local at = math.random(1, #genuine)
  return genuine:sub(1, at - 1) .. string.char(math.random(0, 255)) .. genuine:sub(at + 1)
end
memory_kb = flood.memory_kb(gateway, "VmHWM")
for index = 1, PEER_DATAGRAMS do
  udp_send(socket, gateway.rpc, garbage())
  udp_send(socket, gateway.rpc, genuine:sub(1, index % #genuine))
  udp_send(socket, gateway.rpc, flipped())
  if index % 100 == 0 then
    local answer = fleet.http{method = "POST", url = fleet.url(gateway.port, "/draws"), body = "x",
                              headers = {["x-test-id"] = "t" .. index}, timeout_ms = AT_ONCE_MS}
    assert(answer.status == 200, "a request got " .. answer.status .. " during the datagrams")
  end
end
assert(not exited(gateway.pid) and not exited(peer.pid), "a gateway process ended")
assert(not memory_counts or flood.memory_kb(gateway, "VmHWM") - memory_kb < MEMORY_GROWTH_MAX_KB, "memory grew by the datagrams")

local final = platform:report()
assert(final.broken == 0, final.first)
