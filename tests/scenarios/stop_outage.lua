-- Guarantee P7: graceful shutdown of a gateway process while the platform does not
-- respond. A request that runs beyond the grace period is answered completely,
-- requests after that period are refused as not run, and the process then exits
-- with 0.
local fleet = require("fleet")

local RUN_MS = 3000
local EXIT_DEADLINE_MS = RUN_MS + 3000

local f = fleet.new{flags = {"--leave-grace-ms", "500"}, backends = {
  {name = "vm-a", zone = "z1", rack = "r1"},
}}
local gateway = f:add_gateway("entry-1")
f:publish(1, {{name = "draws", vms = {"vm-a"}}}, {{path = "/draws", pool = "draws", idempotent = "no"}})
f:must_ctl("roll", 1)
f:wait_serving(gateway)

local function request(id, run_ms)
  return {method = "POST", url = fleet.url(gateway.port, "/draws"), body = id,
          headers = {["x-test-id"] = id, ["x-run-ms"] = tostring(run_ms)}}
end

local long = http_start(request("long", RUN_MS))
fleet.wait_until("the long request runs", 5000, function() return f:runs_by_test_id()["long"] end)
fleet.control(f.platform_port, '{"mode": "down"}')
local stopped_ms = now_ms()
signal(gateway.pid, "TERM")
fleet.wait_until("the health check fails", 500, function() return not f:healthy(gateway) end)
local early = fleet.http(request("early", 0))
assert(early.status == 200 and early.body == "early", "a request within the grace period failed: " .. early.status)
signal(gateway.pid, "TERM")
local refused = fleet.wait_until("new requests are refused", 2000, function()
  local answer = fleet.http(request("refused", 0))
  return answer.status == 503 and answer
end)
assert(refused.headers["sassafrascart-outcome"] == "not-run; reason=shutting-down")
assert(refused.headers["connection"] == "close" and refused.headers["retry-after"])

local code, answer
fleet.wait_until("the process exits", EXIT_DEADLINE_MS, function()
  answer = answer or http_result(long)
  code = code or exited(gateway.pid)
  return code and answer
end)
assert(code == 0 and now_ms() - stopped_ms < EXIT_DEADLINE_MS, "exit code " .. code)
assert(answer.status == 200 and answer.body == "long", "the long request was not answered completely")
local runs = f:runs_by_test_id()
assert(runs["long"] == 1 and runs["early"] == 1, "a request did not run exactly once")
