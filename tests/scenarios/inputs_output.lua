-- Standard output and standard error that are closed, full, stalled, without a reader or
-- at the limit of a file's size do not hold up or end a process; callers are served, and
-- the log goes on once it can be written.
local fleet = require("fleet")
local jobfleet = require("jobfleet")
local inputs = require("inputs")

local BATCHES, BATCH = 5, 10
-- Size of a pipe, and of a file that is smaller than the lines of the submissions.
local PIPE_BYTES = 65536
local FILE_BYTES = 5000
local READ_S = 3

-- Creates a FIFO that is full; returns the handle that keeps it open.
local function full_fifo_create(path)
  fifo_create(path)
  local holder = assert(io.open(path, "r+"))
  holder:setvbuf("no")
  holder:write(("x"):rep(PIPE_BYTES - 1) .. "\n")
  return holder
end

-- The file, socket or device that a descriptor of a process is.
local function descriptor(pid, number)
  local link = io.popen("readlink /proc/" .. pid .. "/fd/" .. number)
  local target = link:read("a")
  link:close()
  return target:match("^[^\n]*")
end

local function held_back(process) return jobfleet.metric(process, "log_lines_held_back_total") end

local stalled = DIR .. "/stalled"
local holder = full_fifo_create(stalled)
local cases = {
  {what = "input closed", closed = "0"},
  {what = "output closed", closed = "1"},
  {what = "error closed", closed = "2"},
  {what = "input, output and error closed", closed = "012"},
  {what = "output full", drops = true, stdout = "/dev/full"},
  {what = "output without a reader", drops = true, stdout_unread = 1},
  {what = "output at the limit of a file's size", drops = true, file_bytes_max = FILE_BYTES,
   stdout = DIR .. "/limited.log"},
  {what = "output stalled", drops = true, stdout = stalled},
}
local options = {}
for i, case in ipairs(cases) do
  options[i] = {}
  for key, value in pairs(case) do
    if key ~= "what" and key ~= "drops" then options[i][key] = value end
  end
end
local run = inputs.new(#cases, options)

-- Submits jobs to a process in batches, each of which must be accepted.
local function serve(process, what)
  local job
  for _ = 1, BATCHES do
    local batch = {}
    for _ = 1, BATCH do table.insert(batch, run:submit_start(process)) end
    for i = 1, BATCH do
      job = batch[i]
      local status = run:submit_finish(job)
      assert(status == 200, what .. ": a job was answered with " .. status)
    end
  end
  run:wait_job(process, job, what)
  inputs.assert_running(process, what)
end

-- 1. Callers are served; no socket has the number of a standard descriptor.
for i, case in ipairs(cases) do
  local process = run.processes[i]
  for digit in (case.closed or ""):gmatch("%d") do
    local found = descriptor(process.pid, digit)
    assert(found == "/dev/null", case.what .. ": descriptor " .. digit .. " is " .. found)
  end
  serve(process, case.what)
  assert(not case.drops or held_back(process) > 0, case.what .. ": no line was dropped")
end

-- 2. A stalled output that is read again: lines are whole, the dropped ones are reported.
local resumed = run.processes[#cases]
local dropped = held_back(resumed)
local received = DIR .. "/received"
local reader = io.popen("timeout " .. READ_S .. " cat " .. stalled .. " > " .. received)
holder:close()
local read_until = now_ms() + READ_S * 1000
while now_ms() < read_until do
  run:submit(resumed, "output resumed")
  fleet.pause(200)
end
reader:close()
local whole, reported, fragments = 0, 0, 0
for line in io.lines(received) do
  local entry = json(line)
  if entry then
    whole = whole + 1
    reported = reported + (entry.event == "log-held-back" and entry.lines or 0)
  elseif not line:match("^x+$") then
    fragments = fragments + 1
  end
end
assert(whole > 0 and reported >= dropped and fragments == 0,
       string.format("%d whole lines, %d fragments, %d of %d dropped lines reported", whole, fragments, reported, dropped))

-- 3. All of them end in order.
for _, process in ipairs(run.processes) do signal(process.pid, "TERM") end
for i, case in ipairs(cases) do
  local code = inputs.wait_end(run.processes[i])
  assert(code == 0, case.what .. ": the process ended with code " .. code)
end
run:finish()

-- 4. A gateway process whose output, standard error included, is stalled from the start.
local full = DIR .. "/full"
holder = full_fifo_create(full)
local gateways = fleet.new{backends = {{name = "vm-1", zone = "zone-1", rack = "rack-1"}}}
gateways:publish(1, {{name = "draws", vms = {"vm-1"}}}, {{path = "/draws", pool = "draws"}})
local gateway = gateways:add_gateway("entry-1", nil, {log = full})
gateways:must_ctl("roll", 1)
gateways:wait_serving(gateway)
for _ = 1, BATCH do
  local answer = fleet.http{url = fleet.url(gateway.port, "/draws/1"), timeout_ms = 2000}
  assert(answer.status == 200, "the gateway process answered " .. answer.status)
end
holder:close()
gateways:stop()
