-- Checks of the placements, intents and actions that the platform recorded.

local fleet = require("fleet")
local placement = {}

local KEY = "/sassafrascart/placement"
local INTENT = "/sassafrascart/intent/"
local DECISION = "/sassafrascart/decision/placement/"
local MANAGER = "/sassafrascart/pulse/manager"

-- Daemon flags with short leases, windows and decision intervals.
placement.FLAGS = {"--lease-ttl-s", "1", "--dispatch-window-ms", "1000", "--poll-ms", "50",
                   "--manager-tick-ms", "50", "--vm-list-ms", "100", "--platform-rate-per-s", "500",
                   "--vm-failed-after-ms", "300"}

function placement.history(f)
  return fleet.get_json(f.platform_port, "/history")
end

-- All written placements, oldest first: number, at_ms and rows by VM name.
function placement.list(history)
  local list = {}
  for _, item in ipairs(history) do
    if item.key == KEY and item.value then
      local value = json(item.value)
      local rows = {}
      for _, row in ipairs(value.rows) do
        assert(not rows[row[1]], "VM " .. row[1] .. " has two rows in " .. value.number)
        rows[row[1]] = {pool = row[2], state = row[3], next = row[4], reason = row[5],
                        maintained = row[7]}
      end
      table.insert(list, {number = value.number, roll = value.roll, at_ms = item.at_ms,
                          revision = item.revision, rows = rows})
    end
  end
  return list
end

function placement.newest(f)
  local list = placement.list(placement.history(f))
  return list[#list] or {number = 0, rows = {}}
end

-- Waits until a VM serves a pool in the stored placement; returns the placement.
function placement.wait_serving(f, vm, pool, timeout_ms)
  return fleet.wait_until(vm .. " serves " .. pool, timeout_ms or 10000, function()
    local newest = placement.newest(f)
    local row = newest.rows[vm]
    return row and row.pool == pool and row.state == "serving" and newest
  end)
end

-- Placement numbers increase by one, and a VM changes its pool only after it was
-- draining and then stopped.
function placement.check_stages(list)
  local seen = {}
  for index, view in ipairs(list) do
    assert(index == 1 or view.number == list[index - 1].number + 1,
           "placement " .. view.number .. " follows " .. (list[index - 1] or view).number)
    for vm, row in pairs(view.rows) do
      local before = seen[vm]
      -- The pool name is empty if the bundle no longer has the pool; the VM must drain.
      if before and row.pool == "" then
        assert(row.state ~= "serving", vm .. " serves no pool")
      elseif before and before.pool ~= row.pool then
        assert(before.state == "stopped" or before.free,
               vm .. " went from " .. before.pool .. " " .. before.state .. " to " .. row.pool)
      end
      if before and row.state == "stopped" then
        assert(before.state ~= "serving", vm .. " stopped without draining")
      end
      seen[vm] = {pool = row.pool, state = row.state}
    end
    for vm, before in pairs(seen) do
      if not view.rows[vm] then
        assert(before.state ~= "serving" or before.free, vm .. " was removed while serving")
        before.free = true
      end
    end
  end
end

-- Once a pool has reached its floor of serving VMs, it never falls below it.
function placement.check_floors(list, floors)
  local reached = {}
  for _, view in ipairs(list) do
    local count = {}
    for _, row in pairs(view.rows) do
      if row.state == "serving" then count[row.pool] = (count[row.pool] or 0) + 1 end
    end
    for pool, floor in pairs(floors) do
      local serving = count[pool] or 0
      assert(serving >= floor or not reached[pool],
             pool .. " has " .. serving .. " serving in placement " .. view.number)
      reached[pool] = reached[pool] or serving >= floor
    end
  end
end

-- No request ran on a VM while the placement showed it as stopped.
function placement.check_runs(f, list)
  for _, run in ipairs(f:runs()) do
    local state
    for index, view in ipairs(list) do
      local after = list[index + 1]
      if view.at_ms < run.at_ms and after and run.at_ms < after.at_ms and view.rows[run.vm] then
        state = view.rows[run.vm].state
      end
    end
    assert(state ~= "stopped", run.test_id .. " ran on " .. run.vm .. " while it was stopped")
  end
end

-- Only the process that holds the manager key writes decisions.
function placement.check_managers(history)
  local holder
  for _, item in ipairs(history) do
    if item.key == MANAGER then holder = item.value end
    if item.key:sub(1, #DECISION) == DECISION then
      local manager = json(item.value).manager
      assert(manager == holder, manager .. " wrote while " .. tostring(holder) .. " was the manager")
    end
  end
end

-- Every action on a VM has an intent that was written before the action and not
-- removed before it. Returns the number of actions.
function placement.check_intents(f, history)
  local written, removed, count = {}, {}, 0
  for _, item in ipairs(history) do
    if item.key:sub(1, #INTENT) == INTENT then
      local id = item.key:sub(#INTENT + 1)
      if item.value then
        written[id] = written[id] or {at_ms = item.at_ms, vm = json(item.value).vm}
      else
        removed[id] = item.at_ms
      end
    end
  end
  for _, action in ipairs(fleet.get_json(f.platform_port, "/actions")) do
    local intent = written[action.intent]
    assert(intent, action.action .. " of " .. action.vm .. " without an intent")
    assert(intent.vm == action.vm and intent.at_ms <= action.at_ms,
           action.action .. " of " .. action.vm .. " before its intent")
    assert(action.repeated or action.refused or
           action.at_ms <= (removed[action.intent] or math.huge),
           action.action .. " of " .. action.vm .. " after its intent had ended")
    count = count + 1
  end
  return count
end

-- Waits until a gateway process other than `except` is the manager; returns it.
function placement.wait_manager(f, except)
  return fleet.wait_until("a gateway process is the manager", 10000, function()
    for _, gateway in pairs(f.gateways) do
      if gateway ~= except then
        local status = f:status(gateway)
        if status and status.manager then return gateway end
      end
    end
  end)
end

return placement
