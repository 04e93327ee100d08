-- Four gateway processes share two backend servers of 8 slots each. During a burst
-- through all of them no server runs more requests than its slots. When the owner of
-- the slots is killed, no server runs more than twice its slots, and the requests of
-- the other gateway processes still succeed.
local fleet = require("fleet")
local slots = require("slots")

local SLOTS = 8
local RUN_MS = 100
local f, gateways = slots.fleet(4)

local started = 0
local function burst(senders, count)
  local ids = {}
  for _ = 1, count do
    for _, gateway in ipairs(senders) do
      started = started + 1
      local body = "lane " .. started
      ids[http_start{method = "POST", url = fleet.url(gateway.port, "/draws"), body = body,
                     headers = {["x-run-ms"] = RUN_MS, ["x-test-id"] = body},
                     timeout_ms = 30000}] = body
    end
  end
  return ids
end

-- Waits for all responses; returns how many were successful and complete.
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

-- Returns the highest number of concurrent requests on a server, running or queued,
-- and the highest number queued.
local function max_concurrency()
  local max_concurrent, queued = 0, 0
  for _, name in ipairs(f.order) do
    local stats = fleet.get_json(f.backends[name].port, "/stats")
    max_concurrent = math.max(max_concurrent, stats.max_running + stats.max_waiting)
    queued = math.max(queued, stats.max_waiting)
  end
  return max_concurrent, queued
end

local function grants(gateway)
  return slots.metric(gateway, 'slot_messages_total{kind="grant"}')
end

local granted_before = {}
for _, gateway in ipairs(gateways) do granted_before[gateway] = grants(gateway) end
local ids = burst(gateways, 40)
assert(collect(ids) == 160, "a request of the burst was not answered")
local max_concurrent, queued = max_concurrency()
assert(max_concurrent <= SLOTS and queued == 0,
       "a server had " .. max_concurrent .. " concurrent requests for " .. SLOTS .. " slots")

-- Finds the owner: only it sends grants.
local owner
for _, gateway in ipairs(gateways) do
  granted_before[gateway] = grants(gateway) - granted_before[gateway]
  if granted_before[gateway] > 0 then
    assert(not owner, "two processes granted slots")
    owner = gateway
  end
end
assert(owner, "no process granted slots")

local survivors = {}
for _, gateway in ipairs(gateways) do
  if gateway ~= owner then table.insert(survivors, gateway) end
end
ids = burst(survivors, 40)
local lost = burst({owner}, 10)
poll(RUN_MS * 2)
signal(owner.pid, "KILL")
collect(lost)
assert(collect(ids) == 120, "a request through another gateway process was not answered")
max_concurrent = max_concurrency()
assert(max_concurrent <= 2 * SLOTS, "without the owner a server had " .. max_concurrent .. " concurrent requests")

-- Another process becomes the owner and grants slots.
for _, gateway in ipairs(survivors) do granted_before[gateway] = grants(gateway) end
fleet.wait_until("another owner grants slots", 20000, function()
  collect(burst(survivors, 1))
  for _, gateway in ipairs(survivors) do
    if grants(gateway) > granted_before[gateway] then return true end
  end
end)
for id, count in pairs(f:runs_by_test_id()) do
  assert(count == 1, id .. " ran " .. count .. " times")
end

-- Without queued or running requests no slot messages are sent.
local function slot_messages()
  local sum = 0
  for _, gateway in ipairs(survivors) do
    sum = sum + grants(gateway) + slots.metric(gateway, 'slot_messages_total{kind="report"}')
  end
  return sum
end
fleet.wait_until("slot messages cease", 15000, function()
  local before = slot_messages()
  poll(1500)
  return slot_messages() == before
end)
