-- Guarantee P7: graceful shutdown of the manager by SIGTERM under load. Its health
-- check fails at once. Requests that are running or queued, or that arrive before the
-- load balancer notices, succeed, over HTTP/1.1 with persistent connections and over
-- HTTP/2. Another gateway process becomes the manager long before the lease could
-- expire. The stopped process revokes its lease and exits with 0.
local fleet = require("fleet")

local ROUTES = {{path = "/draws", pool = "draws", idempotent = "no", deadline_ms = 20000},
                {path = "/orders", pool = "orders", idempotent = "no", deadline_ms = 20000}}
local BALANCER_MS = 500
local LEASE_S = 60
local IN_FLIGHT = 12
local LONG_MS = 3500

math.randomseed(SEED)
local f = fleet.new{flags = {"--lease-ttl-s", tostring(LEASE_S), "--drain-ms", "20000"}, backends = {
  {name = "vm-a", zone = "z1", rack = "r1"},
  {name = "vm-b", zone = "z2", rack = "r2"},
  {name = "vm-c", zone = "z3", rack = "r3"},
}}
local gateways = {}
for index = 1, 3 do table.insert(gateways, f:add_gateway("entry-" .. index)) end
f:publish(1, {{name = "draws", vms = {"vm-a", "vm-b"}, wait_ms = 20000},
               {name = "orders", vms = {"vm-c"}, wait_ms = 20000}}, ROUTES)
f:must_ctl("roll", 1)
for _, gateway in ipairs(gateways) do f:wait_serving(gateway) end

local function manager()
  for _, gateway in ipairs(gateways) do
    local status = not gateway.stopped and f:status(gateway)
    if status and status.manager then return gateway end
  end
end
local stopping = fleet.wait_until("a gateway process is the manager", 10000, manager)

-- Load balancer: checks the health of the gateway processes every BALANCER_MS;
-- requests go to those that passed the last check.
local pending, sent, answered, checked_ms = {}, 0, 0, 0
local function check_health()
  if now_ms() - checked_ms < BALANCER_MS then return end
  checked_ms = now_ms()
  for _, gateway in ipairs(gateways) do
    gateway.healthy = not gateway.stopped and f:healthy(gateway)
  end
end

-- Long requests go to the pool "draws", short ones to "orders".
local function send(gateway, run_ms)
  sent = sent + 1
  local path = run_ms == LONG_MS and "/draws" or "/orders"
  local id = path .. sent
  pending[id] = http_start{method = "POST", url = fleet.url(gateway.port, path), body = id,
                           h2 = sent % 2, timeout_ms = 30000,
                           headers = {["x-test-id"] = id, ["x-run-ms"] = tostring(run_ms)}}
end

local function collect()
  for id, request in pairs(pending) do
    local answer = http_result(request)
    if answer then
      pending[id] = nil
      answered = answered + 1
      assert(answer.status == 200 and answer.body == id and not answer.error,
             id .. ": " .. answer.status .. " " .. answer.body .. " " .. (answer.error or ""))
    end
  end
end

local function load_for(ms)
  local until_ms = now_ms() + ms
  while now_ms() < until_ms do
    check_health()
    local in_flight = 0
    for id in pairs(pending) do
      if id:find("orders") then in_flight = in_flight + 1 end
    end
    while in_flight < IN_FLIGHT do
      local gateway = gateways[sent % #gateways + 1]
      if gateway.healthy then
        send(gateway, math.random(1, 80))
        in_flight = in_flight + 1
      else
        sent = sent + 1
      end
    end
    poll(5)
    collect()
  end
end

load_for(1000)
-- More requests than both VMs have slots, so that some are queued.
for _ = 1, 20 do send(stopping, LONG_MS) end
load_for(300)
local stopped_ms = now_ms()
checked_ms = stopped_ms
signal(stopping.pid, "TERM")
fleet.wait_until("the health check fails", 500, function() return not f:healthy(stopping) end)
local before = sent
load_for(2 * BALANCER_MS)
assert(sent > before, "no request was sent after the signal")
stopping.stopped = true
local successor = fleet.wait_until("another gateway process is the manager", 5000, function()
  collect()
  return manager()
end)
assert(successor ~= stopping and now_ms() - stopped_ms < LEASE_S * 1000 / 4,
       "the takeover took a quarter of the lease or longer")

local code
fleet.wait_until("the process exits", 25000, function()
  collect()
  code = code or exited(stopping.pid)
  return code and next(pending) == nil
end)
assert(code == 0, "exit code " .. code)
local stored_keys = {}
for _, change in ipairs(fleet.get_json(f.platform_port, "/history")) do stored_keys[change.key] = change.value end
assert(not stored_keys["/sassafrascart/member/" .. stopping.name], "the lease was not revoked")
local runs = f:runs_by_test_id()
for id, count in pairs(runs) do
  assert(count == 1, id .. " ran " .. count .. " times")
end
print(answered .. " requests answered completely")
