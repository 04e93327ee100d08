-- Claims of idempotency keys while the platform is slow, loses responses or is
-- down, and when a gateway process crashes. A key is claimed in the store before the
-- request is sent to a backend server. The claim is released if the request did
-- not run, and kept until it expires if it may have.
local fleet = require("fleet")

local CLAIM_TTL_S = 8
local f = fleet.new{backends = {{name = "vm-a", zone = "z1", rack = "r1"},
                                {name = "vm-b", zone = "z2", rack = "r2"}},
                    flags = {"--claim-life-s", tostring(CLAIM_TTL_S), "--platform-timeout-ms", "2000"}}
local gateways = {f:add_gateway("entry-1"), f:add_gateway("entry-2"), f:add_gateway("entry-3")}
f:publish(1, {{name = "draws", vms = {"vm-a", "vm-b"}}},
          {{path = "/draws", pool = "draws", idempotent = "no", deadline_ms = 5000}})
f:must_ctl("roll", 1)
for _, gateway in ipairs(gateways) do f:wait_serving(gateway) end

local count, refused = 0, {}
local function request(gateway, key, headers)
  count = count + 1
  local all = {["x-test-id"] = "t" .. count, ["idempotency-key"] = key}
  for name, value in pairs(headers or {}) do all[name] = value end
  return {method = "POST", url = fleet.url(gateway.port, "/draws"), headers = all, body = key}
end

local function reason_of(sent_request)
  local run, reason = fleet.outcome(fleet.http(sent_request))
  if run == "not-run" then table.insert(refused, sent_request.headers["x-test-id"]) end
  return reason
end

local function wait_key_released(gateway, key)
  fleet.wait_until(key .. " is free again", 6000, function()
    return reason_of(request(gateway, key)) == "answered"
  end)
end

-- 1. The request's deadline passes while the claim is being written.
assert(reason_of(request(gateways[1], "first")) == "answered")
f.control(f.platform_port, '{"delay_ms": 800}')
assert(reason_of(request(gateways[1], "slow", {["sassafrascart-deadline-ms"] = "300"})) == "expired")
f.control(f.platform_port, '{"delay_ms": 0}')
wait_key_released(gateways[2], "slow")
assert(reason_of(request(gateways[1], "slow")) == "duplicate-key")

-- 2. The claim is written, but the platform's response is lost.
f.control(f.platform_port, '{"mode": "lose"}')
assert(reason_of(request(gateways[1], "lost")) == "claim-failed")
f.control(f.platform_port, '{"mode": "ok"}')
wait_key_released(gateways[2], "lost")
assert(reason_of(request(gateways[3], "lost")) == "duplicate-key")

-- 3. In an outage requests with a key are refused, those without one still run.
f.control(f.platform_port, '{"mode": "down"}')
assert(reason_of(request(gateways[1], "outage")) == "claim-failed")
assert(fleet.http{method = "POST", url = fleet.url(gateways[1].port, "/draws"), body = "x"}.status
       == 200, "a request without a key failed in an outage")
f.control(f.platform_port, '{"mode": "ok"}')
wait_key_released(gateways[3], "outage")

-- 4. The gateway process crashes with the request in progress. The claim stays
-- until its time-to-live has passed.
local sent_request = request(gateways[1], "killed", {["x-run-ms"] = "500"})
http_start(sent_request)
fleet.wait_until("the request runs", 5000, function()
  return f:runs_by_test_id()[sent_request.headers["x-test-id"]]
end)
signal(gateways[1].pid, "KILL")
local killed_ms = now_ms()
assert(reason_of(request(gateways[2], "killed")) == "duplicate-key")
fleet.wait_until("the claim expires", 30000, function()
  return reason_of(request(gateways[2], "killed")) == "answered"
end)
assert(now_ms() - killed_ms >= (CLAIM_TTL_S - 1) * 1000, "the claim expired before its time-to-live")

local runs = f:runs_by_test_id()
for _, id in ipairs(refused) do assert(not runs[id], id .. " was refused and ran") end
