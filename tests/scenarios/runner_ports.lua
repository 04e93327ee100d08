-- The runner never returns the same port twice: programs bind their ports only later,
-- so a port that looks free may already belong to another program of the scenario.
local REQUESTED = 1000

local seen = {}
for i = 1, REQUESTED do
  local port = free_port(i % 2 == 0 and "tcp" or "udp")
  assert(not seen[port], "port " .. port .. " was returned twice")
  seen[port] = true
end
