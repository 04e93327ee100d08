-- Measures sassafrascartd processes with stand-in backend servers on this
-- machine, each figure next to its baseline from the same run. Prints a table,
-- writes JSON and fails if a figure misses its target.
package.path = package.path .. ";tests/scenarios/?.lua"
local fleet = require("fleet")

local rows = {}

-- Adds a figure to the table. `holds` is whether it meets its target; nil if it has
-- no target.
local function report(name, value, unit, target, holds)
  table.insert(rows, {name = name, value = value, unit = unit, target = target or "",
                      verdict = holds == nil and "" or (holds and "ok" or "FAIL")})
end

local function load(arguments)
  local argv = {"bench_loader", log = DIR .. "/loader.log"}
  for key, value in pairs(arguments) do
    table.insert(argv, "--" .. key)
    table.insert(argv, tostring(value))
  end
  local _, out = run(argv)
  return assert(json(out), "the loader printed no report: " .. out)
end

-- Returns the processor time of a process in ms; schedstat counts in ns.
local function cpu_ms(pid)
  return tonumber(fleet.read("/proc/" .. pid .. "/schedstat"):match("^(%d+)")) / 1e6
end

local function resident_kb(pid)
  return tonumber(fleet.read("/proc/" .. pid .. "/status"):match("VmRSS:%s+(%d+)"))
end

local function address(port) return "127.0.0.1:" .. port end

