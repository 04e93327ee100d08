-- The store refuses values that the settings allow: the jobs at fault are refused as "not
-- run", jobs beside and after them are accepted and end, and a takeover loses none.
local fleet = require("fleet")
local inputs = require("inputs")
local jobfleet = require("jobfleet")

local VALUE_BYTES = 65536
local ANSWERED_WITHIN_MS = 2000

-- Each text is within the limits, the whole is larger than a value.
local function large_body()
  local step = string.format('{"count":1,"cpu":1,"mem_mb":1,"requires":"%s","image":"%s"}',
                             string.rep("a", 1000), string.rep("b", 1000))
  return '{"spec":"","steps":[' .. string.rep(step .. ",", 63) .. step .. ']}'
end

local run = inputs.new(3, nil, VALUE_BYTES)
local owner, other = run:find(true), run:find(false)
local body, jobs = large_body(), {}
for number, process in ipairs{owner, other, owner, other} do
  local what = "job " .. number .. " at " .. process.name
  local answer
  local call = jobfleet.call(process.front, "POST", {pool = 0, id = string.format("f%015x", number)}, body)
  for _ = 1, 3 do table.insert(jobs, run:submit_start(process, 500)) end
  fleet.wait_until(what .. ": the call ends", ANSWERED_WITHIN_MS, function()
    answer = http_result(call)
    return answer
  end)
  assert(answer.status == 503, what .. ": answered with " .. answer.status)
end
for _, job in ipairs(jobs) do
  local status = run:submit_finish(job)
  assert(status == 200, "a job beside was answered with " .. status)
end
signal(owner.pid, "KILL")
inputs.wait_end(owner)
for _, job in ipairs(jobs) do run:wait_job(other, job, "after the takeover") end
run:wait_job(other, run:submit(other, "after the takeover"), "after the takeover")
run:finish()
