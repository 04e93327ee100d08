-- A port that is taken, a second process with the same settings or the same name, and odd
-- environment variables: a process that cannot run ends with a line that names the cause;
-- the others serve, and what was accepted ends.
local fleet = require("fleet")
local jobfleet = require("jobfleet")
local inputs = require("inputs")

local HOST = "127.0.0.1:"
local EXIT_USAGE, EXIT_IO = 2, 20
local TWIN_MS = 2000

local run = inputs.new(2)
local platform, processes = run.platform, run.processes
local owner, other = run:find(true), run:find(false)
local before = run:submit(other, "before the inputs", 1500)

local function setting(process, name)
  for _, entry in ipairs(process.settings) do
    if entry[1] == name then return entry[2] end
  end
end

-- Starts a process that must end with an exit code and write a text; callers of the
-- first process are served meanwhile.
local function expect_end(process, options, code, text, what)
  jobfleet.start(process, options)
  run:submit(owner, what)
  local ended = inputs.wait_end(process)
  local log = fleet.read(process.log)
  assert(ended == code and log:find(text, 1, true), string.format("%s: ended with %d: %s", what, ended, log))
end

-- 1. Each port that is taken.
local taken = {
  ["port of callers"] = {"listen.front", HOST .. owner.front},
  ["ready port"] = {"listen.ready", HOST .. owner.ready},
  ["peer port"] = {"port_range", setting(owner, "port_range")},
}
for what, entry in pairs(taken) do
  local process = platform:add_process(platform.port)
  jobfleet.set(process, entry[1], entry[2])
  jobfleet.write_node_file(process)
  local address = entry[2]:match("^%d+,") and HOST .. entry[2]:match("^%d+") or entry[2]
  expect_end(process, nil, EXIT_IO, "cannot listen at " .. address, what)
end
local process = platform:add_process(platform.port)
process.metrics = owner.metrics
expect_end(process, nil, EXIT_IO, "cannot listen at " .. HOST .. owner.metrics, "metrics port")

-- The same for a gateway process.
local gateways = fleet.new{backends = {}}
local gateway = gateways:add_gateway("entry-1")
for flag, port in pairs{listen = gateway.port, rpc = gateway.rpc} do
  local ports = {listen = free_port(), rpc = free_port("udp")}
  ports[flag] = port
  local log = DIR .. "/gateway-" .. flag .. ".log"
  local pid = spawn{"sassafrascartd", "--id", "entry-2", "--listen", HOST .. ports.listen, "--rpc", HOST .. ports.rpc,
                    "--platform", HOST .. gateways.platform_port, "--operator-key", DIR .. "/desk.public.pem", log = log}
  assert(inputs.wait_end{name = "entry-2", pid = pid} == EXIT_IO)
  assert(fleet.read(log):find("--" .. flag .. ":", 1, true), fleet.read(log))
  assert(fleet.http{url = fleet.url(gateway.port, "/status")}.status == 200, "the first process does not answer")
end
gateways:stop()

-- 2. A second process with the same settings.
for _, twin in ipairs{owner, other} do
  process = {name = "twin", file = twin.file, metrics = free_port(), starts = 0}
  expect_end(process, nil, EXIT_IO, "cannot listen at " .. HOST, "same settings as " .. twin.name)
end

-- 3. A second process with the same name and address, but ports of its own, takes no
-- ownership from the first.
process = platform:add_process(platform.port)
jobfleet.set(process, "node", owner.name)
jobfleet.write_node_file(process)
jobfleet.start(process)
inputs.wait_ready(process)
local twin_until = now_ms() + TWIN_MS
while now_ms() < twin_until do
  run:submit(owner, "two processes with the same name")
  run:submit(process, "two processes with the same name")
end
assert(jobfleet.metric(owner, "is_owner") == 1, "the owner has lost the ownership")
assert(jobfleet.event_count(process, "stale-owner-key-deleted") == 0, "the owner's key was deleted")
signal(process.pid, "TERM")
assert(inputs.wait_end(process) == 0)

-- 4. The environment: unknown names are ignored, values that cannot be used are named.
process = platform:add_process(platform.port)
expect_end(process, {environment = {SASSAFRASCART_LOG_LEVEL = "loud"}}, EXIT_USAGE,
           "--log-level: expected error, warning, info or debug, found 'loud'", "odd log level")
expect_end(process, {environment = {SASSAFRASCART_LOG_LINES_PER_S = "-1"}}, EXIT_USAGE,
           "--log-lines-per-s: expected a whole number", "odd rate")
expect_end(process, {environment = {SASSAFRASCART_CHECK_CONFIG = ""}}, EXIT_USAGE,
           "--check-config: expected true or false, found ''", "empty switch")
process.pid = spawn{"sassafrascartd", log = process.log, environment = {SASSAFRASCART_NODE_FILE = ""}}
assert(inputs.wait_end(process) == EXIT_USAGE, "a process started without a settings file")
process.log = DIR .. "/environment.log"
process.pid = spawn{"sassafrascartd", log = process.log, environment = {
  SASSAFRASCART_NODE_FILE = process.file, SASSAFRASCART_METRICS_PORT = process.metrics,
  SASSAFRASCART_UNKNOWN = "1", ["SASSAFRASCART_"] = "\xff\xfe", SASSAFRASCART_NODE_FILES = "x"}}
inputs.wait_ready(process)
run:submit(process, "unknown variables")
run:wait_job(other, before, "after the inputs")

run:finish()
