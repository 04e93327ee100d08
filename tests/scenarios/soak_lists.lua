-- Workers of the soak that go down and return under their identities, with clocks that are set,
-- while owners end beside them and read the lists of workers in any order; and starts that
-- workers refuse or that are lost. The processes are asked how many jobs wait, and the stand-in
-- compares that with the jobs that no worker has begun.
local jobfleet = require("jobfleet")

local soak_lists = {}
soak_lists.__index = soak_lists

local random = math.random

-- The roster, the entries of workers and the VMs, see enum emu_list.
local LISTS = 3
local LIST_DELAY_MAX_MS = 700
local AHEAD_MAX_MS = 5000
-- Long enough for jobs to count as waiting.
local REFUSAL_MIN_MS = 9000
local ASK_EVERY_MS = 300

-- fault(kind, vm, value) injects a fault.
function soak_lists.new(platform, runs, schedule, last_vm, pools, fault)
  return setmetatable({platform = platform, runs = runs, schedule = schedule, last_vm = last_vm,
                       pools = pools, fault = fault, next_ms = 0, asked = {}, told = 0}, soak_lists)
end

local function delay_lists(self)
  for list = 0, LISTS - 1 do self.fault("list", list, random(0, LIST_DELAY_MAX_MS)) end
  self.schedule(random(1000, 5000), function()
    for list = 0, LISTS - 1 do self.fault("list", list, 0) end
  end)
end

-- A worker goes down, and the owner ends shortly after it.
local function flap(self)
  self.fault("flap", random(0, self.last_vm), random(300, 4000))
  self.schedule(random(0, 300), function()
    local owner = self.platform:owner()
    if owner then self.runs:restart(owner, 1) end
  end)
end

-- A worker whose clock is ahead, and the next one of the same identity, which starts earlier.
local function set_clock(self)
  local vm = random(0, self.last_vm)
  self.fault("clock", vm, random(AHEAD_MAX_MS))
  self.schedule(random(1000, 5000), function() self.fault("clock", vm, 0) end)
end

local function refuse(self)
  local vm = random(0, self.last_vm)
  self.fault("refuse", vm, 1)
  self.schedule(REFUSAL_MIN_MS + random(5000), function() self.fault("refuse", vm, 0) end)
end

local function lose_starts(self)
  self.fault("starts", 0, random(1000))
  self.schedule(random(1000, 5000), function() self.fault("starts", 0, 0) end)
end

function soak_lists:faults()
  local out = {}
  for _, fault in ipairs{flap, flap, function() delay_lists(self) flap(self) end, set_clock, refuse,
                         refuse, lose_starts} do
    table.insert(out, function() fault(self) end)
  end
  return out
end

-- Asks a process for a number of waiting jobs, and passes on what has been answered.
function soak_lists:step()
  for call, asked in pairs(self.asked) do
    local answer = http_result(call)
    if answer then
      self.asked[call] = nil
      if answer.status == 200 then
        self.told = self.told + 1
        self.platform:waiting_told(asked.pool, now_ms() - asked.at_ms, json(answer.body).waiting)
      end
    end
  end
  if now_ms() < self.next_ms then return end
  self.next_ms = now_ms() + ASK_EVERY_MS
  local pool = random(0, self.pools - 1)
  local process = self.platform.processes[random(#self.platform.processes)]
  self.asked[jobfleet.call(process.front, "GET", {pool = pool, id = ""})] = {pool = pool, at_ms = now_ms()}
end

return soak_lists
