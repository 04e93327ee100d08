-- Fixture of the scenarios for shared slots, the limit on concurrent requests to a
-- backend server. All gateway processes share the slots of a pool: they agree on the
-- process that owns them and grants them to the others. The pool has two VMs.
local fleet = require("fleet")

local slots = {}

function slots.metric(gateway, name)
  local text = fleet.http{url = fleet.url(gateway.port, "/metrics"), timeout_ms = 1000}.body
  return tonumber(text:match("\nsassafrascart_" .. name:gsub("%p", "%%%0") .. " (%d+)")) or 0
end

-- Creates a fleet and waits until each gateway process has discovered all others,
-- since only then all choose the same owner.
function slots.fleet(gateway_count)
  local f = fleet.new{backends = {
    {name = "vm-a", zone = "z1", rack = "r1"},
    {name = "vm-b", zone = "z2", rack = "r2"},
  }}
  local gateways = {}
  for index = 1, gateway_count do gateways[index] = f:add_gateway("entry-" .. index) end
  f:publish(1, {{name = "draws", vms = {"vm-a", "vm-b"}, queue = 500, wait_ms = 20000}},
            {{path = "/draws", pool = "draws", idempotent = "no", deadline_ms = 20000}})
  f:must_ctl("roll", 1)
  for _, gateway in ipairs(gateways) do f:wait_serving(gateway) end
  for _, gateway in ipairs(gateways) do
    fleet.wait_until(gateway.name .. " has discovered its peers", 15000, function()
      return slots.metric(gateway, "peers_live") == gateway_count
    end)
  end
  return f, gateways
end

return slots
