-- Odd entries of another writer among those of the workers, one after another and all
-- together: no process ends, jobs succeed, and the list is still followed: drained workers
-- get no work, those that appear do, and a takeover settles. With seed 1 the processes
-- have the memory of an entry VM.
local fleet = require("fleet")
local jobfleet = require("jobfleet")
local inputs = require("inputs")

local ADDRESS_SPACE_BYTES = SEED == 1 and 260 * 1048576 or nil
-- The largest value that the store takes, less what surrounds the repeated part.
local VALUE_BYTES = 1048576 - 1000
local POOL_VMS = 4
local REPORT_MS, DRAIN_MS, RETURN_MS, TAKEOVER_MS = 5000, 300, 15000, 20000
-- Port 1 of the loopback network refuses connections.
local NOBODY = "127.0.0.1:1"

local limited = {address_space_bytes = ADDRESS_SPACE_BYTES}
local run = inputs.new(3, {limited, limited, limited})
local jobs = 0

local function fill(part) return part:rep(VALUE_BYTES // #part) end

-- An entry of the right form, but for the members given and what is added.
local function entry(members, added)
  local all = {service = '"pool-0"', address = '"' .. NOBODY .. '"', zone = '"zone-1"', state = '"ready"',
               capacity = '{"cpu":64000,"mem_mb":1000000}', born = "1"}
  for name, text in pairs(members or {}) do all[name] = text end
  local parts = {added}
  for name, text in pairs(all) do table.insert(parts, '"' .. name .. '":' .. text) end
  return "{" .. table.concat(parts, ",") .. "}"
end

local function at(port) return entry{address = '"127.0.0.1:' .. port .. '"'} end

-- A sound entry names a worker, even if there is none.
local first = run.processes[1]
local cases = {
  {"nested beyond the parser's limit", fill("[")},
  {"nested objects", fill('{"":')},
  {"nested member", entry({}, '"x":' .. ("["):rep(2000) .. ("]"):rep(2000)), sound = true},
  {"many arrays", entry({}, '"x":[' .. fill("[],") .. "[]]")},
  {"many objects", entry({}, '"x":[' .. fill('{"":{}},') .. "[]]")},
  {"many labels", entry{labels = "[" .. fill('"l",') .. '"l"]'}},
  {"some labels", entry{labels = "[" .. ('"l",'):rep(5000) .. '"l"]'}, sound = true},
  {"long text", entry({}, '"x":"' .. fill("x") .. '"')},
  {"integer beyond 64 bits", entry{born = ("9"):rep(40)}},
  {"real beyond a double", entry({}, '"seq":1e400')},
  {"largest integers", entry{born = "9223372036854775807", clock_ms = "9223372036854775807"}, sound = true},
  {"start before 1970", entry{born = "-1"}, sound = true},
  {"capacity of nothing", entry{capacity = '{"cpu":0,"mem_mb":0,"gpu":0}'}, sound = true},
  {"capacity beyond all", entry{capacity = '{"cpu":1e300}'}},
  {"largest capacity", entry{capacity = '{"cpu":1000000000,"mem_mb":1000000000,"gpu":1000000000}'}, sound = true},
  {"port 65536", at(65536)}, {"port 99999", at(99999)}, {"port -1", at(-1)}, {"port 0", at(0)}, {"port 1e3", at("1e3")},
  {"VM of a worker", entry{machine = '"vm-0"', born = "9000000000000"}, sound = true},
  {"front port", at(first.front), sound = true}, {"ready port", at(first.ready), sound = true},
  {"metrics port", at(first.metrics), sound = true},
  {"peer port", at(first.peer), sound = true}, {"port of the platform", at(run.platform.port), sound = true},
  {"nobody's port", entry(), sound = true},
  {"header in the identity", entry(), "a\\r\\nx-sassafrascart-expect-instance: w-0-1"},
  {"control characters", entry(), "\\u0001\\u007f"},
  {"identity that is no ASCII", entry(), "w\u{f6}\u{1f600}"},
  {"long identity", entry(), ("i"):rep(190), sound = true},
  {"identity with slashes", entry(), "a/../b//", sound = true},
  {"start of a worker", entry{machine = '"vm-1"', born = "9000000000000"}, "w-1-1", sound = true},
}

local function work(process, what)
  jobs = jobs + 1
  run:wait_job(process, run:submit(process, what), what)
  for _, each in ipairs(run.processes) do inputs.assert_running(each, what) end
end

-- 1. One after another, then all together.
local function write(i, value) run.platform:write("servers/" .. (cases[i][3] or "odd-" .. i), value or cases[i][2]) end
for i, case in ipairs(cases) do
  write(i)
  work(run.processes[i % 3 + 1], case[1])
  work(run.processes[i % 3 + 1], case[1])
  write(i, "")
end
-- Another process may become the owner at any time; it reports all odd entries.
local function event_counts(event)
  local counts = {}
  for _, process in ipairs(run.processes) do counts[process] = jobfleet.event_count(process, event) end
  return counts
end
-- Whether one process has logged an event as many times more.
local function has_logged(event, before, times)
  for process, count in pairs(event_counts(event)) do
    if count >= before[process] + times then return true end
  end
end
local reports, odd = event_counts("entry-malformed"), 0
for i, case in ipairs(cases) do
  write(i)
  if not case.sound then odd = odd + 1 end
end
work(first, "all entries")
fleet.wait_until("each odd entry is reported", REPORT_MS, function()
  return has_logged("entry-malformed", reports, odd)
end)

-- 2. All workers of a pool drain; those that appear in their place get its jobs. The owner
-- moves a VM that has been idle for 30 s to the spare pool, whose workers it does not list.
local function is_logged(text)
  for _, process in ipairs(run.processes) do
    if fleet.read(process.log):find(text, 1, true) then return true end
  end
end
for vm = 0, POOL_VMS - 1 do
  local moved = string.format("VM vm-%d of pool pool-0 drains, tasks 0, target pool-2", vm)
  run.platform:control("/control/fault", string.format('{"kind":"drain","vm":%d,"x":%d}', vm, DRAIN_MS))
  fleet.wait_until("a worker appears at VM " .. vm, RETURN_MS, function()
    return is_logged("new worker w-" .. vm .. "-2 ") or is_logged(moved)
  end)
  work(first, "worker of VM " .. vm .. " replaced")
end

-- 3. A takeover.
local settled = event_counts("takeover-settled")
run:kill(run:find(true))
fleet.wait_until("the takeover settles", TAKEOVER_MS, function() return has_logged("takeover-settled", settled, 1) end)
work(run.processes[1], "after the takeover")
run:finish()
local report = run.platform:report()
assert(report.succeeded == jobs and report.open == 0, report.succeeded .. " of " .. jobs .. " jobs succeeded")
