-- Outlier ejection. A backend server that fails every request immediately looks
-- idle and would attract load; one that accepts requests and never responds holds
-- them until their deadlines. Both must be ejected while other servers respond,
-- and readmitted once they recover. Requests that fail on every server must not
-- get the whole pool ejected.
local fleet = require("fleet")

local f = fleet.new{backends = {
  {name = "vm-a", zone = "z1", rack = "r1"}, {name = "vm-b", zone = "z2", rack = "r2"},
  {name = "vm-c", zone = "z3", rack = "r3"}, {name = "vm-d", zone = "z1", rack = "r4"},
}}
local gateways = {f:add_gateway("entry-1"), f:add_gateway("entry-2")}
f:publish(1, {{name = "draws", vms = {"vm-a", "vm-b", "vm-c", "vm-d"}}},
          {{path = "/draws", pool = "draws", idempotent = "no", deadline_ms = 1000},
           {path = "/lists", pool = "draws", idempotent = "yes", deadline_ms = 1000}})
f:must_ctl("roll", 1)
for _, gateway in ipairs(gateways) do f:wait_serving(gateway) end

local count = 0
local function request(path, headers)
  count = count + 1
  local all = {["x-test-id"] = "t" .. count, ["x-run-ms"] = "10"}
  for name, value in pairs(headers or {}) do all[name] = value end
  return {method = "POST", url = fleet.url(gateways[count % 2 + 1].port, path), headers = all,
          body = "b" .. count}
end

-- Sends batches of 8 requests; returns the number without a response 200.
local function count_failures(batches, path, headers)
  local failed = 0
  for _ = 1, batches do
    local batch = {}
    for i = 1, 8 do batch[i] = request(path, headers) end
    for _, answer in pairs(fleet.http_all(batch)) do
      if answer.status ~= 200 then failed = failed + 1 end
    end
  end
  return failed
end

local function run_count(vm)
  local runs = 0
  for _ in fleet.read(f.backends[vm].log):gmatch("\n") do runs = runs + 1 end
  return runs
end

assert(count_failures(10, "/draws") == 0, "a request to a healthy pool failed")

-- 1. vm-a fails every request. Expected are three failures for each gateway
-- process until it ejects the server, and failed probes after that.
f.control(f.backends["vm-a"].port, '{"mode": "fail"}')
local failed = count_failures(60, "/draws")
assert(failed >= 1 and failed <= 30, failed .. " of 480 requests failed on vm-a")
f.control(f.backends["vm-a"].port, '{"mode": "ok"}')
local before = run_count("vm-a")
fleet.wait_until("vm-a is readmitted", 20000, function()
  count_failures(2, "/draws")
  return run_count("vm-a") > before + 20
end)

-- 2. vm-b accepts requests and never responds, not even on new connections.
f.control(f.backends["vm-b"].port, '{"mode": "silent"}')
count_failures(10, "/draws")
failed = count_failures(60, "/draws")
assert(failed <= 30, failed .. " of 480 requests were lost to a silent server")
f.control(f.backends["vm-b"].port, '{"mode": "ok"}')

-- 3. Two of eight requests reset the connection on whichever server they reach.
local good = 0
for _ = 1, 20 do
  local batch = {}
  for i = 1, 8 do batch[i] = request("/lists", i <= 2 and {["x-mode"] = "reset"} or nil) end
  for i, answer in pairs(fleet.http_all(batch)) do
    if i > 2 and answer.status == 200 then good = good + 1 end
  end
end
assert(good >= 114, "only " .. good .. " of 120 good requests were answered")
