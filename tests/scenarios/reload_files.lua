-- The node file of a process in job mode may be replaced by something that is no settings
-- file. Opening a FIFO or reading an endless or huge file must neither hold up callers, the
-- ready port and SIGTERM nor use up the memory; the settings in force stay in force.
local fleet = require("fleet")
local jobfleet = require("jobfleet")

-- The file is looked at every 1.25 s, and a change must have settled for one look.
local NOTICE_MS = 6000
local ANSWER_MS = 1000
local START_MS = 5000
local STOP_MS = 15000
local GROWTH_MAX_KB = 32 * 1024

local platform = jobfleet.new(SEED)
local process = platform:add_process(platform.port)
jobfleet.start(process)
fleet.wait_until("the process is ready", 10000, function() return jobfleet.is_ready(process) end)
local valid = fleet.read(process.file)

local function memory_kb()
  return tonumber(fleet.read("/proc/" .. process.pid .. "/status"):match("VmHWM:%s+(%d+) kB"))
end

local function hang_up() signal(process.pid, "HUP") end

-- A caller and the load balancer's probe are answered in time.
local function assert_served(what)
  local code = exited(process.pid)
  assert(not code, what .. ": the process ended with code " .. tostring(code))
  local job = platform:create_job{pool = 0}
  platform:announce(job)
  local began = now_ms()
  local id, answer = jobfleet.call(process.front, "POST", job, job.body), nil
  fleet.wait_until(what .. ": the call ends", 6000, function()
    answer = http_result(id)
    return answer
  end)
  platform:told(job, jobfleet.SUBMIT, answer.status)
  local took = now_ms() - began
  assert(answer.status == 200 and took <= ANSWER_MS,
         string.format("%s: a job was answered with %d after %d ms", what, answer.status, took))
  assert(jobfleet.is_ready(process), what .. ": the ready port does not answer")
end

local function expect_reload(result, what, action)
  local name = string.format('settings_reloads_total{result="%s"}', result)
  local before = jobfleet.metric(process, name)
  action()
  fleet.wait_until(what .. " leads to a reload", NOTICE_MS, function()
    assert_served(what)
    return (jobfleet.metric(process, name) or 0) > before
  end)
end

local function expect_error(what, found)
  local last
  for line in fleet.read(process.log):gmatch("[^\n]+") do
    if line:find('"event":"settings-reload-failed"', 1, true) then last = line end
  end
  assert(last and last:find(process.file, 1, true) and last:find(found, 1, true),
         what .. ": the log line does not say '" .. found .. "': " .. tostring(last))
end

-- Signals are left to the thread that runs the event loop.
for path in io.popen("ls /proc/" .. process.pid .. "/task"):lines() do
  local status = fleet.read("/proc/" .. process.pid .. "/task/" .. path .. "/status")
  local blocked = tonumber(status:match("SigBlk:%s+(%x+)"), 16)
  for _, signo in ipairs{1, 2, 15} do
    assert(blocked & (1 << (signo - 1)) ~= 0, "a thread does not block signal " .. signo)
  end
end

local function huge_write()
  local line = "bounds.status_s=150\n"
  fleet.write(process.file, valid .. line:rep(50 * 1000 * 1000 // #line))
end

local cases = {
  {"a FIFO without a signal", "found a FIFO", function() fifo_create(process.file) end},
  {"a FIFO and SIGHUP", "found a FIFO", function() fifo_create(process.file); hang_up() end},
  {"a link to /dev/zero", "found a character device",
   function() link_create("/dev/zero", process.file); hang_up() end},
  {"a link to a directory", "found a directory", function() link_create(DIR, process.file); hang_up() end},
  {"50 MB of valid lines", "found more than 65536 bytes", function() huge_write(); hang_up() end},
  {"a dangling link", "No such file", function() link_create(DIR .. "/missing", process.file); hang_up() end},
}
for _, case in ipairs(cases) do
  local what, found, action = table.unpack(case)
  local memory_before_kb = memory_kb()
  expect_reload("failed", what, action)
  expect_error(what, found)
  local growth_kb = memory_kb() - memory_before_kb
  assert(growth_kb <= GROWTH_MAX_KB, string.format("%s: the process grew by %d kB", what, growth_kb))
  expect_reload("ok", "the valid file after " .. what, function()
    os.remove(process.file)
    fleet.write(process.file, valid)
    hang_up()
  end)
end
assert(jobfleet.metric(process, "settings_revision") == 1)

expect_reload("ok", "a changed file", function()
  jobfleet.set(process, "bounds.status_s", "150")
  jobfleet.write_node_file(process)
end)
assert(jobfleet.metric(process, "settings_revision") == 2)

-- A start with such a file ends with a message.
local function expect_start_refused(what, found, create)
  local file, log = DIR .. "/start.conf", DIR .. "/start.log"
  os.remove(file)
  os.remove(log)
  create(file)
  local pid = spawn{"sassafrascartd", "--node-file", file, log = log}
  local code
  fleet.wait_until("the start with " .. what .. " ends", START_MS, function()
    code = exited(pid)
    return code
  end)
  local text = fleet.read(log)
  assert(code == 2, "the start with " .. what .. " ended with code " .. code)
  assert(text:find(file, 1, true) and text:find(found, 1, true), text)
end

expect_start_refused("a FIFO", "found a FIFO", fifo_create)
expect_start_refused("an endless file", "found a character device",
                     function(file) link_create("/dev/zero", file) end)
expect_start_refused("a file that is too large", "found more than 65536 bytes",
                     function(file) fleet.write(file, valid:rep(65536 // #valid + 1)) end)

expect_reload("failed", "a FIFO at the end", function() fifo_create(process.file) end)
signal(process.pid, "TERM")
local code
fleet.wait_until("the process stops", STOP_MS, function()
  code = exited(process.pid)
  return code
end)
assert(code == 0, "the stopping process ended with code " .. code)

local final = platform:report()
assert(final.broken == 0, final.first)
