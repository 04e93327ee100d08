-- With two signatures required, sassafrasctl rejects a bundle that has one, and so
-- does a gateway process if a less strict sassafrasctl writes the bundle to the
-- store. A bundle with two signatures is applied.
local fleet = require("fleet")

local f = fleet.new{backends = {{name = "vm-a", zone = "z1", rack = "r1"}}}
f:ctl("keygen", DIR .. "/second")
local BOTH = {"--operator-key", DIR .. "/second.public.pem", "--signatures-required", "2"}
local gateway = f:add_gateway("entry-1", BOTH)

-- sassafrasctl with the signature settings of the gateway process.
local function strict_ctl(...)
  local words = {table.unpack(BOTH)}
  for _, word in ipairs{...} do table.insert(words, word) end
  return f:ctl(table.unpack(words))
end

local pools = {{name = "draws", vms = {"vm-a"}}}
local routes = {{path = "/draws", pool = "draws", idempotent = "no"}}
-- sassafrasctl without these settings requires one signature: it publishes and rolls version 1.
f:publish(1, pools, routes)
assert(strict_ctl("bundle", "publish", DIR .. "/bundle-1.signed") == 9, "a bundle with one signature was published")
assert(strict_ctl("roll", "1") == 9, "a bundle with one signature was rolled")
local code, report = f:ctl("--wait-ms", "1000", "roll", 1)
assert(code == 22 and report.in_force == 0,
       "the gateway process applied a bundle with one signature: " .. tostring(report.message))
assert(fleet.http{url = fleet.url(gateway.port, "/draws")}.status == 503)

local file = DIR .. "/bundle-2"
fleet.write(file .. ".yaml", f:bundle_text(2, pools, routes))
for _, key in ipairs{"desk", "second"} do
  f:must_ctl("bundle", "sign", file .. ".yaml", "--key", DIR .. "/" .. key .. ".private.pem",
             "--out", file .. ".signed")
end
assert(strict_ctl("bundle", "publish", file .. ".signed") == 0, "a bundle with two signatures was rejected")
code, report = strict_ctl("roll", "2")
assert(code == 0 and report.in_force == 1, "in force: " .. tostring(report.message))
f:wait_serving(gateway)
assert(fleet.http{method = "POST", url = fleet.url(gateway.port, "/draws"), body = "x"}.status == 200)
