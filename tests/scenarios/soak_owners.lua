-- Owners in a row for the soak: the store turns the present owner away and takes its keys
-- without notice, then its successor, while some workers are cut off from some processes,
-- owners are paused and configurations change. An owner that is turned away and its successors
-- always share the workers on the VMs that are not cut off, the spare ones among them. See
-- docs/incidents/inc-owners-in-a-row.md.
local soak_processes = require("soak_processes")

local soak_owners = {}
soak_owners.__index = soak_owners

local random = math.random
-- Modes of the store: unavailable, without an answer.
local STORE_OK, STORE_MODES = 0, 2
local AWAY_MIN_MS, AWAY_MAX_MS = 3000, 10000
local PAUSE_MIN_MS, PAUSE_MAX_MS = 2000, 9000
local IN_A_ROW_MAX = 4
-- From one owner to the next, so that it has taken over or is about to.
local NEXT_MIN_MS, NEXT_MAX_MS = 500, 4000
local SERIES_MIN_MS, SERIES_MAX_MS = 3000, 7000
-- From one owner to the next that has taken over and whose tasks are under way.
local SETTLED_MIN_MS, SETTLED_MAX_MS = 9000, 14000
local CUT_ONE_IN = 5
-- Longer than a successor waits for the leases of workers.
local SPLIT_MIN_MS, SPLIT_MAX_MS = 10000, 16000
local CONFIG_EVERY_MS, MORE_QUEUES_MAX = 3000, 2

-- schedule(ms, callback) runs a callback later. Most owners settle before they are turned away
-- if settles is true. VMs from number vms on are never cut off.
function soak_owners.new(platform, runs, schedule, vms, settles)
  return setmetatable({platform = platform, runs = runs, schedule = schedule, vms = vms, away = {},
                       settles = settles, pause_one_in = settles and 3 or 2,
                       turned_away = 0, next_series_ms = 0, next_config_ms = 0}, soak_owners)
end

function soak_owners:fault(kind, vm, value, process)
  soak_processes.log_fault(string.format("%s %s vm-%d %d", self.platform.processes[process].name, kind, vm, value))
  self.platform:fault(kind, vm, value, process)
end

function soak_owners:turn_away(process, ms)
  local index = process.index
  self.away[index] = true
  self.turned_away = self.turned_away + 1
  self:fault("store", 0, random(STORE_MODES), index)
  self:fault("revoke", 0, 0, index)
  self.schedule(ms, function()
    self:fault("store", 0, STORE_OK, index)
    self.away[index] = nil
  end)
end

-- Cuts some workers off from a process for a time.
function soak_owners:cut(index)
  for vm = 0, self.vms - 1 do
    if random(CUT_ONE_IN) == 1 then
      self:fault("cut", vm, 1, index)
      self.schedule(random(AWAY_MIN_MS, AWAY_MAX_MS), function() self:fault("cut", vm, 0, index) end)
    end
  end
end

-- Some workers are reached only by a process, some only by the others; all reach the rest.
function soak_owners:split(index, ms)
  local shares_more = random(4) == 1
  for vm = 0, self.vms - 1 do
    local kind = random(2) == 1 and "cut" or "cut_others"
    if not shares_more or random(CUT_ONE_IN) > 1 then
      self:fault(kind, vm, 1, index)
      self.schedule(ms, function() self:fault(kind, vm, 0, index) end)
    end
  end
end

-- Turns away the present owner, and then count - 1 successors.
function soak_owners:turn_away_next(count)
  if self.ended then return end
  local owner = self.platform:owner()
  if owner and not self.away[owner.index] then
    if random(self.pause_one_in) == 1 then
      self.runs:stop_for(owner.run, random(PAUSE_MIN_MS, PAUSE_MAX_MS))
    end
    if random(4) > 1 then
      local ms = random(SPLIT_MIN_MS, SPLIT_MAX_MS)
      self:turn_away(owner, ms)
      self:split(owner.index, ms)
    else
      self:turn_away(owner, random(AWAY_MIN_MS, AWAY_MAX_MS))
      self:cut(random(#self.platform.processes))
    end
    count = count - 1
  end
  if count > 0 then
    self.schedule(random(NEXT_MIN_MS, NEXT_MAX_MS), function() self:turn_away_next(count) end)
  end
end

-- Begins what is due; called while faults are wanted.
function soak_owners:step()
  if now_ms() >= self.next_series_ms and self.settles then
    self.next_series_ms = now_ms() + (random(3) == 1 and random(NEXT_MIN_MS, NEXT_MAX_MS)
                                      or random(SETTLED_MIN_MS, SETTLED_MAX_MS))
    self:turn_away_next(1)
  elseif now_ms() >= self.next_series_ms then
    self.next_series_ms = now_ms() + random(SERIES_MIN_MS, SERIES_MAX_MS)
    self:turn_away_next(random(2, IN_A_ROW_MAX))
  end
  if now_ms() >= self.next_config_ms then
    self.next_config_ms = now_ms() + random(CONFIG_EVERY_MS)
    self.platform:control("/control/config", string.format('{"more":%d}', random(0, MORE_QUEUES_MAX)))
  end
end

return soak_owners
