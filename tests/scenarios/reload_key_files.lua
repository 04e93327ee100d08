-- A file of --operator-key may be replaced by something that is no key file. The gateway
-- process goes on serving with the keys in force, and sassafrasctl ends with an error where
-- a file that it is given is no regular file or too large.
local fleet = require("fleet")

local NOTICE_MS = 6000
local ANSWER_MS = 1000
local COMMAND_MS = 5000
local STOP_MS = 15000
local GROWTH_MAX_KB = 32 * 1024

local f = fleet.new{backends = {{name = "vm-a", zone = "z1", rack = "r1"}}}
local gateway = f:add_gateway("entry-1")
local key_file = DIR .. "/desk.public.pem"
local key = fleet.read(key_file)
-- The commands of this scenario go on with a copy that stays as it is.
local key_copy = DIR .. "/copy.public.pem"
fleet.write(key_copy, key)
f:publish(1, {{name = "draws", vms = {"vm-a"}}}, {{path = "/draws", pool = "draws"}})
f:must_ctl("roll", 1)
f:wait_serving(gateway)

local function metric(name)
  local page = fleet.http{url = fleet.url(gateway.port, "/metrics"), timeout_ms = ANSWER_MS}
  for line in (page.body or ""):gmatch("[^\n]+") do
    local found, value = line:match("^(%S+) (%S+)$")
    if found == "sassafrascart_" .. name then return tonumber(value) end
  end
end

local function memory_kb()
  return tonumber(fleet.read("/proc/" .. gateway.pid .. "/status"):match("VmHWM:%s+(%d+) kB"))
end

local function hang_up() signal(gateway.pid, "HUP") end

local function assert_served(what)
  local code = exited(gateway.pid)
  assert(not code, what .. ": the gateway process ended with code " .. tostring(code))
  local answer = fleet.http{method = "POST", url = fleet.url(gateway.port, "/draws"), body = "x",
                            timeout_ms = ANSWER_MS}
  assert(answer.status == 200, what .. ": a request was answered with " .. answer.status)
  assert(f:healthy(gateway), what .. ": the health page does not answer")
end

local function expect_reload(result, what, action)
  local name = string.format('settings_reloads_total{result="%s"}', result)
  local before = metric(name)
  action()
  fleet.wait_until(what .. " leads to a reload", NOTICE_MS, function()
    assert_served(what)
    return (metric(name) or 0) > before
  end)
end

local function expect_error(what, found)
  local last
  for line in fleet.read(DIR .. "/entry-1.log"):gmatch("[^\n]+") do
    if line:find('"event":"settings-reload-failed"', 1, true) then last = line end
  end
  assert(last and last:find(key_file, 1, true) and last:find(found, 1, true),
         what .. ": the log line does not say '" .. found .. "': " .. tostring(last))
end

local cases = {
  {"a FIFO without a signal", "found a FIFO", function() fifo_create(key_file) end},
  {"a FIFO and SIGHUP", "found a FIFO", function() fifo_create(key_file); hang_up() end},
  {"a link to /dev/zero", "found a character device",
   function() link_create("/dev/zero", key_file); hang_up() end},
  {"a link to a directory", "found a directory", function() link_create(DIR, key_file); hang_up() end},
  {"50 MB", "found more than 65536 bytes",
   function() fleet.write(key_file, key:rep(50 * 1000 * 1000 // #key)); hang_up() end},
  {"a dangling link", "No such file", function() link_create(DIR .. "/missing", key_file); hang_up() end},
  {"text that is no key", "no Ed25519 public key", function() fleet.write(key_file, "no key\n"); hang_up() end},
}
for _, case in ipairs(cases) do
  local what, found, action = table.unpack(case)
  local memory_before_kb = memory_kb()
  expect_reload("failed", what, action)
  expect_error(what, found)
  local growth_kb = memory_kb() - memory_before_kb
  assert(growth_kb <= GROWTH_MAX_KB, string.format("%s: the process grew by %d kB", what, growth_kb))
  expect_reload("ok", "the valid file after " .. what, function()
    os.remove(key_file)
    fleet.write(key_file, key)
    hang_up()
  end)
end

-- Runs a program that must end in time; returns its exit code and output.
local function run_bounded(what, argv)
  argv.log = DIR .. "/bounded.log"
  os.remove(argv.log)
  local pid = spawn(argv)
  local code
  fleet.wait_until(what .. " ends", COMMAND_MS, function()
    code = exited(pid)
    return code
  end)
  return code, fleet.read(argv.log)
end

local odd_files = {
  {"a FIFO", "found a FIFO", 20, fifo_create},
  {"a directory", "found a directory", 20, function(file) link_create(DIR, file) end},
  {"/dev/zero", "found a character device", 20, function(file) link_create("/dev/zero", file) end},
  {"a file that is too large", "found more than", 13,
   function(file) fleet.write(file, ("x"):rep(4 * 1024 * 1024)) end},
}
for _, odd in ipairs(odd_files) do
  local what, found, expected, create = table.unpack(odd)
  local file = DIR .. "/odd"
  os.remove(file)
  create(file)
  local commands = {
    ["bundle check"] = {"sassafrasctl", "bundle", "check", file},
    ["bundle sign"] = {"sassafrasctl", "--key", DIR .. "/desk.private.pem", "--out", DIR .. "/odd.signed",
                       "bundle", "sign", file},
    ["bundle publish"] = {"sassafrasctl", "--operator-key", key_copy, "bundle", "publish", file},
    ["a private key"] = {"sassafrasctl", "--key", file, "--out", DIR .. "/odd.signed", "bundle", "sign",
                         DIR .. "/bundle-1.yaml"},
    ["an earlier envelope"] = {"sassafrasctl", "--key", DIR .. "/desk.private.pem", "--out", file, "bundle",
                               "sign", DIR .. "/bundle-1.yaml"},
    ["an operator key"] = {"sassafrasctl", "--operator-key", file, "bundle", "publish",
                           DIR .. "/bundle-1.signed"},
  }
  for name, argv in pairs(commands) do
    local code, text = run_bounded(name .. " of " .. what, argv)
    assert(code == expected, string.format("%s of %s ended with code %d: %s", name, what, code, text))
    assert(text:find(file .. ":", 1, true) and text:find(found, 1, true),
           name .. " of " .. what .. " says: " .. text)
  end
  local code, text = run_bounded("a start with " .. what, {
    "sassafrascartd", "--id", "entry-2", "--listen", "127.0.0.1:" .. free_port(), "--rpc",
    "127.0.0.1:" .. free_port("udp"), "--platform", "127.0.0.1:" .. f.platform_port, "--operator-key", file})
  assert(code == 2, "the start with " .. what .. " ended with code " .. code)
  assert(text:find(file .. ":", 1, true) and text:find(found, 1, true), text)
end

expect_reload("failed", "a FIFO at the end", function() fifo_create(key_file) end)
signal(gateway.pid, "TERM")
local code
fleet.wait_until("the process stops", STOP_MS, function()
  code = exited(gateway.pid)
  return code
end)
assert(code == 0, "the stopping process ended with code " .. code)
