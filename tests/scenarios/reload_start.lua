-- A SIGHUP that arrives while a process starts must not end it: not after the process
-- has blocked its signals, and never if it was started with SIGHUP ignored, as by nohup
-- or a start script. Either way a SIGHUP leads to a reload.
local fleet = require("fleet")
local jobfleet = require("jobfleet")

local READY_MS = 10000

local platform = jobfleet.new(SEED)

-- Whether the program has been loaded into a process and has SIGHUP, signal 1, blocked.
local function blocks_hup(pid)
  local status = fleet.read("/proc/" .. pid .. "/status")
  local mask = status:match("SigBlk:%s*(%x+)")
  return status:find("^Name:%s*sassafrascartd") and tonumber(mask:sub(-1), 16) % 2 == 1
end

-- Signals a process throughout its start; ready_to_signal says when to begin.
local function check_start(process, options, ready_to_signal)
  jobfleet.start(process, options)
  local signals = 0
  fleet.wait_until(process.name .. " is ready", READY_MS, function()
    if ready_to_signal(process.pid) then
      signal(process.pid, "HUP")
      signals = signals + 1
    end
    local code = exited(process.pid)
    assert(not code, process.name .. " ended with code " .. tostring(code) .. " during its start")
    return signals > 0 and jobfleet.is_ready(process)
  end)
  fleet.wait_until(process.name .. " reloads", READY_MS, function()
    return jobfleet.metric(process, 'settings_reloads_total{result="ok"}') > 0
  end)
end

check_start(platform:add_process(platform.port), {ignored = "HUP"}, function() return true end)
check_start(platform:add_process(platform.port), {}, blocks_hup)
