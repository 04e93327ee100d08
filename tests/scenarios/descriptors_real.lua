-- The floods of descriptors.lua at the limits of real machines, 4,100 and 8,192
-- descriptors, with as many connections.
local fleet = require("fleet")
local jobfleet = require("jobfleet")
local flood = require("flood")

local LIMITS = {4100, 8192}
local MODES = {"half", "idle", "drip", "header", "body", "upload", "reset"}
-- Share of a core in which the process opens and closes as many connections a second
-- as it has descriptors, and serves callers.
local CPU_SHARE_MAX = 0.5
local WARM_UP_MS, MODE_MS = 2000, 5000

local platform = jobfleet.new(SEED)
for _, limit in ipairs(LIMITS) do
  local process = platform:add_process(platform.port)
  process.descriptors_max = limit
  jobfleet.set(process, "limits.max_fds", tostring(limit))
  jobfleet.write_node_file(process)
  jobfleet.start(process)
  fleet.wait_until(process.name .. " is ready", 10000, function() return jobfleet.is_ready(process) end)
  for _, mode in ipairs(MODES) do
    local result = flood.run{platform = platform, process = process, port = process.front, mode = mode,
                             connections = limit, warm_up_ms = WARM_UP_MS, for_ms = MODE_MS}
    print(limit .. " descriptors, " .. flood.describe(mode, result))
    flood.check(mode, result, CPU_SHARE_MAX)
  end
  signal(process.pid, "KILL")
  fleet.wait_until("the process has ended", 5000, function() return exited(process.pid) end)
end

local final = platform:report()
assert(final.broken == 0, final.first)
