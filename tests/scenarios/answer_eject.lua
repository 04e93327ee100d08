-- A backend server that fails everything at once looks idle, and one that
-- accepts and stays silent holds its requests until their deadlines: neither
-- may go on drawing work while others answer, and both come back. A request
-- that fails wherever it runs does not cost the pool its servers.
local fleet = require("fleet")

local f = fleet.new{backends = {
  {name = "vm-a", zone = "z1", rack = "r1"}, {name = "vm-b", zone = "z2", rack = "r2"},
  {name = "vm-c", zone = "z3", rack = "r3"}, {name = "vm-d", zone = "z1", rack = "r4"},
}}
local entries = {f:add_entry("entry-1"), f:add_entry("entry-2")}
f:publish(1, {{name = "draws", vms = {"vm-a", "vm-b", "vm-c", "vm-d"}}},
          {{path = "/draws", pool = "draws", idempotent = "no", deadline_ms = 1000},
           {path = "/lists", pool = "draws", idempotent = "yes", deadline_ms = 1000}})
f:must_ctl("roll", 1)
for _, entry in ipairs(entries) do f:wait_serving(entry) end

local count = 0
local function request(path, headers)
  count = count + 1
  local all = {["x-test-id"] = "t" .. count, ["x-run-ms"] = "10"}
  for name, value in pairs(headers or {}) do all[name] = value end
  return {method = "POST", url = fleet.url(entries[count % 2 + 1].port, path), headers = all,
          body = "b" .. count}
end

-- Sends requests in small groups; returns how many were not answered with 200.
local function failures(groups, path, headers)
  local failed = 0
  for _ = 1, groups do
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

assert(failures(10, "/draws") == 0, "healthy servers answer")

-- 1. vm-a fails everything at once; three failures for each entry and probes.
f.control(f.backends["vm-a"].port, '{"mode": "fail"}')
local failed = failures(60, "/draws")
assert(failed >= 1 and failed <= 30, failed .. " of 480 requests failed on vm-a")
f.control(f.backends["vm-a"].port, '{"mode": "ok"}')
local before = run_count("vm-a")
fleet.wait_until("vm-a is back", 20000, function()
  failures(2, "/draws")
  return run_count("vm-a") > before + 20
end)

-- 2. vm-b accepts and never answers, on new connections too.
f.control(f.backends["vm-b"].port, '{"mode": "silent"}')
failures(10, "/draws")
failed = failures(60, "/draws")
assert(failed <= 30, failed .. " of 480 requests were lost to a silent server")
f.control(f.backends["vm-b"].port, '{"mode": "ok"}')

-- 3. Requests that break every server they reach, among good ones.
local good = 0
for _ = 1, 20 do
  local batch = {}
  for i = 1, 8 do batch[i] = request("/lists", i <= 2 and {["x-mode"] = "reset"} or nil) end
  for i, answer in pairs(fleet.http_all(batch)) do
    if i > 2 and answer.status == 200 then good = good + 1 end
  end
end
assert(good >= 114, "good requests go on: " .. good .. " of 120")