-- Throughput and added latency of a process. The servers of pool "fast" answer
-- at once, so that the process is the bottleneck; the one of pool "slow" takes
-- the requested run time.
local function throughput()
  local f = fleet.new{backends = {{name = "slow", zone = "z1", rack = "r1"}}}
  local pids = {}
  local names = {}
  for i = 1, 4 do
    local name = "fast-" .. i
    local port = free_port()
    pids[i] = spawn{"bench_bare", address(port)}
    f.backends[name] = {name = name, port = port, zone = "z" .. i, rack = "r" .. i, slots = 64,
                        log = DIR .. "/" .. name}
    table.insert(f.order, name)
    table.insert(names, name)
  end
  local gateway = f:add_gateway("entry-1")
  f:publish(1, {{name = "fast", vms = names}, {name = "slow", vms = {"slow"}}},
            {{path = "/fast", pool = "fast"}, {path = "/slow", pool = "slow", deadline_ms = 20000}})
  f:must_ctl("roll", 1)
  f:wait_serving(gateway)

  -- Alternates baseline and process, so that other load on the machine affects
  -- both alike.
  local ratios, bare_rate, gateway_rate = {}, 0, 0
  for round = 1, 5 do
    local bare_before = cpu_ms(pids[1])
    load{target = address(f.backends["fast-1"].port), path = "/", requests = 40000, connections = 32}
    bare_rate = 40000 * 1000 / (cpu_ms(pids[1]) - bare_before)
    local gateway_before = cpu_ms(gateway.pid)
    local through = load{target = address(gateway.port), path = "/fast", requests = 20000,
                         connections = 32}
    assert(through.statuses["200"] == 20000, "not all requests were answered with status 200")
    gateway_rate = 20000 * 1000 / (cpu_ms(gateway.pid) - gateway_before)
    ratios[round] = gateway_rate / bare_rate
  end
  table.sort(ratios)
  report("bare h2o, requests a second per core, last round", bare_rate // 1, "1/s")
  report("entry, requests a second per core, last round", gateway_rate // 1, "1/s")
  report("entry / bare h2o, median of 5 rounds", ratios[3], "ratio", ">= 1/3", ratios[3] * 3 >= 1)

  -- 8 slots at 20 ms per request serve 400 requests per second; use half of it.
  local direct = load{target = address(f.backends["slow"].port), path = "/slow", requests = 2000,
                      connections = 32, rate = 200, ["run-ms"] = 20}
  local added = load{target = address(gateway.port), path = "/slow", requests = 2000,
                     connections = 32, rate = 200, ["run-ms"] = 20}
  local median = (added.p50_us - direct.p50_us) / 1000
  local tail = (added.p99_us - direct.p99_us) / 1000
  report("direct call, median", direct.p50_us / 1000, "ms")
  report("through the entry, median", added.p50_us / 1000, "ms", "<= 2x", added.p50_us <= 2 * direct.p50_us)
  report("added, median", median, "ms", "< 0.5", median < 0.5)
  report("added, p99", tail, "ms", "< 2", tail < 2)
  for _, pid in ipairs(pids) do signal(pid, "KILL") end
  return f
end

-- Rollout time over 20 rolls with 9 processes, as reported by sassafrasctl.
local function roll_out()
  local f = fleet.new{backends = {{name = "vm-a", zone = "z1", rack = "r1"}}}
  for i = 1, 9 do f:add_gateway("entry-" .. i) end
  f:publish(1, {{name = "p", vms = {"vm-a"}}}, {{path = "/p", pool = "p"}})
  f:publish(2, {{name = "p", vms = {"vm-a"}}}, {{path = "/p", pool = "p"}})
  local times = {}
  for i = 1, 20 do
    local result = f:must_ctl("roll", i % 2 + 1)
    assert(result.in_force == result.processes)
    table.insert(times, result.took_ms)
  end
  table.sort(times)
  report("roll-out, 9 entries, median of 20", times[10], "ms")
  report("roll-out, 9 entries, longest of 20", times[20], "ms", "< 1000", times[20] < 1000)
  return f
end

-- Returns the bytes of control traffic that a process has sent and received.
local function control_bytes(gateway)
  local page = fleet.http{url = fleet.url(gateway.port, "/metrics")}.body
  local sum = 0
  for _, name in ipairs{"platform_bytes_sent", "platform_bytes_received", "peer_bytes_sent",
                        "peer_bytes_received"} do
    sum = sum + tonumber(page:match(name .. "_total (%d+)"))
  end
  return sum
end

-- Control-plane cost of idle processes, for several numbers of processes.
local function control_cost(counts)
  for _, count in ipairs(counts) do
    local f = fleet.new{backends = {{name = "vm-a", zone = "z1", rack = "r1"}}}
    local gateways = {}
    for i = 1, count do gateways[i] = f:add_gateway("entry-" .. i) end
    f:publish(1, {{name = "p", vms = {"vm-a"}}}, {{path = "/p", pool = "p"}})
    f:must_ctl("roll", 1)
    -- Wait until all processes have read the member list and exchanged heartbeats.
    poll(7000)
    local before = {}
    local calls = fleet.get_json(f.platform_port, "/calls")
    for i, gateway in ipairs(gateways) do before[i] = cpu_ms(gateway.pid) end
    local bytes = control_bytes(gateways[1])
    local start = now_ms()
    poll(8000)
    local took = now_ms() - start
    local cpu, memory = 0, 0
    for i, gateway in ipairs(gateways) do
      cpu = cpu + cpu_ms(gateway.pid) - before[i]
      memory = math.max(memory, resident_kb(gateway.pid))
    end
    local bytes_after = control_bytes(gateways[1])
    local share = cpu / took / count * 100
    report(count .. " entries: processor share of one", share, "%", "<= 1.1", share <= 1.1)
    report(count .. " entries: resident memory of the largest", memory / 1024, "MB", "<= 64",
           memory <= 64 * 1024)
    report(count .. " entries: platform calls of all", (fleet.get_json(f.platform_port, "/calls") - calls) * 1000 / took,
           "1/s")
    local rate = (bytes_after - bytes) / took
    report(count .. " entries: control bytes of one, both ways", rate, "KB/s", "<= 6", rate <= 6)
    f:stop()
  end
end

-- Measures under steady load how long requests are still sent to a server after
-- it crashed, hung or began to drain. Takes the later of the last request in the
-- server's log and the start of the last request that failed.
local function time_to_stop_sending(name, inject_fault, target_ms)
  local f = fleet.new{backends = {{name = "a", zone = "z1", rack = "r1"}, {name = "b", zone = "z2", rack = "r2"},
                                  {name = "c", zone = "z3", rack = "r3"}}}
  local gateways = {f:add_gateway("entry-1"), f:add_gateway("entry-2")}
  f:publish(1, {{name = "p", vms = {"a", "b", "c"}}}, {{path = "/p", pool = "p", deadline_ms = 1000}})
  f:must_ctl("roll", 1)
  for _, gateway in ipairs(gateways) do f:wait_serving(gateway) end
  local open, sent, last_failure, fault_ms, fault_wall_ms = {}, 0, 0, nil, nil
  local started = now_ms()
  while now_ms() - started < 12000 do
    if not fault_ms and now_ms() - started > 3000 then
      inject_fault(f, f.backends.a)
      fault_ms, fault_wall_ms = now_ms(), wall_ms()
    end
    while sent < (now_ms() - started) * 60 / 1000 do
      sent = sent + 1
      open[http_start{method = "GET", url = fleet.url(gateways[sent % 2 + 1].port, "/p"),
                      headers = {["x-run-ms"] = "20", ["x-test-id"] = tostring(sent)}}] = now_ms()
    end
    poll(5)
    for id, at in pairs(open) do
      local result = http_result(id)
      if result then
        open[id] = nil
        if result.status ~= 200 and fault_ms then last_failure = math.max(last_failure, at - fault_ms) end
      end
    end
  end
  local last_run = 0
  for line in fleet.read(f.backends.a.log):gmatch("[^\n]+") do
    last_run = math.max(last_run, json(line).at_ms - fault_wall_ms)
  end
  local worst = math.max(last_run, last_failure)
  report(name .. ": last request sent to it after", worst, "ms", "<= " .. target_ms, worst <= target_ms)
  return f
end

throughput():stop()
roll_out():stop()
time_to_stop_sending("dead server", function(_, vm) signal(vm.pid, "KILL") end, 2000):stop()
time_to_stop_sending("silent server", function(_, vm) fleet.control(vm.port, '{"mode": "silent"}') end, 5000):stop()
time_to_stop_sending("leaving server, platform's list", function(f, vm)
  fleet.control(f.platform_port, '{"vm": "' .. vm.name .. '", "state": "leaving"}')
end, 2000):stop()
control_cost{3, 6, 9, 18, 36}

local failed = false
local json_rows = {}
print(string.format("%-64s %12s %-6s %-8s %s", "figure", "value", "unit", "target", "verdict"))
for _, row in ipairs(rows) do
  print(string.format("%-64s %12.3f %-6s %-8s %s", row.name, row.value, row.unit, row.target, row.verdict))
  table.insert(json_rows, string.format('{"figure": "%s", "value": %.3f, "unit": "%s", "target": "%s", "verdict": "%s"}',
                                        row.name, row.value, row.unit, row.target, row.verdict))
  failed = failed or row.verdict == "FAIL"
end
fleet.write("build/bench/process.json", "[" .. table.concat(json_rows, ",\n ") .. "]\n")
assert(not failed, "a figure misses its target")
