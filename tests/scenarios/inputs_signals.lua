-- Signals that have no meaning for a process do not end or stop it, at the owner and at
-- another process; callers are served, and jobs submitted before end. SIGHUP, SIGTERM
-- and SIGINT keep their meaning if they are ignored when the process starts, as after nohup.
local fleet = require("fleet")
local jobfleet = require("jobfleet")
local inputs = require("inputs")

local BURST = 3
local MEANINGLESS = {"PIPE", "USR1", "USR2", "ALRM", "VTALRM", "PROF", "POLL", "PWR", "CHLD", "URG", "WINCH",
                     "CONT", "TSTP", "TTIN", "TTOU", "XCPU", "XFSZ", "STKFLT", "RTMIN", "RTMAX"}

local run = inputs.new(4, {{ignored = "HUP"}, {ignored = "TERM"}, {}, {ignored = "INT"}})
local owner, other = run:find(true), run:find(false)
local before = run:submit(other, "before the signals", 1500)

-- 1. Signals without a meaning.
for _, name in ipairs(MEANINGLESS) do
  local jobs = {}
  for _, process in ipairs{owner, other} do
    table.insert(jobs, run:submit_start(process))
    for _ = 1, BURST do signal(process.pid, name) end
    table.insert(jobs, run:submit_start(process))
  end
  for _, job in ipairs(jobs) do
    local status = run:submit_finish(job)
    assert(status == 200, "SIG" .. name .. ": a job was answered with " .. status)
  end
  for _, process in ipairs{owner, other} do inputs.assert_running(process, "SIG" .. name) end
end
run:wait_job(other, before, "after the signals")

-- 2. SIGHUP of a process that was started with SIGHUP ignored.
local first = run.processes[1]
local ok = 'settings_reloads_total{result="ok"}'
local reloads = jobfleet.metric(first, ok)
signal(first.pid, "HUP")
fleet.wait_until("SIGHUP reads the settings", 6000, function() return jobfleet.metric(first, ok) > reloads end)
inputs.assert_running(first, "SIGHUP")

-- 3. SIGTERM and SIGINT of processes that were started with them ignored.
signal(run.processes[2].pid, "TERM")
signal(run.processes[4].pid, "INT")
assert(inputs.wait_end(run.processes[2]) == 0)
assert(inputs.wait_end(run.processes[4]) == 0)

-- 4. SIGQUIT ends a process at once; the others serve.
local third = run.processes[3]
signal(third.pid, "QUIT")
assert(inputs.wait_end(third) == -3)
fleet.wait_until("a job is accepted", 15000, function()
  local job = run:submit_start(first)
  return run:submit_finish(job) == 200
end)
run:finish()
