-- The process that owns a pool's slots is stopped by SIGTERM under load. Another
-- process takes over, no backend server gets more concurrent requests than it has
-- slots, and every request is answered.
local fleet = require("fleet")
local slots = require("slots")

local SLOTS = 8
local f, gateways = slots.fleet(3)

local pending, answered, sent = {}, 0, 0
local function send(gateway)
  sent = sent + 1
  local body = "lane " .. sent
  pending[http_start{method = "POST", url = fleet.url(gateway.port, "/draws"), body = body,
                     headers = {["x-run-ms"] = 100, ["x-test-id"] = body},
                     timeout_ms = 30000}] = body
end
local function collect()
  for id, body in pairs(pending) do
    local result = http_result(id)
    if result then
      pending[id] = nil
      assert(result.status == 200 and result.body == body,
             body .. ": " .. (result.error or result.status))
      answered = answered + 1
    end
  end
  return next(pending) == nil
end

local function grants(gateway)
  return slots.metric(gateway, 'slot_messages_total{kind="grant"}')
end
local granted_before = {}
for _, gateway in ipairs(gateways) do granted_before[gateway] = grants(gateway) end
for _ = 1, 30 do
  for _, gateway in ipairs(gateways) do send(gateway) end
end
poll(300)
local owner, others = nil, {}
for _, gateway in ipairs(gateways) do
  if grants(gateway) > granted_before[gateway] then owner = gateway else table.insert(others, gateway) end
end
assert(owner and #others == #gateways - 1, "expected exactly one owner that grants slots")
signal(owner.pid, "TERM")
for _ = 1, 20 do
  for _, gateway in ipairs(others) do send(gateway) end
  poll(20)
  collect()
end
fleet.wait_until("all requests end", 30000, collect)
assert(answered == sent, answered .. " of " .. sent .. " answered")
local code = fleet.wait_until("the owner exits", 10000, function() return exited(owner.pid) end)
assert(code == 0, "the owner exited with " .. code)
for _, name in ipairs(f.order) do
  local stats = fleet.get_json(f.backends[name].port, "/stats")
  assert(stats.max_running <= SLOTS and stats.max_waiting == 0,
         name .. " had " .. stats.max_running + stats.max_waiting .. " concurrent requests")
end
