-- A busy process gets its share of a core, and goes on when standin_share ends.
local fleet = require("fleet")

local SHARE_PERMILLE, MEASURED_MS = 250, 2000

local function cpu_ms(pid) return tonumber(fleet.read("/proc/" .. pid .. "/schedstat"):match("^%d+")) // 1000000 end

local function cpu_ms_in(pid, ms)
  local before = cpu_ms(pid)
  fleet.pause(ms)
  return cpu_ms(pid) - before
end

local file = DIR .. "/busy.lua"
fleet.write(file, "while true do end")
local busy = spawn{"runner", DIR, file}
fleet.wait_until("the process is busy", 5000, function() return cpu_ms(busy) > 50 end)

local share = spawn{"standin_share", tostring(busy), tostring(SHARE_PERMILLE), log = DIR .. "/share.log"}
fleet.pause(200)
local used = cpu_ms_in(busy, MEASURED_MS)
local expected = MEASURED_MS * SHARE_PERMILLE // 1000
print(string.format("used %d of %d ms", used, expected))
assert(used > expected // 3 and used < expected * 13 // 10, "not its share of a core")

signal(share, "TERM")
fleet.wait_until("standin_share ends", 2000, function() return exited(share) end)
local pid_of_none = spawn{"standin_share", "1", "250", log = DIR .. "/refused.log"}
local code = fleet.wait_until("a process of others is refused", 2000, function() return exited(pid_of_none) end)
assert(code == 1, "a process of others was accepted")
assert(cpu_ms_in(busy, 500) > 20, "the process was left stopped")
