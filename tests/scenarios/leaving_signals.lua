-- A leaving backend server gets no new work 2 s after the first signal that
-- can be seen: the platform's list alone, the placement alone, the backend
-- server's own word alone. For the last two the list lags by 30 s.
local fleet = require("fleet")

local f = fleet.new{backends = {
  {name = "vm-a", zone = "z1", rack = "r1"}, {name = "vm-b", zone = "z2", rack = "r2"},
  {name = "vm-c", zone = "z3", rack = "r3"}, {name = "vm-d", zone = "z1", rack = "r4"},
  {name = "vm-e", zone = "z2", rack = "r5"},
}, flags = {"--lease-ttl-s", "60"}}
local entries = {}
for index = 1, 4 do entries[index] = f:add_entry("entry-" .. index) end
local all = {"vm-a", "vm-b", "vm-c", "vm-d", "vm-e"}
local routes = {{path = "/draws", pool = "draws"}}
f:publish(1, {{name = "draws", vms = all}}, routes)
f:must_ctl("roll", 1)
for _, entry in ipairs(entries) do f:wait_serving(entry) end

-- The manager is frozen, so that this scenario alone writes the placement.
local manager = fleet.wait_until("one is manager", 5000, function()
  for index, entry in ipairs(entries) do
    if f:status(entry).manager then return index end
  end
end)
signal(table.remove(entries, manager).pid, "STOP")

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
fleet.wait_until("one entry hears vm-b's word", 5000, function()
  local batch = {}
  for i = 1, 32 do
    batch[i] = {method = "POST", url = fleet.url(entries[1].port, "/draws"), body = "x",
                headers = {["x-run-ms"] = "50"}}
  end
  for _, answer in pairs(fleet.http_all(batch)) do
    if answer.headers["x-backend"] == "vm-b" then return true end
  end
end)
f.control(f.backends["vm-b"].port, '{"mode": "ok"}')
expect_no_new_work("vm-b", "its own word")

-- 3. The placement alone: its row for vm-c says draining.
local text
for _, write in ipairs(f.get_json(f.platform_port, "/history")) do
  if write.key == "/sassafrascart/placement" then text = write.value end
end
local number = math.tointeger(json(text).number) + 1
local drained = text:gsub('"number":%d+', '"number":' .. number)
                    :gsub('("vm%-c","draws",)"serving"(.-),%d+%]', '%1"draining"%2,' .. number .. "]")
assert(drained:find('"vm-c","draws","draining"', 1, true), "a row that drains: " .. drained)
local function store(key, value)
  f.control(f.platform_port, string.format('{"key": "/sassafrascart/%s", "value": "%s"}', key,
                                           value:gsub('"', '\\"')))
end
store("placement", drained)
store("pulse/placement", '{"number":' .. number .. "}")
expect_no_new_work("vm-c", "the placement")

-- The others still serve, and the first two have not come back by a list that
-- lags: it may only add.
local a, b, d = run_count("vm-a"), run_count("vm-b"), run_count("vm-d")
load_for(3000)
assert(run_count("vm-a") == a and run_count("vm-b") == b, "nobody came back by the old list")
assert(run_count("vm-d") > d, "the others serve")
