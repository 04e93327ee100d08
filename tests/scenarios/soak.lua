-- Runs jobs under random faults, chosen by the seed. Processes are killed, frozen and
-- stopped; relays delay, reset or stall the connections of callers and those to the
-- platform; workers crash; the store is unavailable, slow or loses responses. The
-- platform stand-in checks its rules throughout, and every accepted job must end once
-- the faults are over.
local fleet = require("fleet")
local jobfleet = require("jobfleet")

local PROCESSES = 3
local FAULTS_MS = 12000
-- Long enough for the lease of a frozen owner to expire, for the takeover and for the
-- longest delayed order.
local SETTLE_MS = 40000
local JOB_EVERY_MS = 60
local FAULT_EVERY_MS = 600
local SUBMIT_ATTEMPTS, RETRY_DELAY_MS = 5, 800
local ENDED = {succeeded = true, failed = true, canceled = true}

math.randomseed(SEED)
local random = math.random

local platform = jobfleet.new(SEED)

local processes, relays = platform.processes, {}

-- Starts a relay to a target port; returns the relay's port.
local function relay_to(target, name)
  local relay = {port = free_port(), file = DIR .. "/" .. name .. ".mode"}
  fleet.write(relay.file, "pass")
  spawn{"standin_relay", tostring(relay.port), tostring(target), relay.file,
        log = DIR .. "/" .. name .. ".log"}
  table.insert(relays, relay)
  return relay.port
end

local function start(process)
  process.unavailable = false
  jobfleet.start(process)
end

for i = 1, PROCESSES do
  local process = platform:add_process(relay_to(platform.port, "vm-entry-" .. i .. "-platform"))
  process.callers = relay_to(process.front, process.name .. "-callers")
  start(process)
end

local jobs, calls = {}, {}

-- Scheduled callbacks: {at_ms, callback}.
local scheduled = {}
local function schedule(ms, callback) table.insert(scheduled, {now_ms() + ms, callback}) end

-- Sends a caller's request; done gets the response, with status 0 if there is none.
local function call(method, job, body, done)
  local process = processes[random(PROCESSES)]
  local id = jobfleet.call(process.callers, method, job, body)
  calls[id] = done
end

local function poll_state(job)
  job.polled = true
  call("GET", job, nil, function(answer)
    local job_state = answer.status == 200 and json(answer.body).state or nil
    platform:told(job, jobfleet.STATE, answer.status, job_state)
    job.polled = false
    job.ended = job.ended or ENDED[job_state]
  end)
end

-- Submits a job; makes up to `attempts` attempts while it is refused or unanswered.
local function submit_job(job, attempts)
  platform:announce(job)
  call("POST", job, job.body, function(answer)
    platform:told(job, jobfleet.SUBMIT, answer.status)
    job.accepted = answer.status == 200
    if not job.accepted and attempts > 1 then
      schedule(RETRY_DELAY_MS, function() submit_job(job, attempts - 1) end)
    end
  end)
end

local function create_job()
  local pool = random(0, 1)
  local job = platform:create_job{pool = pool, steps = random(3), width = random(3), cpu = 500 * random(3),
                                  work_ms = 50 * random(12), poison = random(30) == 1}
  table.insert(jobs, job)
  submit_job(job, SUBMIT_ATTEMPTS)
end

local function complete_calls()
  for id, done in pairs(calls) do
    local answer = http_result(id)
    if answer then
      calls[id] = nil
      done(answer)
    end
  end
end

local function fault(kind, vm, value)
  platform:control("/control/fault", string.format('{"kind":"%s","vm":%d,"x":%d}', kind, vm, value))
end

local function restart_process(process, signal_name, down_ms)
  process.unavailable = true
  signal(process.pid, signal_name)
  schedule(down_ms, function()
    fleet.wait_until(process.name .. " ends", 20000, function() return exited(process.pid) end)
    start(process)
  end)
end

local function set_relay_mode(relay, mode, for_ms)
  fleet.write(relay.file, mode)
  schedule(for_ms, function() fleet.write(relay.file, "pass") end)
end

local function random_relay() return relays[random(#relays)] end

local faults = {
  function(p) restart_process(p, "KILL", random(300, 1500)) end,
  function(p) restart_process(p, "TERM", random(2500, 4000)) end,
  function(p)
    p.unavailable = true
    signal(p.pid, "STOP")
    schedule(random(500, 3000), function() signal(p.pid, "CONT") p.unavailable = false end)
  end,
  function() fault("store", 0, 1) schedule(random(300, 2500), function() fault("store", 0, 0) end) end,
  function() fault("lost", 0, 200) schedule(2000, function() fault("lost", 0, 0) end) end,
  function() fault("slow", 0, 200) schedule(2000, function() fault("slow", 0, 0) end) end,
  function() fault("compact", 0, 0) end,
  function() fault("crash", random(0, 7), random(300, 1500)) end,
  function() local vm = random(0, 7) fault("cut", vm, 1) schedule(random(500, 3000), function() fault("cut", vm, 0) end) end,
  function() platform:control("/control/wave", "{}") end,
  function() set_relay_mode(random_relay(), "delay " .. random(20, 300), random(500, 3000)) end,
  function() set_relay_mode(random_relay(), "reset", 100) end,
  function() set_relay_mode(random_relay(), "silent", random(500, 3000)) end,
  function() set_relay_mode(random_relay(), "oneway", random(500, 3000)) end,
}

local function step()
  poll(10)
  complete_calls()
  for i = #scheduled, 1, -1 do
    if scheduled[i][1] <= now_ms() then
      local callback = table.remove(scheduled, i)[2]
      callback()
    end
  end
end

-- Runs steps for a time, or until on_step returns true.
local function run_for(ms, on_step)
  local deadline = now_ms() + ms
  while now_ms() < deadline and not on_step() do step() end
end

local next_job, next_fault = now_ms() + 1500, now_ms() + 3000
run_for(FAULTS_MS, function()
  if now_ms() >= next_job then
    next_job = now_ms() + JOB_EVERY_MS
    create_job()
    local job = jobs[random(#jobs)]
    if job.accepted and not job.polled then poll_state(job) end
  end
  if now_ms() >= next_fault then
    next_fault = now_ms() + FAULT_EVERY_MS
    local process = processes[random(PROCESSES)]
    local choice = random(#faults)
    -- Faults 1 to 3 act on a process and need one that runs.
    if choice > 3 or not process.unavailable then faults[choice](process) end
  end
end)

local unfinished
run_for(SETTLE_MS, function()
  unfinished = 0
  for _, job in ipairs(jobs) do
    if job.accepted and not job.ended then
      unfinished = unfinished + 1
      if not job.polled and unfinished < 8 then poll_state(job) end
    end
  end
  return unfinished == 0 and #scheduled == 0 and next(calls) == nil
end)

local final = platform:report()
local accepted = 0
for _, job in ipairs(jobs) do if job.accepted then accepted = accepted + 1 end end
print(string.format("%d of %d jobs accepted, %d runs, %d moves, %d maintained", accepted, #jobs,
                    final.runs, final.moves, final.maintained))
assert(final.broken == 0, final.first)
assert(unfinished == 0, unfinished .. " accepted jobs have not ended")
assert(accepted * 2 > #jobs, "at most half of the jobs were accepted")
