-- Jobs through random faults, by seed: processes are killed, frozen and
-- stopped, connections of callers and to the platform are delayed, reset,
-- silenced or cut one way by relays, workers are lost, the store is away, slow
-- or loses answers. No rule may break, and every accepted job ends once the faults are over.
local fleet = require("fleet")

local PROCESSES = 3
local FAULTS_MS = 12000
-- A frozen owner's lease, its takeover and the longest late order fit in.
local CALM_MS = 40000
local HOST = "jobs.example"
local JOB_EVERY_MS = 60
local FAULT_EVERY_MS = 600
local SENDS, AGAIN_MS = 5, 800
local SUBMIT, STATE = 0, 1
local ENDED = {succeeded = true, failed = true, canceled = true}

math.randomseed(SEED)
local random = math.random

local port = free_port()
spawn{"standin_esoa", tostring(port), tostring(SEED), log = DIR .. "/platform.log"}

local function control(path, body)
  local answer = fleet.http{method = "POST", url = fleet.url(port, path), body = body}
  assert(answer.status == 200, path .. " failed: " .. (answer.error or answer.status))
  return json(answer.body)
end

local function report() return fleet.get_json(port, "/control/report") end

fleet.wait_until("the platform answers", 5000, function()
  return fleet.http{url = fleet.url(port, "/control/report")}.status == 200
end)

local processes, relays = {}, {}

-- Starts a relay to a port; returns the port that leads to it.
local function relay_to(target, name)
  local relay = {port = free_port(), file = DIR .. "/" .. name .. ".mode"}
  fleet.write(relay.file, "pass")
  spawn{"standin_relay", tostring(relay.port), tostring(target), relay.file,
        log = DIR .. "/" .. name .. ".log"}
  table.insert(relays, relay)
  return relay.port
end

local function start(process)
  process.lives = process.lives + 1
  process.frozen = false
  process.pid = spawn{"sassafrascartd", "--node-file", process.file,
                      log = string.format("%s/%s.%d.log", DIR, process.name, process.lives)}
end

for i = 1, PROCESSES do
  local process = {name = "vm-entry-" .. i, front = free_port(), lives = 0}
  process.callers = relay_to(process.front, process.name .. "-callers")
  local platform = relay_to(port, process.name .. "-platform")
  process.file = DIR .. "/" .. process.name .. ".conf"
  fleet.write(process.file, table.concat({
    "node=" .. process.name, "zone=zone-" .. i, "ip=127.0.0.1",
    "listen.front=127.0.0.1:" .. process.front,
    "listen.ready=127.0.0.1:" .. free_port(),
    "port_range=" .. free_port() .. ",65535",
    "platform.address=127.0.0.1:" .. platform,
    "cloud.address=127.0.0.1:" .. platform}, "\n") .. "\n")
  processes[i] = process
  start(process)
end

local jobs, calls = {}, {}

-- What is to be done later: {at_ms, what}.
local later = {}
local function after(ms, what) table.insert(later, {now_ms() + ms, what}) end

-- A call of a caller; done gets its status and body, or 0 without an answer.
local function call(method, job, body, done)
  local process = processes[random(PROCESSES)]
  -- A submission that is sent again unseen would be two calls.
  local id = http_start{method = method, body = body, timeout_ms = 4000,
                        fresh = method == "POST" and 1 or 0,
                        headers = {host = HOST},
                        url = fleet.url(process.callers, "/queue-" .. job.pool .. "/" .. job.id)}
  calls[id] = done
end

local function told(job, verb, status, state)
  control("/control/told", string.format('{"job":%d,"verb":%d,"status":%d,"state":"%s"}',
                                         job.number, verb, status, state or ""))
end

local function ask(job)
  job.asked = true
  call("GET", job, nil, function(answer)
    local told_state = answer.status == 200 and json(answer.body).state or nil
    told(job, STATE, answer.status, told_state)
    job.asked = false
    job.ended = job.ended or ENDED[told_state]
  end)
end

-- Sends a job; callers come again after a refusal or no answer.
local function send(job, sends)
  control("/control/sending", string.format('{"job":%d}', job.number))
  call("POST", job, job.body, function(answer)
    told(job, SUBMIT, answer.status)
    job.accepted = answer.status == 200
    if not job.accepted and sends > 1 then
      after(AGAIN_MS, function() send(job, sends - 1) end)
    end
  end)
