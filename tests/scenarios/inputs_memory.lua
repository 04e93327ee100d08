-- A process that is refused memory while it runs, the owner and another one in turn,
-- ends with a line that names the cause; the others serve, jobs that it had accepted end,
-- and it serves again once it is restarted. One that cannot start says so.
local fleet = require("fleet")
local jobfleet = require("jobfleet")
local inputs = require("inputs")

local MIB = 1048576
-- A process needs about 17 MB of address space; the libraries alone more than 10 MB.
local RUN_BYTES, START_BYTES = 22 * MIB, 10 * MIB
local BODY_BYTES, BODIES = 1000000, 40
local EXIT_NO_LIBRARY, ABORTED, TRAPPED = 127, -6, -5
local TAKEOVER_MS = 15000

local limited = {address_space_bytes = RUN_BYTES}
local run = inputs.new(3, {limited, limited, limited})

-- Sends more request bodies at a time than the process has memory for.
local function overload(process)
  local job = run.platform:create_job{pool = 0}
  local calls = {}
  for i = 1, BODIES do
    calls[i] = jobfleet.call(process.front, "POST", job, ("x"):rep(BODY_BYTES))
  end
  local code = inputs.wait_end(process)
  for _, call in ipairs(calls) do http_drop(call) end
  return code
end

for _, wanted in ipairs{false, true} do
  local process = run:find(wanted)
  local what = wanted and "owner without memory" or "another process without memory"
  local accepted = run:submit(process, what, 1000)
  local code = overload(process)
  local log = fleet.read(process.log)
  assert((code == ABORTED or code == TRAPPED) and (log:find("no memory", 1, true) or log:find("failed to allocate", 1, true)),
         string.format("%s: ended with %d: %s", what, code, log:sub(-500)))
  local serving = process == run.processes[1] and run.processes[2] or run.processes[1]
  fleet.wait_until(what .. ": a job is accepted", TAKEOVER_MS, function()
    local job = run:submit_start(serving)
    local status = run:submit_finish(job)
    assert(status ~= 0, what .. ": a caller of another process got no answer")
    return status == 200
  end)
  run:wait_job(serving, accepted, what)
  jobfleet.start(process, limited)
  inputs.wait_ready(process)
  run:submit(process, what .. ", then restarted")
end

local process = run.platform:add_process(run.platform.port)
jobfleet.start(process, {address_space_bytes = START_BYTES})
assert(inputs.wait_end(process) == EXIT_NO_LIBRARY)
assert(fleet.read(process.log):find("failed to map segment", 1, true), fleet.read(process.log))
run:finish()
