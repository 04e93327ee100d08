-- A leaving backend server gets no new work 2 s after the first signal that
-- can be seen: the platform's list alone, the placement alone, the backend
-- server's own word alone. For the last two the list lags by 30 s.
local fleet = require("fleet")

local f = fleet.new{backends = {
  {name = "vm-a", zone = "z1", rack = "r1"}, {name = "vm-b", zone = "z2", rack = "r2"},
  {name = "vm-c", zone = "z3", rack = "r3"}, {name = "vm-d", zone = "z1", rack = "r4"},
  {name = "vm-e", zone = "z2", rack = "r5"},
}}
local entries = {f:add_entry("entry-1"), f:add_entry("entry-2"), f:add_entry("entry-3")}
local all = {"vm-a", "vm-b", "vm-c", "vm-d", "vm-e"}
local routes = {{path = "/draws", pool = "draws"}}
f:publish(1, {{name = "draws", vms = all}}, routes)
f:must_ctl("roll", 1)
for _, entry in ipairs(entries) do f:wait_serving(entry) end

local count, open = 0, {}
-- Keeps all entries busy for a time; every answer must be a whole one.
local function load_for(ms, headers)
  local deadline = now_ms() + ms
  repeat
    for _, entry in ipairs(entries) do
      count = count + 1
      local sent = {["x-test-id"] = "t" .. count, ["x-run-ms"] = "5"}
      for name, value in pairs(headers or {}) do sent[name] = value end
      open[http_start{method = "POST", url = fleet.url(entry.port, "/draws"), body = "x",
                      headers = sent}] = true
    end
    poll(20)
    for id in pairs(open) do
      local answer = http_result(id)
      if answer then
        open[id] = nil
        assert(answer.status == 200, "no request is lost: " .. answer.status .. answer.body)
      end
    end
  until now_ms() >= deadline
end

local function run_count(vm)
  local runs = 0
  for _ in fleet.read(f.backends[vm].log):gmatch("\n") do runs = runs + 1 end
  return runs
end

-- Two seconds after the signal, two further seconds bring no new run.
local function expect_no_new_work(vm, signal_name)
  load_for(2000)
  local before = run_count(vm)
  load_for(2000)
  local after = run_count(vm)
  assert(after == before, string.format("%s got %d requests 2 s after %s", vm, after - before,
                                        signal_name))
end

load_for(1000)
for _, vm in ipairs(all) do assert(run_count(vm) > 0, vm .. " serves") end

-- 1. The platform's list alone.
f.control(f.platform_port, '{"vm": "vm-a", "state": "leaving"}')
expect_no_new_work("vm-a", "the list")

f.control(f.platform_port, '{"list_lag_ms": 30000}')
-- 2. The backend server's own word alone, heard by one entry.
f.control(f.backends["vm-b"].port, '{"mode": "leaving"}')
expect_no_new_work("vm-b", "its own word")
f.control(f.backends["vm-b"].port, '{"mode": "ok"}')

-- 3. The placement alone: the next bundle no longer gives vm-c to the pool.
f:publish(2, {{name = "draws", vms = {"vm-a", "vm-b", "vm-d", "vm-e"}}}, routes)
f:must_ctl("roll", 2)
expect_no_new_work("vm-c", "the placement")

-- The others still serve, and the first two have not come back by a list that
-- lags: it may only add.
local a, b, d = run_count("vm-a"), run_count("vm-b"), run_count("vm-d")
load_for(3000)
assert(run_count("vm-a") == a and run_count("vm-b") == b, "nobody came back by the old list")
assert(run_count("vm-d") > d, "the others serve")
