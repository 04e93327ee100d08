-- Idempotency keys when the platform is slow, loses answers or is down, and
-- when an entry dies: a key is claimed before anything is sent, given back
-- when nothing ran, and held for its life when something may have.
local fleet = require("fleet")

local LIFE_S = 8
local f = fleet.new{backends = {{name = "vm-a", zone = "z1", rack = "r1"},
                                {name = "vm-b", zone = "z2", rack = "r2"}},
                    flags = {"--claim-life-s", tostring(LIFE_S), "--platform-timeout-ms", "2000"}}
local entries = {f:add_entry("entry-1"), f:add_entry("entry-2"), f:add_entry("entry-3")}
f:publish(1, {{name = "draws", vms = {"vm-a", "vm-b"}}},
          {{path = "/draws", pool = "draws", idempotent = "no", deadline_ms = 5000}})
f:must_ctl("roll", 1)
for _, entry in ipairs(entries) do f:wait_serving(entry) end

local count, refused = 0, {}
local function request(entry, key, headers)
  count = count + 1
  local all = {["x-test-id"] = "t" .. count, ["idempotency-key"] = key}
  for name, value in pairs(headers or {}) do all[name] = value end
  return {method = "POST", url = fleet.url(entry.port, "/draws"), headers = all, body = key}
end

local function reason_of(sent)
  local run, reason = fleet.outcome(fleet.http(sent))
  if run == "not-run" then table.insert(refused, sent.headers["x-test-id"]) end
  return reason
end

local function wait_answered(entry, key)
  fleet.wait_until(key .. " is free again", 6000, function()
    return reason_of(request(entry, key)) == "answered"
  end)
end

-- 1. The deadline passes while the claim is on its way.
assert(reason_of(request(entries[1], "first")) == "answered")
f.control(f.platform_port, '{"delay_ms": 800}')
assert(reason_of(request(entries[1], "slow", {["sassafrascart-deadline-ms"] = "300"})) == "expired")
f.control(f.platform_port, '{"delay_ms": 0}')
wait_answered(entries[2], "slow")
assert(reason_of(request(entries[1], "slow")) == "duplicate-key")

-- 2. The claim takes effect and its answer is lost.
f.control(f.platform_port, '{"mode": "lose"}')
assert(reason_of(request(entries[1], "lost")) == "claim-failed")
f.control(f.platform_port, '{"mode": "ok"}')
wait_answered(entries[2], "lost")
assert(reason_of(request(entries[3], "lost")) == "duplicate-key")

-- 3. In an outage keys are refused and requests without one go on.
f.control(f.platform_port, '{"mode": "down"}')
assert(reason_of(request(entries[1], "outage")) == "claim-failed")
assert(fleet.http{method = "POST", url = fleet.url(entries[1].port, "/draws"), body = "x"}.status
       == 200, "requests without a key go on in an outage")
f.control(f.platform_port, '{"mode": "ok"}')
wait_answered(entries[3], "outage")

-- 4. The entry dies with its request in progress; the claim outlasts it, and
-- its life ends without anybody's doing.
local sent = request(entries[1], "killed", {["x-run-ms"] = "500"})
http_start(sent)
fleet.wait_until("it runs", 5000, function() return f:runs_by_test_id()[sent.headers["x-test-id"]] end)
signal(entries[1].pid, "KILL")
local began = now_ms()
assert(reason_of(request(entries[2], "killed")) == "duplicate-key")
fleet.wait_until("the claim's life ends", 30000, function()
  return reason_of(request(entries[2], "killed")) == "answered"
end)
assert(now_ms() - began >= (LIFE_S - 1) * 1000, "not before its life")

local runs = f:runs_by_test_id()
for _, id in ipairs(refused) do assert(not runs[id], id .. " was refused and ran") end
