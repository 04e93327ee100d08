-- SIGHUP means that the settings file of a process in job mode has changed; the file may
-- also change without a signal. The process must read, check and apply it without ending,
-- keep the settings in force if the file is missing, incomplete or invalid, and go on
-- serving callers, also during a takeover and while it stops.
local fleet = require("fleet")
local jobfleet = require("jobfleet")

local PROCESSES = 3
-- The file is looked at every 1.25 s, and a change must have settled for one look.
local NOTICE_MS = 6000
local TAKEOVER_MS = 15000
local STOP_MS = 15000

local platform = jobfleet.new(SEED)
local processes = platform.processes
for _ = 1, PROCESSES do jobfleet.start(platform:add_process(platform.port)) end
for _, process in ipairs(processes) do
  fleet.wait_until(process.name .. " is ready", 10000, function() return jobfleet.is_ready(process) end)
end

local function assert_running()
  for _, process in ipairs(processes) do
    local code = exited(process.pid)
    assert(not code, process.name .. " ended with code " .. tostring(code))
  end
end

-- Submits a job to a process; returns whether it was accepted.
local function submit(process)
  local job = platform:create_job{pool = 0}
  platform:announce(job)
  local id, answer = jobfleet.call(process.front, "POST", job, job.body), nil
  fleet.wait_until("the call ends", 6000, function()
    answer = http_result(id)
    return answer
  end)
  platform:told(job, jobfleet.SUBMIT, answer.status)
  return answer.status
end

local function hang_up(process, count)
  for _ = 1, count do signal(process.pid, "HUP") end
end

local function reloads(process, result)
  return jobfleet.metric(process, string.format('settings_reloads_total{result="%s"}', result))
end

-- Runs an action that must lead to a reload with the given result.
local function expect_reload(process, result, what, action)
  local before = reloads(process, result)
  action()
  fleet.wait_until(what, NOTICE_MS, function()
    assert_running()
    return reloads(process, result) > before
  end)
  local status = submit(process)
  assert(status == 200, what .. ": a job was answered with " .. status)
end

local first = processes[1]

-- 1. Bursts of SIGHUP under load, with an unchanged file.
for _ = 1, 20 do
  for _, process in ipairs(processes) do
    hang_up(process, 5)
    local status = submit(process)
    assert(status == 200, "a job was answered with " .. status .. " during a burst of SIGHUP")
  end
end
assert_running()
assert(reloads(first, "ok") > 0 and jobfleet.metric(first, "settings_revision") == 1)

-- 2. Signals without a meaning do not end a process.
for _, name in ipairs{"PIPE", "USR1", "USR2", "ALRM"} do signal(first.pid, name) end
assert(submit(first) == 200)
assert_running()

-- 3. Settings that may change are applied, with and without a signal.
expect_reload(first, "ok", "SIGHUP applies a changed file", function()
  jobfleet.set(first, "bounds.status_s", "150")
  jobfleet.write_node_file(first)
  hang_up(first, 1)
end)
assert(jobfleet.metric(first, "settings_revision") == 2)
assert(fleet.read(first.log):find("bounds.status_s from (default) to 150", 1, true))
expect_reload(first, "ok", "a changed file is noticed without a signal", function()
  jobfleet.set(first, "limits.cpu_share", "0.5")
  jobfleet.write_node_file(first)
end)
assert(jobfleet.metric(first, "settings_revision") == 3)

-- 4. A setting that needs a restart stays as it is and is named.
expect_reload(first, "ok", "a setting that needs a restart is kept", function()
  jobfleet.set(first, "bounds.max_hold_ms", "9000")
  jobfleet.write_node_file(first)
  hang_up(first, 1)
end)
assert(jobfleet.metric(first, "settings_revision") == 3)
assert(jobfleet.event_count(first, "settings-need-restart") >= 1)
assert(fleet.read(first.log):find("bounds.max_hold_ms from (default) to 9000", 1, true))

-- 5. A file that is invalid, truncated or missing changes nothing.
local text = fleet.read(first.file)
local broken = {
  ["an invalid value"] = text:gsub("bounds.status_s=150", "bounds.status_s=soon"),
  ["a truncated file"] = text:sub(1, text:find("platform.address", 1, true) + 5),
  ["a file without a setting that it had"] = text:gsub("limits.cpu_share=0.5\n", ""),
  ["an empty file"] = "",
  ["a rate without calls to the store"] = text .. "platform.reads_per_s=0\n",
}
for what, content in pairs(broken) do
  expect_reload(first, "failed", what .. " is refused", function()
    fleet.write(first.file, content)
    hang_up(first, 3)
  end)
end
expect_reload(first, "failed", "a missing file is reported", function()
  os.remove(first.file)
  hang_up(first, 1)
end)
assert(jobfleet.metric(first, "settings_revision") == 3)
assert(jobfleet.event_count(first, "settings-reload-failed") >= 5)
expect_reload(first, "ok", "the valid file is read again", function() fleet.write(first.file, text) end)

-- 6. A takeover during bursts of SIGHUP: the others take over and accept jobs.
local owner
for index, process in ipairs(processes) do
  if jobfleet.metric(process, "is_owner") == 1 then owner = index end
end
assert(owner, "no process is the owner")
signal(processes[owner].pid, "KILL")
table.remove(processes, owner)
fleet.wait_until("a job is accepted after the takeover", TAKEOVER_MS, function()
  for _, process in ipairs(processes) do hang_up(process, 3) end
  assert_running()
  return submit(processes[1]) == 200
end)

-- 7. SIGHUP while a process stops does not interrupt the shutdown.
local stopping = processes[2]
signal(stopping.pid, "TERM")
local code
fleet.wait_until("the process stops", STOP_MS, function()
  code = exited(stopping.pid)
  if not code then hang_up(stopping, 2) end
  return code
end)
assert(code == 0, "the stopping process ended with code " .. code)

local final = platform:report()
assert(final.broken == 0, final.first)
