-- Guards against responses that are delivered to the wrong caller or truncated.
-- 10,000 requests with unique bodies go through three gateway processes while
-- backend servers respond late, twice, with truncated responses or with those of
-- another request, and callers disconnect. Each response with outcome "ran" must
-- echo the body of its own request.
local fleet = require("fleet")
math.randomseed(SEED)

local TOTAL, CONCURRENCY = 10000, 48
local f = fleet.new{backends = {
  {name = "vm-a", zone = "z1", rack = "r1"}, {name = "vm-b", zone = "z2", rack = "r2"},
  {name = "vm-c", zone = "z3", rack = "r3"}, {name = "vm-d", zone = "z1", rack = "r4"},
  {name = "vm-e", zone = "z2", rack = "r5"},
}}
local gateways = {f:add_gateway("entry-1"), f:add_gateway("entry-2"), f:add_gateway("entry-3")}
f:publish(1, {{name = "draws", vms = {"vm-a", "vm-b", "vm-c", "vm-d", "vm-e"}, queue = 1000}},
          {{path = "/draws", pool = "draws", deadline_ms = 10000}})
f:must_ctl("roll", 1)
for _, gateway in ipairs(gateways) do f:wait_serving(gateway) end

local faults = {"crossed", "twice", "cut-body", "cut-head", "cut-early"}
local pending, pending_count, started, outcomes = {}, 0, 0, {}

local function start()
  started = started + 1
  local method = started % 3 == 0 and "PUT" or "POST"
  local body = started .. ":" .. string.rep(string.char(97 + started % 26), math.random(0, 2000))
  local headers = {["x-test-id"] = "t" .. started, ["x-run-ms"] = tostring(math.random(0, 3))}
  if math.random(25) == 1 then headers["x-mode"] = faults[math.random(#faults)] end
  if math.random(200) == 1 then headers["x-run-ms"] = "400" end
  local request = {method = method, url = fleet.url(gateways[math.random(3)].port, "/draws"),
                   headers = headers, body = body, timeout_ms = 20000,
                   h2 = started % 4 == 0 and 1 or 0}
  local id = http_start(request)
  pending[id], pending_count = request, pending_count + 1
  if math.random(50) == 1 then
    poll(1)
    http_drop(id)
    pending[id], pending_count = nil, pending_count - 1
  end
end

local function check_response(request, answer)
  local run, reason = fleet.outcome(answer)
  outcomes[reason or "none"] = (outcomes[reason or "none"] or 0) + 1
  assert(not answer.error, "a gateway process broke a connection: " .. tostring(answer.error))
  assert(answer.status ~= 200 or run == "ran", "a response 200 without outcome \"ran\"")
  if run == "ran" then
    assert(answer.status == 200 and answer.body == request.body,
           request.headers["x-test-id"] .. " got another request's response, or a truncated one")
  end
end

fleet.wait_until("all requests have ended", 100000, function()
  while started < TOTAL and pending_count < CONCURRENCY do start() end
  for id, request in pairs(pending) do
    local answer = http_result(id)
    if answer then
      pending[id], pending_count = nil, pending_count - 1
      check_response(request, answer)
    end
  end
  return started == TOTAL and pending_count == 0
end)
assert((outcomes.answered or 0) > TOTAL * 0.8, "less than 80 % of the requests were answered")
assert(outcomes.cut and outcomes.mismatch, "no request ended as cut or as mismatch")

-- Statuses and methods without a body, and errors of the backend server itself.
local function request_status(method, status)
  return fleet.http{method = method, url = fleet.url(gateways[1].port, "/draws"), body = "abc",
                    headers = {["x-status"] = tostring(status)}, timeout_ms = 5000}
end
for _, status in ipairs{204, 304, 500, 503, 404} do
  local answer = request_status("PUT", status)
  assert(answer.status == status and not answer.error, "status " .. status .. " was not passed on")
  local run, reason = fleet.outcome(answer)
  assert(run == "ran" and reason == "answered",
         "a status of the backend server was not reported as its answer")
  assert(answer.body == (status < 400 and "" or "abc"), "wrong body in the response with status " .. status)
end
local head = fleet.http{method = "HEAD", url = fleet.url(gateways[1].port, "/draws"), nobody = 1}
assert(head.status == 200 and head.body == "", "the response to HEAD has a body")
