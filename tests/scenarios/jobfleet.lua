-- Test fixture: the ESOA platform's stand-in with its emulated workers, and gateway
-- processes that run in job mode, each with a node file.
local fleet = require("fleet")

local jobfleet = {}
jobfleet.__index = jobfleet

local HOST = "127.0.0.1"
-- The number of the VM of a job that no VM runs.
local VMS_MAX = 400
-- Host name of the queues of the stand-in's configuration.
jobfleet.QUEUE_HOST = "jobs.example"

local BASE64 = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/"

local function base64(bytes)
  local out = {}
  for i = 1, #bytes, 3 do
    local a, b, c = bytes:byte(i, i + 2)
    local bits = a * 65536 + (b or 0) * 256 + (c or 0)
    for shift = 18, 0, -6 do
      local index = bits >> shift & 63
      table.insert(out, BASE64:sub(index + 1, index + 1))
    end
    if not c then out[#out] = "=" end
    if not b then out[#out - 1] = "=" end
  end
  return table.concat(out)
end

-- Starts the platform's stand-in, whose store refuses values over value_bytes if given;
-- size, if given, has pools, vms_per_pool and spare_vms, and may have processes: how many
-- processes get a port of the platform of their own, process_ports.
function jobfleet.new(seed, value_bytes, size)
  local self = setmetatable({processes = {}, port = free_port()}, jobfleet)
  local argv = {"standin_esoa", tostring(self.port), tostring(seed), tostring(value_bytes or 0),
                log = DIR .. "/platform.log"}
  for _, name in ipairs(size and {"pools", "vms_per_pool", "spare_vms"} or {}) do
    table.insert(argv, tostring(size[name]))
  end
  self.process_ports = {}
  for i = 1, size and size.processes or 0 do
    self.process_ports[i] = free_port()
    table.insert(argv, tostring(self.process_ports[i]))
  end
  spawn(argv)
  fleet.wait_until("the platform responds", 5000, function()
    return fleet.http{url = fleet.url(self.port, "/control/report")}.status == 200
  end)
  return self
end

-- Calls the stand-in's test interface; returns the decoded response.
function jobfleet:control(path, body)
  local answer = fleet.http{method = "POST", url = fleet.url(self.port, path), body = body}
  assert(answer.status == 200, path .. " failed: " .. (answer.error or answer.status))
  return json(answer.body)
end

-- Writes a key of the platform's store.
function jobfleet:write(key, value)
  self:control("/control/write", string.format('{"key":"%s","value":"%s"}', key, base64(value)))
end

function jobfleet:report() return fleet.get_json(self.port, "/control/report") end

-- Writes the node file of a process from its settings, a list of {name, value}.
function jobfleet.write_node_file(process)
  local lines = {}
  for _, setting in ipairs(process.settings) do table.insert(lines, setting[1] .. "=" .. setting[2]) end
  fleet.write(process.file, table.concat(lines, "\n") .. "\n")
end

-- Sets a setting of a process for the next write of its node file.
function jobfleet.set(process, name, value)
  for _, setting in ipairs(process.settings) do
    if setting[1] == name then
      setting[2] = value
      return
    end
  end
  table.insert(process.settings, {name, value})
end

-- Removes a setting of a process for the next write of its node file.
function jobfleet.unset(process, name)
  for i, setting in ipairs(process.settings) do
    if setting[1] == name then return table.remove(process.settings, i) end
  end
end

-- Adds a process whose calls to the platform go to platform_port. It is not started.
function jobfleet:add_process(platform_port)
  local index = #self.processes + 1
  local process = {name = "vm-entry-" .. index, index = index, front = free_port(), ready = free_port(),
                   metrics = free_port(), peer = free_port(), starts = 0}
  process.file = DIR .. "/" .. process.name .. ".conf"
  process.settings = {
    {"node", process.name}, {"zone", "zone-" .. index}, {"ip", HOST},
    {"listen.front", HOST .. ":" .. process.front}, {"listen.ready", HOST .. ":" .. process.ready},
    {"port_range", process.peer .. ",65535"}, {"platform.address", HOST .. ":" .. platform_port},
    {"cloud.address", HOST .. ":" .. platform_port}}
  self.processes[index] = process
  jobfleet.write_node_file(process)
  return process
end

-- Starts a process; the entries of options, if given, go to spawn().
function jobfleet.start(process, options)
  process.starts = process.starts + 1
  process.log = string.format("%s/%s.%d.log", DIR, process.name, process.starts)
  local argv = {"sassafrascartd", "--node-file", process.file, "--metrics-port",
                tostring(process.metrics), log = process.log,
                descriptors_max = process.descriptors_max}
  for name, value in pairs(options or {}) do argv[name] = value end
  process.pid = spawn(argv)
end

-- Returns whether the program has been loaded into a process and has blocked its signals:
-- SIGHUP, bit 0 of the mask, but not SIGQUIT, bit 2. On Arm a constructor of libcrypto
-- blocks both for a moment before main().
function jobfleet.blocks_signals(pid)
  local status = fleet.read("/proc/" .. pid .. "/status")
  local mask = tonumber(status:match("\nSigBlk:%s*%x*(%x)\n") or "0", 16)
  return status:find("^Name:%s*sassafrascartd\n") ~= nil and mask & 5 == 1
end

-- Waits without a pause until the program has blocked its signals; returns nil if it has
-- ended before that, or not come to it in time.
function jobfleet.wait_until_blocked(pid, timeout_ms)
  local deadline = now_ms() + timeout_ms
  repeat
    if jobfleet.blocks_signals(pid) then return true end
    local ended = fleet.read("/proc/" .. pid .. "/status"):match("\nState:%s*Z")
  until ended or now_ms() > deadline
end

function jobfleet.is_ready(process)
  return fleet.http{url = fleet.url(process.ready, "/-/readyz"), timeout_ms = 500}.status == 200
end

-- Returns the value of a metric of a process, or nil if it has none.
function jobfleet.metric(process, name)
  local page = fleet.http{url = fleet.url(process.metrics, "/metrics"), timeout_ms = 1000}
  for line in (page.body or ""):gmatch("[^\n]+") do
    local metric, value = line:match("^(%S+) (%S+)$")
    if metric == "sassafrascart_" .. name then return tonumber(value) end
  end
end

-- Returns how many log lines of a process have an event.
function jobfleet.event_count(process, event)
  local count = 0
  for _ in fleet.read(process.log):gmatch('"event":"' .. event:gsub("%-", "%%-") .. '"') do count = count + 1 end
  return count
end

-- Starts a call for a job at an entry port, with the key of a client account if given;
-- returns the number of the call. deadline_ms, if given, is what the caller says it waits.
function jobfleet.call(port, method, job, body, timeout_ms, key, deadline_ms)
  -- On a reused connection curl could silently resend a submission, as a second call.
  return http_start{method = method, body = body, timeout_ms = timeout_ms or 4000, fresh = method == "POST" and 1 or 0,
                    headers = {host = jobfleet.QUEUE_HOST, authorization = key and "Bearer " .. key,
                               ["x-sassafrascart-deadline-ms"] = deadline_ms and tostring(deadline_ms)},
                    url = fleet.url(port, "/queue-" .. job.pool .. "/" .. job.id)}
end

-- Registers a job with the stand-in: steps of `width` tasks. With `crash_after_ms` its first
-- task crashes its worker that long after its start.
function jobfleet:create_job(job)
  local created = self:control("/control/job", string.format(
    '{"pool":%d,"steps":%d,"width":%d,"cpu":%d,"work_ms":%d,"poison":%s,"crash_after_ms":%d,'
    .. '"fits_nowhere":%s}',
    job.pool, job.steps or 1, job.width or 1, job.cpu or 500, job.work_ms or 50, tostring(job.poison or false),
    job.crash_after_ms or 0, tostring(job.fits_nowhere or false)))
  job.number, job.id, job.body = created.job, created.id, created.body
  return job
end

-- Announces to the stand-in that a caller sends a job.
function jobfleet:announce(job) self:control("/control/sending", string.format('{"job":%d}', job.number)) end

-- Reports a response that a caller received to the stand-in, which checks it.
jobfleet.SUBMIT, jobfleet.STATE, jobfleet.CANCEL = 0, 1, 2
function jobfleet:told(job, verb, status, state)
  self:control("/control/told", string.format('{"job":%d,"verb":%d,"status":%d,"state":"%s"}',
                                              job.number, verb, status, state or ""))
end

-- Reports how many jobs of a pool's queue wait, as a process has told that was asked for it some
-- time ago; the stand-in checks it.
function jobfleet:waiting_told(pool, asked_ms_ago, waiting)
  self:control("/control/waiting", string.format('{"pool":%d,"asked_ms_ago":%d,"waiting":%d}', pool,
                                                 asked_ms_ago, waiting))
end

-- Injects a fault into a VM or, depending on its kind, into the whole platform or what a
-- process sees of it.
function jobfleet:fault(kind, vm, value, process)
  self:control("/control/fault", string.format('{"kind":"%s","vm":%d,"x":%d,"process":%d}', kind, vm, value,
                                               process or 0))
end

-- Returns the process with a port of its own that holds the owner key, or nil.
function jobfleet:owner() return self.processes[fleet.get_json(self.port, "/control/owner").process] end

-- Which answers of workers the fault "hold" holds; 0 sends those that were held.
jobfleet.HELD_POLLS, jobfleet.HELD_ORDERS = 1, 2

-- Returns the number of the VM that runs a job, or nil.
function jobfleet:vm_running(job)
  local vm = self:control("/control/where", string.format('{"job":%d}', job.number)).vm
  return vm < VMS_MAX and vm or nil
end

-- Starts a process and waits until it is ready.
function jobfleet:start_process()
  local process = self:add_process(self.port)
  jobfleet.start(process)
  fleet.wait_until("the process is ready", 8000, function() return jobfleet.is_ready(process) end)
  return process
end

-- Submits a job of one task and waits until it runs; returns the job and its VM.
function jobfleet:run_job(process, cpu, work_ms)
  local job = self:create_job{pool = 0, cpu = cpu, work_ms = work_ms}
  self:announce(job)
  local call = jobfleet.call(process.front, "POST", job, job.body)
  local vm = fleet.wait_until("the job runs", 3000, function() return self:vm_running(job) end)
  local answer = fleet.wait_until("the submission is answered", 3000, function() return http_result(call) end)
  self:told(job, jobfleet.SUBMIT, answer.status)
  assert(answer.status == 200, "the submission is not accepted")
  return job, vm
end

return jobfleet
