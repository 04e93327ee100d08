-- A scenario rewrites the mode file of a relay in place, so the relay may read it while
-- it is empty. It must keep its mode until the file names another one.
local fleet = require("fleet")

local DELAY_MS = 200
local RELAY_TICK_MS = 20

local platform_port, relay_port = free_port(), free_port()
local mode_file = DIR .. "/relay.mode"

local function took_ms()
  local answer = fleet.http{url = fleet.url(relay_port, "/stats"), timeout_ms = 5000}
  assert(answer.status ~= 0, "no response through the relay: " .. tostring(answer.error))
  return answer.took_ms
end

fleet.write(mode_file, "delay " .. DELAY_MS)
spawn{"standin_platform", "127.0.0.1:" .. platform_port, log = DIR .. "/platform.log"}
spawn{"standin_relay", tostring(relay_port), tostring(platform_port), mode_file,
      log = DIR .. "/relay.log"}
fleet.wait_until("the relay delays", 5000, function()
  local answer = fleet.http{url = fleet.url(relay_port, "/stats"), timeout_ms = 2000}
  return answer.status ~= 0 and answer.took_ms >= DELAY_MS
end)
fleet.write(mode_file, "")
fleet.pause(5 * RELAY_TICK_MS)
assert(took_ms() >= DELAY_MS, "an empty mode file ended the delay")
fleet.write(mode_file, "pass")
fleet.wait_until("the relay stops to delay", 5000, function() return took_ms() < DELAY_MS end)