end

local function submit()
  local pool = random(0, 1)
  local made = control("/control/job", string.format(
    '{"pool":%d,"steps":%d,"width":%d,"cpu":%d,"work_ms":%d,"poison":%s}', pool, random(3),
    random(3), 500 * random(3), 50 * random(12), tostring(random(30) == 1)))
  local job = {number = made.job, id = made.id, pool = pool, body = made.body}
  table.insert(jobs, job)
  send(job, SENDS)
end

local function calls_finish()
  for id, done in pairs(calls) do
    local answer = http_result(id)
    if answer then
      calls[id] = nil
      done(answer)
    end
  end
end

local function fault(kind, vm, x)
  control("/control/fault", string.format('{"kind":"%s","vm":%d,"x":%d}', kind, vm, x))
end

local function process_down(process, name, back_ms)
  process.frozen = true
  signal(process.pid, name)
  after(back_ms, function()
    fleet.wait_until(process.name .. " ends", 20000, function() return exited(process.pid) end)
    start(process)
  end)
end

local function relay_harm(relay, mode, for_ms)
  fleet.write(relay.file, mode)
  after(for_ms, function() fleet.write(relay.file, "pass") end)
end

local function relay_any() return relays[random(#relays)] end

local faults = {
  function(p) process_down(p, "KILL", random(300, 1500)) end,
  function(p) process_down(p, "TERM", random(2500, 4000)) end,
  function(p)
    p.frozen = true
    signal(p.pid, "STOP")
    after(random(500, 3000), function() signal(p.pid, "CONT") p.frozen = false end)
  end,
  function() fault("store", 0, 1) after(random(300, 2500), function() fault("store", 0, 0) end) end,
  function() fault("lost", 0, 200) after(2000, function() fault("lost", 0, 0) end) end,
  function() fault("slow", 0, 200) after(2000, function() fault("slow", 0, 0) end) end,
  function() fault("compact", 0, 0) end,
  function() fault("crash", random(0, 7), random(300, 1500)) end,
  function() local vm = random(0, 7) fault("cut", vm, 1) after(random(500, 3000), function() fault("cut", vm, 0) end) end,
  function() control("/control/wave", "{}") end,
  function() relay_harm(relay_any(), "delay " .. random(20, 300), random(500, 3000)) end,
  function() relay_harm(relay_any(), "reset", 100) end,
  function() relay_harm(relay_any(), "silent", random(500, 3000)) end,
  function() relay_harm(relay_any(), "oneway", random(500, 3000)) end,
}

local function turn()
  poll(10)
  calls_finish()
  for i = #later, 1, -1 do
    if later[i][1] <= now_ms() then
      local what = table.remove(later, i)[2]
      what()
    end
  end
end

local function play(ms, each)
  local deadline = now_ms() + ms
  while now_ms() < deadline and not each() do turn() end
end

local next_job, next_fault = now_ms() + 1500, now_ms() + 3000
play(FAULTS_MS, function()
  if now_ms() >= next_job then
    next_job = now_ms() + JOB_EVERY_MS
    submit()
    local job = jobs[random(#jobs)]
    if job.accepted and not job.asked then ask(job) end
  end
  if now_ms() >= next_fault then
    next_fault = now_ms() + FAULT_EVERY_MS
    local process = processes[random(PROCESSES)]
    local choice = random(#faults)
    if choice > 3 or not process.frozen then faults[choice](process) end
  end
end)

local left
play(CALM_MS, function()
  left = 0
  for _, job in ipairs(jobs) do
    if job.accepted and not job.ended then
      left = left + 1
      if not job.asked and left < 8 then ask(job) end
    end
  end
  return left == 0 and #later == 0 and next(calls) == nil
end)

local final = report()
local accepted = 0
for _, job in ipairs(jobs) do if job.accepted then accepted = accepted + 1 end end
print(string.format("%d of %d jobs accepted, %d runs, %d moves, %d maintained", accepted, #jobs,
                    final.runs, final.moves, final.maintained))
assert(final.broken == 0, final.first)
assert(left == 0, left .. " accepted jobs have not ended")
assert(accepted * 2 > #jobs, "most jobs are accepted")
