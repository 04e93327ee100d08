-- The floods of descriptors.lua at the port of a gateway process in proxy mode: its health
-- page answers, requests are served, it does not spin.
local fleet = require("fleet")
local flood = require("flood")

local DESCRIPTORS_MAX = 64
local FLOOD_CONNECTIONS = 200
local CPU_SHARE_MAX = 0.25
local MODE_MS = 1500

local f = fleet.new{backends = {{name = "vm-a", zone = "z1", rack = "r1"}}}
local gateway = f:add_gateway("entry-1", nil, {descriptors_max = DESCRIPTORS_MAX})
f:publish(1, {{name = "draws", vms = {"vm-a"}}}, {{path = "/draws", pool = "draws", deadline_ms = 3000}})
f:must_ctl("roll", 1)
f:wait_serving(gateway)

local sent = 0
-- Sends a request, in turn over HTTP/1.1 and HTTP/2.
local function submit()
  sent = sent + 1
  return {id = http_start{method = "POST", url = fleet.url(gateway.port, "/draws"), body = "x", timeout_ms = 3000,
                          fresh = 1, h2 = sent % 2, headers = {["x-test-id"] = "t" .. sent}}}
end

for _, mode in ipairs{"half", "idle", "drip", "header", "body", "upload", "reset"} do
  local result = flood.run{process = gateway, port = gateway.port, path = "/healthz", mode = mode, submit = submit,
                           probe = fleet.url(gateway.port, "/healthz"), connections = FLOOD_CONNECTIONS,
                           for_ms = MODE_MS}
  print(flood.describe(mode, result))
  flood.check(mode, result, CPU_SHARE_MAX)
end

-- Bodies that do arrive are requests in progress. Beside them others are served or refused
-- at once as not run, but not left without an answer.
local result = flood.run{process = gateway, port = gateway.port, path = "/healthz", mode = "fill", submit = submit,
                         probe = fleet.url(gateway.port, "/healthz"), connections = FLOOD_CONNECTIONS,
                         warm_up_ms = 3000, for_ms = MODE_MS}
print(flood.describe("fill", result))
for status in pairs(result.jobs) do
  assert(status == 200 or status == 503, "a request beside uploads got status " .. status)
end
assert(result.probes[200] and not result.probes[0], "the health page did not answer beside uploads")
