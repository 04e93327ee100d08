-- Test fixture: floods a port of a process in job mode while honest callers use it, and
-- measures what they and the process see.
local fleet = require("fleet")
local jobfleet = require("jobfleet")

local flood = {}

-- Interval of the honest callers' jobs and of the probes of the readiness port.
local HONEST_INTERVAL_MS = 100
local TICKS_PER_S = 100

-- Processor time of a process so far, in ms.
local function cpu_ms(pid)
  local stat = fleet.read("/proc/" .. pid .. "/stat"):match("%)(.*)$")
  local field, user, system = 0, 0, 0
  for word in stat:gmatch("%S+") do
    field = field + 1
    if field == 12 then user = tonumber(word) end
    if field == 13 then system = tonumber(word) end
  end
  return (user + system) * 1000 / TICKS_PER_S
end

-- Returns a field of /proc/PID/status in KB, such as VmHWM.
function flood.memory_kb(process, field)
  return tonumber(fleet.read("/proc/" .. process.pid .. "/status"):match(field .. ":%s*(%d+) kB"))
end

-- Returns whether memory figures are those of the program: AddressSanitizer keeps freed
-- memory.
function flood.memory_counts(process)
  return not fleet.read("/proc/" .. process.pid .. "/maps"):find("libasan", 1, true)
end

-- Returns the last line of a flood's log, and how many connections were closed on it.
function flood.last_line(log) return fleet.read(log):match("([^\n]*)\n$") or "" end
function flood.closed(log) return tonumber(flood.last_line(log):match("closed (%d+)") or 0) end

local function submit(platform, process)
  local job = platform:create_job{pool = 0}
  platform:announce(job)
  return {job = job, id = jobfleet.call(process.front, "POST", job, job.body)}
end

-- Floods options.port for options.for_ms, while honest requests are sent and the process is
-- probed; options.submit and options.probe replace the jobs and the readiness page of job
-- mode. Returns counts of answers by status, the flood's last line and the share of a core
-- that the process took.
function flood.run(options)
  local process = options.process
  local log = string.format("%s/flood.%d.%s", DIR, options.port, options.mode)
  local result = {jobs = {}, probes = {}, slowest_ms = 0}
  local open = {}
  local function collect()
    for index = #open, 1, -1 do
      local call = open[index]
      local answer = http_result(call.id)
      if answer then
        table.remove(open, index)
        local counts = call.probe and result.probes or result.jobs
        counts[answer.status] = (counts[answer.status] or 0) + 1
        if answer.error then result.error = answer.error end
        result.slowest_ms = math.max(result.slowest_ms, answer.took_ms)
        if call.job then options.platform:told(call.job, jobfleet.SUBMIT, answer.status) end
      end
    end
  end
  local pid = spawn{"standin_flood", tostring(options.port), tostring(options.connections), options.mode,
                    options.path or "/queue-0/none", log = log}
  poll(options.warm_up_ms or 500)
  local began_ms, began_cpu_ms = now_ms(), cpu_ms(process.pid)
  while now_ms() < began_ms + options.for_ms do
    table.insert(open, options.submit and options.submit() or submit(options.platform, process))
    table.insert(open, {probe = true, id = http_start{url = options.probe or fleet.url(process.ready, "/-/readyz"),
                                                      timeout_ms = 1000, fresh = 1}})
    poll(HONEST_INTERVAL_MS)
    collect()
    assert(not exited(process.pid), "the process ended during " .. options.mode)
  end
  result.cpu_share = (cpu_ms(process.pid) - began_cpu_ms) / (now_ms() - began_ms)
  fleet.wait_until("all calls have ended", 6000, function()
    collect()
    return #open == 0
  end)
  result.line = flood.last_line(log)
  result.closed = flood.closed(log)
  result.memory_kb = flood.memory_kb(process, "VmHWM")
  signal(pid, "KILL")
  fleet.wait_until("the flood has ended", 2000, function() return exited(pid) end)
  return result
end

local function counts_text(counts)
  local words = {}
  for status, count in pairs(counts) do table.insert(words, count .. " x " .. status) end
  return table.concat(words, ", ")
end

function flood.describe(name, result)
  return string.format("%s: jobs %s; probes %s; slowest %d ms; processor %.3f; VmHWM %d KB; flood: %s", name,
                       counts_text(result.jobs), counts_text(result.probes), result.slowest_ms,
                       result.cpu_share, result.memory_kb, result.line)
end

-- All jobs were accepted, all probes answered with 200, and the process did not spin.
function flood.check(name, result, cpu_share_max)
  for what, counts in pairs{jobs = result.jobs, probes = result.probes} do
    assert(counts[200], name .. ": no " .. what .. " were answered")
    for status, count in pairs(counts) do
      assert(status == 200, string.format("%s: %d %s got status %d, %s", name, count, what, status, result.error or ""))
    end
  end
  assert(result.cpu_share <= cpu_share_max,
         string.format("%s: the process took %.2f of a core", name, result.cpu_share))
end

return flood
