-- A gateway process reads the files of the operator keys again after SIGHUP, and when they
-- change without a signal. A withdrawn key is refused from then on, a bundle in force stays
-- in force, and a file that is no key leaves the old keys in force.
local fleet = require("fleet")

local NOTICE_MS = 6000

local f = fleet.new{backends = {{name = "vm-a", zone = "z1", rack = "r1"}}}
local gateway = f:add_gateway("entry-1")
local routes = {{path = "/draws", pool = "draws"}}
local pools = {{name = "draws", vms = {"vm-a"}}}
local key_file = DIR .. "/desk.public.pem"
local key = fleet.read(key_file)

local function metric(name)
  local page = fleet.http{url = fleet.url(gateway.port, "/metrics")}
  for line in page.body:gmatch("[^\n]+") do
    local found, value = line:match("^(%S+) (%S+)$")
    if found == "sassafrascart_" .. name then return tonumber(value) end
  end
end

-- Runs an action and waits for a reload with the given result.
local function expect_reload(result, what, action)
  local name = string.format('settings_reloads_total{result="%s"}', result)
  local before = metric(name)
  action()
  fleet.wait_until(what, NOTICE_MS, function()
    local code = exited(gateway.pid)
    assert(not code, "the gateway process ended with code " .. tostring(code))
    return metric(name) > before
  end)
  local answer = fleet.http{method = "POST", url = fleet.url(gateway.port, "/draws"), body = "x"}
  assert(answer.status == 200, what .. ": a request was answered with " .. answer.status)
end

f:publish(1, pools, routes)
f:must_ctl("roll", 1)
f:wait_serving(gateway)

expect_reload("ok", "SIGHUP reads unchanged keys", function()
  for _ = 1, 10 do signal(gateway.pid, "HUP") end
end)
assert(metric("settings_revision") == 1)
for _, name in ipairs{"PIPE", "USR1", "USR2", "ALRM"} do signal(gateway.pid, name) end

expect_reload("failed", "a file that is no key is refused", function()
  fleet.write(key_file, "no key\n")
  signal(gateway.pid, "HUP")
end)
expect_reload("failed", "a missing file is reported", function()
  os.remove(key_file)
  signal(gateway.pid, "HUP")
end)
assert(metric("settings_revision") == 1)
expect_reload("ok", "the key is read again without a signal", function() fleet.write(key_file, key) end)

-- Another key replaces the desk's key, which signed the bundle of the next roll.
f:publish(2, pools, routes)
f:must_ctl("keygen", DIR .. "/other")
expect_reload("ok", "the withdrawn key is replaced", function()
  fleet.write(key_file, fleet.read(DIR .. "/other.public.pem"))
  signal(gateway.pid, "HUP")
end)
assert(metric("settings_revision") == 2)
local refused = metric("bundles_refused_total")
-- The operators' tool still trusts the withdrawn key, as a desk that was not told would.
fleet.write(DIR .. "/desk.copy.pem", key)
local code = run{"sassafrasctl", "--platform", "127.0.0.1:" .. f.platform_port, "--operator-key",
                 DIR .. "/desk.copy.pem", "roll", "2", log = DIR .. "/ctl.log"}
fleet.wait_until("the bundle of the withdrawn key is refused", 5000, function()
  return metric("bundles_refused_total") > refused
end)
assert(code ~= 0, "a roll that no process can apply was reported as applied")
assert(fleet.get_json(gateway.port, "/status").roll == 1, "the bundle of a withdrawn key is in force")
