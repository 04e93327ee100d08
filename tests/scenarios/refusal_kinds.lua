-- Triggers every reason for which a request is refused with outcome "not-run", and
-- checks by the backend servers' run logs that no refused request ran. With an odd
-- seed slow requests occupy the slots, with an even one requests that never get a
-- response.
local fleet = require("fleet")

local names = {"full", "bytes", "late", "solo", "dead", "key"}
local backends, pools, routes = {}, {}, {}
for index, name in ipairs(names) do
  table.insert(backends, {name = "vm-" .. name, zone = "z1", rack = "r" .. index})
  table.insert(pools, {name = name, vms = {"vm-" .. name}, queue = name == "full" and 3 or 100,
                       queue_bytes = name == "bytes" and 100000 or nil})
  table.insert(routes, {path = "/" .. name, pool = name, idempotent = "no", deadline_ms = 4000})
end

local f = fleet.new{backends = backends,
                    flags = {"--dispatch-window-ms", "2500", "--platform-timeout-ms", "300",
                             "--leave-grace-ms", "0"}}
local gateway = f:add_gateway("entry-1")
local refused, refusal_counts, count = {}, {}, 0

local function request(path, headers, body)
  count = count + 1
  local all = {["x-test-id"] = "t" .. count}
  for name, value in pairs(headers or {}) do all[name] = value end
  return {method = "POST", url = fleet.url(gateway.port, path), headers = all, body = body or "x",
          timeout_ms = 15000}
end

-- Records a request that was reported as "not-run", for the check at the end;
-- returns the reason of the outcome.
local function record_outcome(sent, answer)
  local run, reason = fleet.outcome(answer)
  if run ~= "not-run" then return reason end
  refused[sent.headers["x-test-id"]] = reason
  refusal_counts[reason] = (refusal_counts[reason] or 0) + 1
  if answer.status == 503 then
    assert(tonumber(answer.headers["retry-after"]) >= 1, "a refusal lacks a valid retry-after")
  end
  return reason
end

local function expect(sent, reason)
  local answer = fleet.http(sent)
  local got = record_outcome(sent, answer)
  assert(got == reason, reason .. " expected, found " .. answer.status .. " " .. tostring(got))
end

local busy = SEED % 2 == 1 and {["x-run-ms"] = "2500"} or {["x-mode"] = "silent"}

local function occupy_slots(path)
  local ids = {}
  for _ = 1, 8 do table.insert(ids, http_start(request(path, busy))) end
  fleet.wait_until("slots of " .. path .. " are busy", 5000, function()
    return f.get_json(f.backends["vm-" .. path:sub(2)].port, "/stats").running == 8
  end)
  return ids
end

expect(request("/full"), "no-bundle")
f:publish(1, pools, routes)
f:must_ctl("roll", 1)
f:wait_serving(gateway)
expect(request("/nothing"), "no-route")
expect(request("/full", {["sassafrascart-deadline-ms"] = "soon"}), "bad-request")
expect(request("/full", {["idempotency-key"] = string.rep("k", 300)}), "bad-request")
expect(request("/full", {["x-long"] = string.rep("h", 40000)}), "bad-request")

for path, body in pairs{["/full"] = "x", ["/bytes"] = string.rep("b", 40000)} do
  occupy_slots(path)
  local sent = {}
  for i = 1, 12 do sent[i] = request(path, nil, body) end
  for i, answer in pairs(fleet.http_all(sent)) do record_outcome(sent[i], answer) end
end
assert(refusal_counts["queue-full"] and refusal_counts["queue-bytes"],
       "a limit of the queue (requests or bytes) refused nothing")

occupy_slots("/late")
expect(request("/late", {["sassafrascart-deadline-ms"] = "300"}), "expired")
local dropped = request("/late")
local id = http_start(dropped)
poll(200)
http_drop(id)
refused[dropped.headers["x-test-id"]] = "cancelled"
fleet.wait_until("slots are free", 8000, function()
  return f.get_json(f.backends["vm-late"].port, "/stats").running == 0
end)
-- The pool now predicts how long its requests take, so that a request with a short
-- deadline is refused before it is queued.
occupy_slots("/late")
for _ = 1, 6 do http_start(request("/late")) end
poll(100)
expect(request("/late", {["sassafrascart-deadline-ms"] = "50"}), "would-expire")

assert(fleet.http(request("/solo", {["x-mode"] = "leaving"})).status == 200)
expect(request("/solo"), "no-vm")
local dead = f.backends["vm-dead"].pid
signal(dead, "KILL")
fleet.wait_until("vm-dead has ended", 5000, function() return exited(dead) end)
expect(request("/dead"), "connect-failed")

f.control(f.platform_port, '{"mode": "lose"}')
local key = request("/key", {["idempotency-key"] = "draw-1"})
expect(key, "claim-failed")
f.control(f.platform_port, '{"mode": "down"}')
expect(request("/key", {["idempotency-key"] = "draw-2"}), "claim-failed")
fleet.wait_until("the view is stale", 8000, function()
  local sent = request("/key")
  return record_outcome(sent, fleet.http(sent)) == "stale-view"
end)
f.control(f.platform_port, '{"mode": "ok"}')
f:wait_serving(gateway)
-- The gateway process releases the claim whose response was lost, so the key can
-- be reused.
fleet.wait_until("the claim of the key is released", 10000, function()
  local sent = request("/key", {["idempotency-key"] = "draw-1"})
  return record_outcome(sent, fleet.http(sent)) == "answered"
end)

http_start(request("/key", {["x-run-ms"] = "1500"}))
poll(100)
signal(gateway.pid, "TERM")
fleet.wait_until("the process is shutting down", 1000, function()
  local sent = request("/key")
  return record_outcome(sent, fleet.http(sent)) == "shutting-down"
end)

for _, kind in ipairs{"no-bundle", "no-route", "bad-request", "queue-full", "queue-bytes",
                      "would-expire", "expired", "no-vm", "connect-failed", "claim-failed",
                      "stale-view", "shutting-down"} do
  assert(refusal_counts[kind], "no request was refused as " .. kind)
end
local code = fleet.wait_until("the process has ended", 8000, function()
  return exited(gateway.pid)
end)
assert(code == 0, "the process exited with " .. code)
local runs = f:runs_by_test_id()
for test_id, reason in pairs(refused) do
  assert(not runs[test_id], test_id .. " was refused as " .. reason .. ", but ran")
end
