-- Four entries share two backend servers of 8 slots each. A burst through all
-- entries at once never has a backend server run more than its slots; when the
-- owner of the slots is killed, no server runs more than twice its slots, and
-- the requests of the other entries go on.
local fleet = require("fleet")
local slots = require("slots")

local SLOTS = 8
local RUN_MS = 100
local f, entries = slots.fleet(4)

local started = 0
local function burst(through, count)
  local ids = {}
  for _ = 1, count do
    for _, entry in ipairs(through) do
      started = started + 1
      local body = "lane " .. started
      ids[http_start{method = "POST", url = fleet.url(entry.port, "/draws"), body = body,
                     headers = {["x-run-ms"] = RUN_MS, ["x-test-id"] = body},
                     timeout_ms = 30000}] = body
    end
  end
  return ids
end

-- Waits for all answers; returns how many came whole.
local function collect(ids)
  local answered = 0
  fleet.wait_until("all requests end", 40000, function()
    for id, body in pairs(ids) do
      local result = http_result(id)
      if result then
        ids[id] = nil
        if result.status == 200 and result.body == body then answered = answered + 1 end
      end
    end
    return next(ids) == nil
  end)
  return answered
end

-- The greatest number of requests that one server ran, or had to queue, at once.
local function most_at_once()
  local most, queued = 0, 0
  for _, name in ipairs(f.order) do
    local stats = fleet.get_json(f.backends[name].port, "/stats")
    most = math.max(most, stats.max_running + stats.max_waiting)
    queued = math.max(queued, stats.max_waiting)
  end
  return most, queued
end

local function grants(entry)
  return slots.metric(entry, 'slot_messages_total{kind="grant"}')
end

local granted_before = {}
for _, entry in ipairs(entries) do granted_before[entry] = grants(entry) end
local ids = burst(entries, 40)
assert(collect(ids) == 160, "all of the burst is answered")
local most, queued = most_at_once()
assert(most <= SLOTS and queued == 0,
       "a server had " .. most .. " requests at once for " .. SLOTS .. " slots")

-- The owner alone sends grants.
local owner
for _, entry in ipairs(entries) do
  granted_before[entry] = grants(entry) - granted_before[entry]
  if granted_before[entry] > 0 then
    assert(not owner, "one owner")
    owner = entry
  end
end
assert(owner, "an owner granted slots")

local survivors = {}
for _, entry in ipairs(entries) do
  if entry ~= owner then table.insert(survivors, entry) end
end
ids = burst(survivors, 40)
local lost = burst({owner}, 10)
poll(RUN_MS * 2)
signal(owner.pid, "KILL")
collect(lost)
assert(collect(ids) == 120, "requests through the other entries go on")
most = most_at_once()
assert(most <= 2 * SLOTS, "without the owner a server had " .. most .. " requests at once")

-- The next owner takes over, and one more burst keeps to the slots again.
for _, entry in ipairs(survivors) do granted_before[entry] = grants(entry) end
fleet.wait_until("another owner grants", 20000, function()
  collect(burst(survivors, 1))
  for _, entry in ipairs(survivors) do
    if grants(entry) > granted_before[entry] then return true end
  end
end)
for id, count in pairs(f:runs_by_test_id()) do
  assert(count == 1, id .. " ran " .. count .. " times")
end

-- With nothing waiting and nothing held, no slot messages are sent.
local function slot_messages()
  local sum = 0
  for _, entry in ipairs(survivors) do
    sum = sum + grants(entry) + slots.metric(entry, 'slot_messages_total{kind="report"}')
  end
  return sum
end
fleet.wait_until("slot messages cease", 15000, function()
  local before = slot_messages()
  poll(1500)
  return slot_messages() == before
end)
