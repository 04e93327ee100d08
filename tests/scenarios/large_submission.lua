-- Submissions that do not fit a message between processes or a value of the store are
-- refused at once by every process, and others are served beside them.
local fleet = require("fleet")
local inputs = require("inputs")
local jobfleet = require("jobfleet")

-- Limit of a request body.
local BODY_BYTES = 1024 * 1024
local REFUSED_WITHIN_MS = 2000

local function step(name, value)
  return string.format('{"count":1,"cpu":1,"mem_mb":1,"gpu":1,"checkpoint":true,"%s":"%s"}', name, value)
end

local function body_of_size(name, size)
  local empty = '{"spec":"","steps":[' .. step(name, "") .. ']}'
  return '{"spec":"","steps":[' .. step(name, string.rep("a", size - #empty)) .. ']}'
end

-- Texts whose encoding is six times as long.
local function body_of_escapes()
  local steps = {}
  for _ = 1, 64 do table.insert(steps, step("requires", string.rep("\\u0001", 1000))) end
  return '{"spec":"","steps":[' .. table.concat(steps, ",") .. ']}'
end

local bodies = {
  {"label of 1 MiB", body_of_size("requires", BODY_BYTES)},
  {"rack of 1 MiB", body_of_size("affinity", BODY_BYTES)},
  {"image of 600,000 bytes", body_of_size("image", 600000)},
  {"label of 8,000 bytes", body_of_size("requires", 8000)},
  {"64 labels of escapes", body_of_escapes()},
  {"payload of 4,001 bytes", '{"spec":"' .. string.rep("a", 4001) .. '","steps":[' .. step("image", "i") .. ']}'},
}

local run = inputs.new(2)
-- The one that forwards calls, then the one that stores jobs.
local targets = {run:find(false), run:find(true)}
local number = 0
for _, body in ipairs(bodies) do
  for _, process in ipairs(targets) do
    local what = body[1] .. " at " .. process.name
    local answer
    number = number + 1
    local call = jobfleet.call(process.front, "POST", {pool = 0, id = string.format("f%015x", number)}, body[2])
    local beside = run:submit_start(process)
    fleet.wait_until(what .. ": the call ends", REFUSED_WITHIN_MS, function()
      answer = http_result(call)
      return answer
    end)
    inputs.assert_running(process, what)
    assert(answer.status >= 400 and answer.status < 500 and answer.status ~= 429,
           what .. ": answered with " .. answer.status)
    local status = run:submit_finish(beside)
    assert(status == 200, what .. ": a job beside it was answered with " .. status)
  end
end
for _, process in ipairs(run.processes) do
  run:wait_job(process, run:submit(process, "after the large ones"), "after the large ones")
end
run:finish()
