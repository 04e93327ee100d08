-- The total rate at which processes read the head from the platform stays below a
-- limit that they share, however short each one's poll interval is. Rolls still come
-- into force quickly, since peers forward the head.
local fleet = require("fleet")
local rolls = require("rolls")

local GATEWAYS = 8
local ROLLS = 6
local MEASURE_MS = 4000
local READS_PER_S_MAX = 60
-- The key prefix "/sassafrascart/pulse/" in base64.
local PULSE = "L3Nhc3NhZnJhc2NhcnQvcHVsc2Uv"

local f = rolls.fleet({"--poll-ms", "20"})
local gateways = {}
for index = 1, GATEWAYS do
  table.insert(gateways, f:add_gateway("entry-" .. index))
end
f:must_ctl("roll", 1)
rolls.wait_in_force(f, gateways, 1, 10000)
fleet.wait_until("all processes have discovered their peers", 10000, function()
  local all = true
  for _, gateway in ipairs(gateways) do all = all and rolls.metric(gateway, "peers_live") == GATEWAYS end
  return all
end)

local function reads() return fleet.get_json(f.platform_port, "/reads")[PULSE] end
poll(1000)
local before, started_ms = reads(), now_ms()
poll(MEASURE_MS)
local rate = (reads() - before) * 1000 / (now_ms() - started_ms)
print(string.format("%.0f reads of the head per second by %d processes", rate, GATEWAYS))

local times = {}
for roll = 2, 1 + ROLLS do
  table.insert(times, f:must_ctl("roll", 1 + roll % 2).took_ms)
  rolls.wait_in_force(f, gateways, roll, 10000)
end
table.sort(times)
print("roll-out ms: " .. table.concat(times, " "))
assert(rate <= READS_PER_S_MAX, "more than " .. READS_PER_S_MAX .. " reads per second")
assert(times[#times] < 10000, "a roll was not in force in all processes within 10 s")
