-- Test fixture: a fleet of separate processes, namely the platform and backend
-- servers (stand-ins), the gateway processes (sassafrascartd, which route the
-- callers' requests) and the operators' tool sassafrasctl.

local fleet = {}
fleet.__index = fleet

local HOST = "127.0.0.1"

function fleet.read(path)
  local file = io.open(path, "r")
  if not file then return "" end
  local text = file:read("a")
  file:close()
  return text
end

function fleet.write(path, text)
  local file = assert(io.open(path, "w"))
  file:write(text)
  file:close()
end

-- Polls a condition until it is true, and returns its value. Drives the requests
-- in progress meanwhile.
function fleet.wait_until(what, timeout_ms, condition)
  local deadline = now_ms() + timeout_ms
  while now_ms() < deadline do
    local value = condition()
    if value then return value end
    poll(10)
  end
  error("timed out after " .. timeout_ms .. " ms waiting until " .. what, 2)
end

-- Drives the requests in progress for a time.
function fleet.pause(ms)
  local until_ms = now_ms() + ms
  fleet.wait_until("the pause ends", ms + 5000, function() return now_ms() >= until_ms end)
end

-- Sends one request and waits for the response or an error.
function fleet.http(request)
  local id = http_start(request)
  local result
  repeat
    poll(1)
    result = http_result(id)
  until result
  return result
end

function fleet.url(port, path)
  return string.format("http://%s:%d%s", HOST, port, path)
end

-- Sets the behaviour or an injected fault of a stand-in.
function fleet.control(port, body)
  local answer = fleet.http{method = "POST", url = fleet.url(port, "/control"),
                            body = body}
  assert(answer.status == 200, "control failed: " .. (answer.error or answer.status))
end

function fleet.get_json(port, path)
  local answer = fleet.http{url = fleet.url(port, path)}
  return json(answer.body)
end

local function wait_for_port(port)
  fleet.wait_until("port " .. port .. " answers", 5000, function()
    local answer = fleet.http{url = fleet.url(port, "/stats"), timeout_ms = 500}
    return answer.status ~= 0
  end)
end

-- Creates a fleet: options.backends is a list of {name, zone, rack}.
function fleet.new(options)
  local self = setmetatable({backends = {}, gateways = {}, order = {}}, fleet)
  self.flags = options.flags or {}
  self.platform_port = free_port()
  self.platform_pid = spawn{"standin_platform", HOST .. ":" .. self.platform_port,
                            log = DIR .. "/platform.log"}
  wait_for_port(self.platform_port)
  for _, spec in ipairs(options.backends) do self:add_backend(spec) end
  -- All fleets of a scenario share one key; keygen fails if it exists already.
  self:ctl("keygen", DIR .. "/desk")
  return self
end

function fleet:add_backend(spec)
  local backend = {name = spec.name, zone = spec.zone, rack = spec.rack,
                   slots = 8, port = free_port(), log = DIR .. "/" .. spec.name .. ".runs"}
  backend.pid = spawn{"standin_backend", HOST .. ":" .. backend.port, spec.name,
                      backend.log, log = DIR .. "/" .. spec.name .. ".log"}
  wait_for_port(backend.port)
  self.backends[spec.name] = backend
  table.insert(self.order, spec.name)
end

-- Restarts a killed backend server at the same address.
function fleet:restart_backend(name)
  local backend = self.backends[name]
  backend.pid = spawn{"standin_backend", HOST .. ":" .. backend.port, name, backend.log,
                      log = DIR .. "/" .. name .. ".log"}
  wait_for_port(backend.port)
end

-- Runs sassafrasctl; returns the exit code and the decoded JSON output.
function fleet:ctl(...)
  local argv = {"sassafrasctl", "--output", "json",
                "--platform", HOST .. ":" .. self.platform_port,
                "--operator-key", DIR .. "/desk.public.pem",
                log = DIR .. "/ctl.log"}
  for _, word in ipairs{...} do table.insert(argv, tostring(word)) end
  local code, out = run(argv)
  return code, json(out) or {message = out}
end

-- Like ctl(), but raises an error for an exit code other than 0.
function fleet:must_ctl(...)
  local code, report = self:ctl(...)
  assert(code == 0, table.concat({...}, " ") .. ": " .. tostring(report.message))
  return report
end

-- Starts a gateway process with extra flags; the entries of options go to spawn().
function fleet:add_gateway(name, extra, options)
  local gateway = {name = name, port = free_port(), rpc = free_port("udp")}
  local argv = {"sassafrascartd", "--id", name,
                "--listen", HOST .. ":" .. gateway.port,
                "--rpc", HOST .. ":" .. gateway.rpc,
                "--platform", HOST .. ":" .. self.platform_port,
                "--operator-key", DIR .. "/desk.public.pem",
                log = DIR .. "/" .. name .. ".log"}
  for _, word in ipairs(self.flags) do table.insert(argv, word) end
  for _, word in ipairs(extra or {}) do table.insert(argv, word) end
  for key, value in pairs(options or {}) do argv[key] = value end
  gateway.pid = spawn(argv)
  wait_for_port(gateway.port)
  self.gateways[name] = gateway
  return gateway
end

-- Builds the text of a bundle. pools is a list of tables with name, vms and
-- optionally spare, target, floor, survive, queue, queue_bytes and wait_ms; routes
-- is a list of {path, pool, idempotent, deadline_ms}.
function fleet:bundle_text(version, pools, routes)
  local lines = {"version: " .. version, "name: test", "vms:"}
  for _, name in ipairs(self.order) do
    local vm = self.backends[name]
    table.insert(lines, string.format(
      "  - {name: %s, ip: %s, port: %d, availability_zone: %s, rack: %s, slots: %d, connections: %d}",
      name, HOST, vm.port, vm.zone, vm.rack, vm.slots, vm.connections or 64))
  end
  table.insert(lines, "pools:")
  for _, pool in ipairs(pools) do
    table.insert(lines, string.format(
      "  - {name: %s, spare: %s, vms: [%s], target_vms: %d, floor_vms: %d, survive: %s, "
      .. "queue_max_requests: %d, queue_max_bytes: %d, queue_max_wait_ms: %d}",
      pool.name, pool.spare and "true" or "false", table.concat(pool.vms, ", "),
      pool.target or #pool.vms, pool.floor or 0, pool.survive or "none",
      pool.queue or 100, pool.queue_bytes or 1048576, pool.wait_ms or 10000))
  end
  table.insert(lines, "routes:")
  for _, route in ipairs(routes) do
    table.insert(lines, string.format(
      "  - {path: %s, pool: %s, idempotent: \"%s\", deadline_ms: %d}",
      route.path, route.pool, route.idempotent or "method", route.deadline_ms or 5000))
  end
  table.insert(lines, self.waves_text or "waves: []")
  table.insert(lines, "cost_weights: {buffer: 1, moves: 1, roll_out: 1}")
  return table.concat(lines, "\n") .. "\n"
end

-- Validates, signs and publishes a bundle.
function fleet:publish(version, pools, routes)
  local file = DIR .. "/bundle-" .. version
  fleet.write(file .. ".yaml", self:bundle_text(version, pools, routes))
  os.remove(file .. ".signed")
  self:must_ctl("bundle", "check", file .. ".yaml")
  self:must_ctl("bundle", "sign", file .. ".yaml", "--key", DIR .. "/desk.private.pem",
                "--out", file .. ".signed")
  self:must_ctl("bundle", "publish", file .. ".signed")
end

function fleet:status(gateway)
  local answer = fleet.http{url = fleet.url(gateway.port, "/status"), timeout_ms = 1000}
  return answer.status == 200 and json(answer.body) or nil
end

function fleet:healthy(gateway)
  return fleet.http{url = fleet.url(gateway.port, "/healthz"), timeout_ms = 1000}.status == 200
end

-- Waits until a gateway process has applied a placement (default: any) and dispatches.
function fleet:wait_serving(gateway, placement)
  fleet.wait_until(gateway.name .. " serves", 10000, function()
    local status = self:status(gateway)
    return status and status.placement >= (placement or 1) and status.may_dispatch
  end)
end

local PLACEMENT = "/sassafrascart/placement"

-- All versions of the placement in the store, oldest first, decoded.
function fleet:placements()
  local values = {}
  for _, write in ipairs(fleet.get_json(self.platform_port, "/history")) do
    if write.key == PLACEMENT and write.value then table.insert(values, json(write.value)) end
  end
  return values
end

-- The current placement in the store, as JSON text.
function fleet:placement()
  local text
  for _, write in ipairs(fleet.get_json(self.platform_port, "/history")) do
    if write.key == PLACEMENT then text = write.value end
  end
  return text
end

-- Returns the number of moves of VMs between pools and the number of VMs that
-- were rebooted by the platform.
function fleet:placement_changes()
  local previous_pool, moves, rebooted = {}, 0, {}
  for _, value in ipairs(self:placements()) do
    for _, row in ipairs(value.rows) do
      if previous_pool[row[1]] and previous_pool[row[1]] ~= row[2] then moves = moves + 1 end
      previous_pool[row[1]] = row[2]
    end
  end
  local count = 0
  for _, action in ipairs(fleet.get_json(self.platform_port, "/actions")) do
    if action.action == "reboot" and not rebooted[action.vm] then
      rebooted[action.vm] = true
      count = count + 1
    end
  end
  return moves, count
end

-- Kills all processes of the fleet and waits for their exit.
function fleet:stop()
  local pids = {self.platform_pid}
  for _, backend in pairs(self.backends) do table.insert(pids, backend.pid) end
  for _, gateway in pairs(self.gateways) do table.insert(pids, gateway.pid) end
  for _, pid in ipairs(pids) do
    signal(pid, "KILL")
    fleet.wait_until("process " .. pid .. " ends", 5000, function() return exited(pid) end)
  end
end

-- All run log records of the backend servers, oldest first for each server.
function fleet:runs()
  local runs = {}
  for _, name in ipairs(self.order) do
    for line in fleet.read(self.backends[name].log):gmatch("[^\n]+") do
      table.insert(runs, json(line))
    end
  end
  return runs
end

-- Returns how often each request ran, by test identifier (header x-test-id).
function fleet:runs_by_test_id()
  local counts = {}
  for _, run_record in ipairs(self:runs()) do
    counts[run_record.test_id] = (counts[run_record.test_id] or 0) + 1
  end
  return counts
end

-- Waits for the responses of started requests; returns them under the same keys.
function fleet.http_wait_all(started, timeout_ms)
  local ids, results, left = {}, {}, 0
  for key, id in pairs(started) do
    ids[key] = id
    left = left + 1
  end
  fleet.wait_until("all requests are answered", timeout_ms or 30000, function()
    for key, id in pairs(ids) do
      local result = http_result(id)
      if result then
        results[key], ids[key], left = result, nil, left - 1
      end
    end
    return left == 0
  end)
  return results
end

-- Sends requests concurrently; returns their responses under the same keys.
function fleet.http_all(requests, timeout_ms)
  local started = {}
  for key, request in pairs(requests) do started[key] = http_start(request) end
  return fleet.http_wait_all(started, timeout_ms)
end

-- The outcome header of a response: whether the request ran, and the reason.
function fleet.outcome(answer)
  local text = answer.headers and answer.headers["sassafrascart-outcome"] or ""
  return text:match("^([%w-]+); reason=([%w-]+)$")
end

return fleet
