-- A VM that is being drained gets no new requests 2 s after the first signal,
-- which is any one of: its state in the platform's VM list, its row in the
-- placement, the header in a response of its backend server. For the last two
-- the VM list lags by 30 s, so that it cannot be the signal.
local fleet = require("fleet")

local f = fleet.new{backends = {
  {name = "vm-a", zone = "z1", rack = "r1"}, {name = "vm-b", zone = "z2", rack = "r2"},
  {name = "vm-c", zone = "z3", rack = "r3"}, {name = "vm-d", zone = "z1", rack = "r4"},
  {name = "vm-e", zone = "z2", rack = "r5"},
}, flags = {"--lease-ttl-s", "60"}}
local gateways = {}
for index = 1, 4 do gateways[index] = f:add_gateway("entry-" .. index) end
local all = {"vm-a", "vm-b", "vm-c", "vm-d", "vm-e"}
local routes = {{path = "/draws", pool = "draws"}}
f:publish(1, {{name = "draws", vms = all}}, routes)
f:must_ctl("roll", 1)
for _, gateway in ipairs(gateways) do f:wait_serving(gateway) end

-- Freezes the manager, so that only this scenario writes the placement.
local manager = fleet.wait_until("a gateway process is the manager", 5000, function()
  for index, gateway in ipairs(gateways) do
    if f:status(gateway).manager then return index end
  end
end)
signal(table.remove(gateways, manager).pid, "STOP")

local count, pending = 0, {}
-- Sends requests through all gateway processes for a time; each must succeed.
local function load_for(ms, headers)
  local deadline = now_ms() + ms
  repeat
    for _, gateway in ipairs(gateways) do
      count = count + 1
      local all_headers = {["x-test-id"] = "t" .. count, ["x-run-ms"] = "5"}
      for name, value in pairs(headers or {}) do all_headers[name] = value end
      pending[http_start{method = "POST", url = fleet.url(gateway.port, "/draws"), body = "x",
                      headers = all_headers}] = true
    end
    poll(20)
    for id in pairs(pending) do
      local answer = http_result(id)
      if answer then
        pending[id] = nil
        assert(answer.status == 200, "a request failed: " .. answer.status .. answer.body)
      end
    end
  until now_ms() >= deadline
end

local function run_count(vm)
  local runs = 0
  for _ in fleet.read(f.backends[vm].log):gmatch("\n") do runs = runs + 1 end
  return runs
end

-- Checks that no request runs on the VM from 2 s to 4 s after the signal.
local function expect_no_new_work(vm, signal_name)
  load_for(2000)
  local before = run_count(vm)
  load_for(2000)
  local after = run_count(vm)
  assert(after == before, string.format("%s got %d requests 2 s after the signal in %s", vm, after - before,
                                        signal_name))
end

load_for(1000)
for _, vm in ipairs(all) do assert(run_count(vm) > 0, vm .. " served no request") end

-- 1. Only the VM list shows that vm-a is being drained.
f.control(f.platform_port, '{"vm": "vm-a", "state": "leaving"}')
expect_no_new_work("vm-a", "the VM list")

f.control(f.platform_port, '{"list_lag_ms": 30000}')
-- 2. Only a response header of vm-b's backend server announces the draining, and
-- only to one gateway process.
f.control(f.backends["vm-b"].port, '{"mode": "leaving"}')
fleet.wait_until("a gateway process gets a response of vm-b", 5000, function()
  local batch = {}
  for i = 1, 32 do
    batch[i] = {method = "POST", url = fleet.url(gateways[1].port, "/draws"), body = "x",
                headers = {["x-run-ms"] = "50"}}
  end
  for _, answer in pairs(fleet.http_all(batch)) do
    if answer.headers["x-backend"] == "vm-b" then return true end
  end
end)
f.control(f.backends["vm-b"].port, '{"mode": "ok"}')
expect_no_new_work("vm-b", "a response header")

-- 3. Only the placement shows vm-c as draining.
local text
for _, write in ipairs(f.get_json(f.platform_port, "/history")) do
  if write.key == "/sassafrascart/placement" then text = write.value end
end
local number = math.tointeger(json(text).number) + 1
local edited = text:gsub('"number":%d+', '"number":' .. number)
                   :gsub('("vm%-c","draws",)"serving"(.-),%d+%]', '%1"draining"%2,' .. number .. "]")
assert(edited:find('"vm-c","draws","draining"', 1, true), "cannot edit the placement: " .. edited)
local function store(key, value)
  f.control(f.platform_port, string.format('{"key": "/sassafrascart/%s", "value": "%s"}', key,
                                           value:gsub('"', '\\"')))
end
store("placement", edited)
store("pulse/placement", '{"number":' .. number .. "}")
expect_no_new_work("vm-c", "the placement")

-- vm-d still serves, and vm-a and vm-b have not returned to service. The
-- lagging list still shows vm-b as live, but a list can only add draining VMs.
local a, b, d = run_count("vm-a"), run_count("vm-b"), run_count("vm-d")
load_for(3000)
assert(run_count("vm-a") == a and run_count("vm-b") == b, "a draining VM returned to service by a stale list")
assert(run_count("vm-d") > d, "vm-d served no request")
