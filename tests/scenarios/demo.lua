-- Demonstration with stand-ins: nine gateway processes and five pools on 48 backend
-- servers in three availability zones go through a roll, a burst, a maintenance wave
-- and the crash of a backend server. Prints a report and fails if a guarantee was
-- broken.
local fleet = require("fleet")

local ZONES = 3
local VMS = 48
local SERVICES = {"draws", "rosters", "results", "clubs", "entries"}
local TARGETS = {draws = 9, rosters = 9, results = 9, clubs = 9, entries = 8}
local MEAN_PER_S = 40
local PHASES = {{name = "mean load", factor = 1, seconds = 3},
                {name = "burst of five times the mean", factor = 5, seconds = 4},
                {name = "a twentieth of the mean", factor = 0.05, seconds = 2},
                {name = "mean load, a maintenance wave and a crash", factor = 1, seconds = 20}}

print("starting " .. VMS .. " backend servers and 9 gateway processes")
local backends = {}
for i = 1, VMS do
  local zone = (i - 1) % ZONES + 1
  backends[i] = {name = string.format("vm-%02d", i), zone = "zone-" .. zone,
                 rack = string.format("rack-%d-%d", zone, (i - 1) // (ZONES * 4))}
end
local f = fleet.new{backends = backends, flags = {
  "--lease-ttl-s", "2", "--manager-tick-ms", "200", "--vm-list-ms", "500", "--vm-list-lag-ms", "200",
  "--vm-failed-after-ms", "2000", "--dispatch-window-ms", "1500"}}
fleet.control(f.platform_port, '{"reboot_ms": 500}')
local gateways = {}
for i = 1, 9 do gateways[i] = f:add_gateway("entry-" .. i) end

local function publish_bundle(version)
  local pools, routes = {}, {}
  for _, service in ipairs(SERVICES) do
    table.insert(pools, {name = service, vms = f.order, target = TARGETS[service],
                         floor = TARGETS[service] - 3, survive = "rack",
                         spare = service == "entries", queue = 400, wait_ms = 3000})
    table.insert(routes, {path = "/" .. service, pool = service, deadline_ms = service == "rosters" and 2000 or 4000,
                          idempotent = service == "draws" and "no" or "method"})
  end
  f.waves_text = "waves:\n  - {name: nightly, opens: \"00:00\", closes: \"24:00\", pools: [rosters], "
    .. "max_parallel: 2, max_failures: 3}"
  f:publish(version, pools, routes)
end

publish_bundle(1)
local roll = f:must_ctl("roll", 1)
print(string.format("roll 1 in force in %d of %d processes after %d ms",
                    roll.in_force, roll.processes, roll.took_ms))
for _, gateway in ipairs(gateways) do f:wait_serving(gateway) end

local outcomes, mismatched, pending, sent = {}, 0, {}, 0

local function finish(id, body)
  local result = http_result(id)
  if not result then return false end
  local outcome = result.headers["sassafrascart-outcome"] or ("broken: " .. (result.error or "no outcome"))
  outcomes[outcome] = (outcomes[outcome] or 0) + 1
  if result.status == 200 and result.body ~= body then mismatched = mismatched + 1 end
  return true
end

local function collect()
  for id, body in pairs(pending) do
    if finish(id, body) then pending[id] = nil end
  end
end

local function send()
  sent = sent + 1
  local service = SERVICES[sent % #SERVICES + 1]
  local body = string.format("%s request %d", service, sent)
  local id = http_start{method = "POST", url = fleet.url(gateways[sent % 9 + 1].port, "/" .. service),
                        body = body, timeout_ms = 15000,
                        headers = {["x-test-id"] = body, ["x-run-ms"] = tostring(300 + sent % 7 * 70)}}
  pending[id] = body
end

local function run_phase(phase)
  print(string.format("%s, %d s", phase.name, phase.seconds))
  local started_ms, count = now_ms(), 0
  local rate = MEAN_PER_S * #SERVICES * phase.factor
  while now_ms() - started_ms < phase.seconds * 1000 do
    while count < (now_ms() - started_ms) * rate / 1000 do
      send()
      count = count + 1
    end
    poll(5)
    collect()
  end
end

for index, phase in ipairs(PHASES) do
  if index == #PHASES then
    local victim
    for _, row in ipairs(json(f:placement()).rows) do
      if row[2] == "results" and row[3] == "serving" then victim = row[1] end
    end
    print("killing " .. victim .. " of pool results")
    signal(f.backends[victim].pid, "KILL")
    fleet.control(f.platform_port, '{"vm": "' .. victim .. '", "state": "down"}')
  end
  run_phase(phase)
end
fleet.wait_until("all requests have ended", 20000, function()
  collect()
  return next(pending) == nil
end)

local repeated, runs = 0, f:runs_by_test_id()
for id, count in pairs(runs) do
  if id:find("^draws") and count > 1 then repeated = repeated + 1 end
end
local max_running = 0
for _, name in ipairs(f.order) do
  local stats = fleet.http{url = fleet.url(f.backends[name].port, "/stats"), timeout_ms = 500}
  if stats.status == 200 then max_running = math.max(max_running, json(stats.body).max_running) end
end

print("\nrequests by outcome")
for outcome, count in pairs(outcomes) do print(string.format("  %6d  %s", count, outcome)) end
print(string.format("  %6d  sent", sent))
print("guarantees")
print(string.format("  responses with another request's content: %d", mismatched))
print(string.format("  draws that ran more than once: %d", repeated))
print(string.format("  most concurrent requests on a backend server: %d of 8 slots", max_running))
print("fleet")
print(string.format("  roll-out time: %d ms", roll.took_ms))
local moves, maintained = f:placement_changes()
print(string.format("  moves between pools: %d", moves))
print(string.format("  VMs maintained: %d", maintained))
assert(mismatched == 0 and repeated == 0, "a guarantee was broken")
