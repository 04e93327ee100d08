-- Fixture of the scenarios for rolls, which activate a bundle version in all
-- processes: a fleet with two bundle versions that route "/draws" to different
-- VMs, and a check that no process returns to an earlier roll.
local fleet = require("fleet")

local rolls = {}

rolls.HEAD = "/sassafrascart/pulse/head"
rolls.POOLS = {{name = "one", vms = {"vm-a"}}, {name = "two", vms = {"vm-b"}}}

local VM_OF_VERSION = {"vm-a", "vm-b"}

-- Creates a fleet with bundle versions 1 and 2 published, none of them rolled.
function rolls.fleet(flags)
  local f = fleet.new{flags = flags, backends = {
    {name = "vm-a", zone = "z1", rack = "r1"},
    {name = "vm-b", zone = "z2", rack = "r2"},
  }}
  for version, pool in ipairs{"one", "two"} do
    f:publish(version, rolls.POOLS, {{path = "/draws", pool = pool, idempotent = "no"}})
  end
  return f
end

-- Starts a platform stand-in that accepts connections but never responds.
function rolls.silent_platform()
  local port = free_port()
  spawn{"standin_platform", "127.0.0.1:" .. port, log = DIR .. "/silent-platform.log"}
  fleet.wait_until("the silent platform listens", 5000, function()
    return fleet.http{url = fleet.url(port, "/calls"), timeout_ms = 500}.status == 200
  end)
  fleet.control(port, '{"mode": "down"}')
  return port
end

-- Flags of a gateway process that gets no response from its platform and knows one peer.
function rolls.silent_flags(port, peer)
  return {"--platform", "127.0.0.1:" .. port, "--peer", "127.0.0.1:" .. peer.rpc}
end

-- Returns the roll that a gateway process has applied; checks that this number never
-- decreases.
function rolls.applied_roll(f, gateway)
  local status = f:status(gateway)
  local roll = status and status.roll or gateway.last_roll or 0
  assert(roll >= (gateway.last_roll or 0),
         gateway.name .. " went back from roll " .. (gateway.last_roll or 0) .. " to " .. roll)
  gateway.last_roll = roll
  return roll
end

-- Waits until all gateway processes have applied a roll; returns the time in ms.
function rolls.wait_in_force(f, gateways, roll, timeout_ms)
  local began = now_ms()
  fleet.wait_until("roll " .. roll .. " is in force everywhere", timeout_ms, function()
    local all = true
    for _, gateway in ipairs(gateways) do
      all = rolls.applied_roll(f, gateway) >= roll and all
    end
    return all
  end)
  return now_ms() - began
end

-- Checks that every gateway process routes requests as a bundle version defines.
function rolls.check_answers(f, gateways, version, when)
  for _, gateway in ipairs(gateways) do
    local answer
    fleet.wait_until(gateway.name .. " serves " .. when, 10000, function()
      answer = fleet.http{method = "POST", url = fleet.url(gateway.port, "/draws"), body = gateway.name}
      return answer.status == 200
    end)
    assert(answer.headers["x-backend"] == VM_OF_VERSION[version],
           gateway.name .. " " .. when .. ": answered by " .. tostring(answer.headers["x-backend"]))
  end
end

function rolls.metric(gateway, name)
  local page = fleet.http{url = fleet.url(gateway.port, "/metrics")}.body
  return tonumber(page:match("\n[%w_]*" .. name .. " (%d+)")) or
         tonumber(page:match("^[%w_]*" .. name .. " (%d+)")) or 0
end

local ALPHABET = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/"
local function base64(text)
  local out = {}
  for offset = 1, #text, 3 do
    local a, b, c = text:byte(offset, offset + 2)
    local word = a << 16 | (b or 0) << 8 | (c or 0)
    for position = 0, 3 do
      local index = word >> (18 - 6 * position) & 63
      table.insert(out, (position <= #text - offset + 1) and ALPHABET:sub(index + 1, index + 1) or "=")
    end
  end
  return table.concat(out)
end

-- Writes a key directly, as anyone with access to the store could.
function rolls.write_key(f, key, value)
  local body = string.format('{"compare": [], "success": [{"request_put": {"key": "%s", "value": "%s"}}]}',
                             base64(key), base64(value))
  assert(fleet.http{method = "POST", url = fleet.url(f.platform_port, "/v3/kv/txn"), body = body}.status == 200)
end

-- Returns the value last written to a key.
function rolls.read_key(f, key)
  local value
  for _, change in ipairs(fleet.get_json(f.platform_port, "/history")) do
    if change.key == key then value = change.value end
  end
  return value
end

return rolls
