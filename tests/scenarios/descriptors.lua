-- Callers that take all descriptors of a process, send half requests or abort must not
-- keep it from serving others: its readiness port answers, jobs are accepted, it does not
-- spin, and half requests are closed after a bound.
local fleet = require("fleet")
local jobfleet = require("jobfleet")
local flood = require("flood")

local DESCRIPTORS_MAX = 64
local FLOOD_CONNECTIONS = 200
-- At 100 ticks a second; a process that spins in accept takes 0.4 of a core.
local CPU_SHARE_MAX = 0.25
local MODE_MS = 2500
local HALF_CONNECTIONS = 10
-- Bound of the process on the time to a complete head and on that for a part of a body,
-- which begins at a check, and its interval between checks.
local HALF_CLOSED_MS = 10000 + 2 * 1000

local platform = jobfleet.new(SEED)
local process = platform:add_process(platform.port)
process.descriptors_max = DESCRIPTORS_MAX
jobfleet.start(process)
-- A process with descriptors to spare closes half requests too.
local spare = platform:add_process(platform.port)
jobfleet.start(spare)
for _, started in ipairs(platform.processes) do
  fleet.wait_until(started.name .. " is ready", 10000, function() return jobfleet.is_ready(started) end)
end
local half_logs, half_began_ms = {}, now_ms()
for _, mode in ipairs{"half", "drip", "upload"} do
  half_logs[mode] = DIR .. "/flood.spare." .. mode
  spawn{"standin_flood", tostring(spare.front), tostring(HALF_CONNECTIONS), mode, log = half_logs[mode]}
end

for _, mode in ipairs{"half", "idle", "drip", "header", "body", "upload", "reset"} do
  local result = flood.run{platform = platform, process = process, port = process.front, mode = mode,
                           connections = FLOOD_CONNECTIONS, for_ms = MODE_MS}
  print(flood.describe(mode, result))
  flood.check(mode, result, CPU_SHARE_MAX)
end

-- Floods of the other ports take no descriptors of callers.
for name, port in pairs{["the readiness port"] = process.ready, ["the peer port"] = process.peer} do
  local result = flood.run{platform = platform, process = process, port = port, mode = "idle",
                           connections = FLOOD_CONNECTIONS, for_ms = MODE_MS}
  print(flood.describe("idle at " .. name, result))
  flood.check("idle at " .. name, result, CPU_SHARE_MAX)
end

for mode, log in pairs(half_logs) do
  fleet.wait_until(mode .. " requests are closed", math.max(1, half_began_ms + HALF_CLOSED_MS + 2000 - now_ms()),
                   function() return flood.closed(log) >= HALF_CONNECTIONS end)
end
assert(jobfleet.metric(spare, 'connections_half_sent_total{port="callers"}') >= 3 * HALF_CONNECTIONS)
assert(jobfleet.metric(process, 'connections_evicted_total{port="callers"}') > 0)

local final = platform:report()
assert(final.broken == 0, final.first)
