-- A gateway process that stops must not end before requests on connections opened shortly
-- before have been answered, be it with a refusal.
local connections = require("connections")
local fleet = require("fleet")

local ROUNDS = 3
local STOP_MS = 8000

local f = fleet.new{flags = {"--leave-grace-ms", "500"}, backends = {{name = "vm-a", zone = "z1", rack = "r1"}}}
local manager = f:add_gateway("entry-manager")
f:publish(1, {{name = "draws", vms = {"vm-a"}}}, {{path = "/draws", pool = "draws"}})
f:must_ctl("roll", 1)
f:wait_serving(manager)

local cut, answered = 0, 0
for round = 1, ROUNDS do
  local gateway = f:add_gateway("entry-" .. round)
  f:wait_serving(gateway)
  local round_cut, round_answered, code = connections.during_stop(
    gateway.pid, gateway.port, "GET /draws HTTP/1.1\r\nhost: draws.example\r\n\r\n", STOP_MS)
  cut, answered = cut + round_cut, answered + round_answered
  assert(code == 0, "the gateway process ended with code " .. tostring(code))
end
print(string.format("during %d stops %d requests were answered, %d cut", ROUNDS, answered, cut))
assert(cut == 0, cut .. " whole requests on new connections got no answer")
assert(answered > 0)
