-- Connection limit of a backend server. Nine gateway processes send a burst one
-- after the other; together they must never have more connections open than the
-- bundle allows, including idle ones kept for reuse.
local fleet = require("fleet")

local CONNECTIONS = 34
local f = fleet.new{backends = {{name = "vm-a", zone = "z1", rack = "r1"}}}
f.backends["vm-a"].connections = CONNECTIONS
local gateways = {}
for index = 1, 9 do gateways[index] = f:add_gateway("entry-" .. index) end
f:publish(1, {{name = "draws", vms = {"vm-a"}}}, {{path = "/draws", pool = "draws"}})
f:must_ctl("roll", 1)
for _, gateway in ipairs(gateways) do
  f:wait_serving(gateway)
  fleet.wait_until(gateway.name .. " has discovered its peers", 15000, function()
    local page = fleet.http{url = fleet.url(gateway.port, "/metrics"), timeout_ms = 1000}.body
    return page:match("\nsassafrascart_peers_live 9\n")
  end)
end

local function burst(gateway, count)
  local ids = {}
  for _ = 1, count do
    ids[http_start{method = "POST", url = fleet.url(gateway.port, "/draws"), body = gateway.name,
                   headers = {["x-run-ms"] = 20}}] = true
  end
  fleet.wait_until("the burst ends", 15000, function()
    for id in pairs(ids) do
      local result = http_result(id)
      if result then
        assert(result.status == 200 and result.body == gateway.name, result.status)
        ids[id] = nil
      end
    end
    return next(ids) == nil
  end)
end

-- The first response shows a gateway process that the server allows persistent
-- connections.
for _, gateway in ipairs(gateways) do burst(gateway, 1) end
for _ = 1, 3 do
  for _, gateway in ipairs(gateways) do burst(gateway, 8) end
end
local stats = fleet.get_json(f.backends["vm-a"].port, "/stats")
assert(stats.max_connections <= CONNECTIONS,
       stats.max_connections .. " connections, limit " .. CONNECTIONS)
