-- The processes of the soak: starts them, injects signals, settings files and floods of
-- connections, and checks how each start ends.
local fleet = require("fleet")
local jobfleet = require("jobfleet")

local soak_processes = {}
soak_processes.__index = soak_processes

-- The platform kills a process that has not ended in this time after SIGTERM.
local GRACE_MS = 6000
local START_MS = 8000
local BLOCK_MS = 1000
local MEMORY_MAX_PAGES = 512 * 256
local LOG_LINES, FAULT_LINES = 12, 12
local HUGE_LINES = 1 << 21

local random = math.random
local began_ms = now_ms()

function soak_processes.time_text(ms) return string.format("%.3f s", (ms - began_ms) / 1000) end

-- schedule(ms, callback) runs a callback later. Each process gets a share of a core if
-- share_permille is over 0.
function soak_processes.new(list, schedule, share_permille)
  return setmetatable({list = list, schedule = schedule, share_permille = share_permille or 0,
                       failures = 0}, soak_processes)
end

-- A run is one start of a process: number, pid, log, up, and the times of its signals.

-- Returns for how long a run was not stopped by SIGSTOP between two times.
function soak_processes.running_ms(run, from_ms, to_ms)
  local ms = to_ms - from_ms
  for _, stop in ipairs(run.stops) do
    ms = ms - math.max(0, math.min(to_ms, stop.to_ms or to_ms) - math.max(from_ms, stop.from_ms))
  end
  return ms
end

-- Returns for how long the process of a run has waited for a CPU since its start.
function soak_processes.cpu_wait_ms(run)
  return tonumber(fleet.read("/proc/" .. run.pid .. "/schedstat"):match("^%d+ (%d+)") or 0) // 1000000
end

-- Returns when the process of a run logged its orderly end, or nil.
function soak_processes.stopped_ms(run)
  local line = fleet.read(run.log):match('[^\n]*"event":"process%-stopped"')
  return line and tonumber(line:match('"steady_ms":(%d+)'))
end

local faults_log = assert(io.open(DIR .. "/faults.log", "w"))
faults_log:setvbuf("line")

-- Writes a fault to faults.log, with the time that the logs of the processes have.
function soak_processes.log_fault(text)
  local ms = wall_ms()
  faults_log:write(string.format("%s.%03d %s %s\n", os.date("!%H:%M:%S", ms // 1000), ms % 1000,
                                 soak_processes.time_text(now_ms()), text))
end

-- Records a fault of a process for the reports.
local function note(process, text)
  process.faults = process.faults or {}
  table.insert(process.faults, "    " .. soak_processes.time_text(now_ms()) .. " " .. text)
  soak_processes.log_fault(process.name .. " " .. text)
end

local function last(lines, count) return table.concat(lines, "\n", math.max(1, #lines - count + 1)) end

-- Reports a broken promise; the soak goes on and fails at its end.
function soak_processes:fail(run, what)
  local lines = {}
  for line in fleet.read(run.log):gmatch("[^\n]+") do table.insert(lines, "    " .. line) end
  self.failures = self.failures + 1
  print(string.format("%s: %s, start %d: %s\n  last faults:\n%s\n  last log lines:\n%s",
                      soak_processes.time_text(now_ms()), run.process.name, run.number, what,
                      last(run.process.faults or {}, FAULT_LINES), last(lines, LOG_LINES)))
end

-- SIGHUP ends a program that has not been loaded yet, unless its start script ignores it.
local function hang_up_ends(run)
  run.takes_hang_up = run.takes_hang_up or jobfleet.blocks_signals(run.pid)
  return not run.takes_hang_up
end

function soak_processes:signal(run, name)
  if run.ended_ms then return end
  if name == "HUP" and hang_up_ends(run) then
    note(run.process, "SIGHUP not sent, the program is not loaded yet")
    return
  end
  if name == "KILL" then run.killed = true end
  if name == "TERM" then run.term_ms = run.term_ms or now_ms() end
  local stop = run.stops[#run.stops]
  if name == "STOP" and (not stop or stop.to_ms) then table.insert(run.stops, {from_ms = now_ms()}) end
  note(run.process, "SIG" .. name)
  -- standin_share lets the process go on, so it stands still as long as the process does.
  if run.share and name == "STOP" then signal(run.share, name) end
  signal(run.pid, name)
  if run.share and name == "CONT" then signal(run.share, name) end
  if name == "CONT" and stop and not stop.to_ms then stop.to_ms = now_ms() end
end

function soak_processes:hang_up(run, count)
  for _ = 1, count do self:signal(run, "HUP") end
end

-- SIGHUP to the processes one after the other, as in a change on all machines.
function soak_processes:hang_up_all(within_ms)
  for _, process in ipairs(self.list) do
    self.schedule(random(0, within_ms), function()
      if process.run then self:hang_up(process.run, random(3)) end
    end)
  end
end

function soak_processes:start(process)
  -- Every other start is that of a script that ignores the signal, see OPERATIONS.md.
  local is_ignored = process.starts % 2 == 1
  jobfleet.start(process, {ignored = is_ignored and "HUP" or nil})
  local run = {process = process, number = process.starts, pid = process.pid, log = process.log,
               started_ms = now_ms(), stops = {}, bad_file = process.bad_file,
               takes_hang_up = is_ignored}
  process.run, process.start_due = run, false
  note(process, "start " .. run.number)
  if jobfleet.wait_until_blocked(run.pid, BLOCK_MS) then
    local until_ms = now_ms() + random(0, 20)
    while now_ms() < until_ms do end
    self:hang_up(run, random(0, 2))
    if self.share_permille > 0 then
      run.share = spawn{"standin_share", tostring(run.pid), tostring(self.share_permille)}
    end
    self.schedule(random(0, 1500), function() self:hang_up(run, random(0, 2)) end)
  end
end

-- Checks the exit code of a run.
function soak_processes:check_end(run, code)
  if run.killed or (run.term_ms and code == 0) then return end
  if run.bad_file and code > 0 and not run.up then
    if fleet.read(run.log):find("sassafrascartd: ", 1, true) then return end
    self:fail(run, "gave no reason why it cannot start with the settings file: " .. run.bad_file)
  elseif run.term_ms then
    self:fail(run, "ended with code " .. code .. " after SIGTERM")
  else
    self:fail(run, "ended by itself with code " .. code)
  end
end

function soak_processes:check_times(run)
  if not run.up then
    run.up = fleet.read(run.log):find('"event":"process-started"', 1, true) ~= nil
    if not run.up and not run.killed
       and soak_processes.running_ms(run, run.started_ms, now_ms()) > START_MS then
      self:fail(run, "neither started nor ended, settings file: " .. (run.bad_file or "valid"))
      self:signal(run, "KILL")
    end
  elseif run.term_ms and not run.killed
         and soak_processes.running_ms(run, run.term_ms, now_ms()) > GRACE_MS then
    self:fail(run, "has not ended " .. GRACE_MS .. " ms after SIGTERM")
    self:signal(run, "KILL")
  end
end

function soak_processes:check_memory(run)
  local pages = tonumber(fleet.read("/proc/" .. run.pid .. "/statm"):match("^%d+ (%d+)")) or 0
  if pages > MEMORY_MAX_PAGES and not run.killed then
    self:fail(run, "uses " .. pages // 256 .. " MB")
    self:signal(run, "KILL")
  end
end

function soak_processes:step()
  for _, process in ipairs(self.list) do
    local run = process.run
    local code = not run.ended_ms and exited(run.pid)
    if code then
      run.ended_ms = now_ms()
      if run.share then signal(run.share, "CONT") end
      note(process, "ended with code " .. code)
      self:check_end(run, code)
      if run.bad_file and code > 0 then
        process.start_due = true
      else
        self.schedule(process.down_ms or 0, function() self:start(process) end)
      end
    elseif not run.ended_ms then
      self:check_times(run)
      self:check_memory(run)
    elseif process.start_due and not process.bad_file then
      self:start(process)
    end
  end
end

-- Ways to end a run or to disturb its end.
local endings = {
  function(self, run) self:signal(run, "KILL") end,
  function(self, run) self:signal(run, "TERM") end,
  function(self, run)
    self:signal(run, "TERM")
    for _ = 1, 3 do
      self.schedule(random(0, 3000), function() self:hang_up(run, random(5)) end)
    end
  end,
  function(self, run)
    self:signal(run, "TERM")
    self.schedule(random(0, 3000), function() self:signal(run, "KILL") end)
  end,
  function(self, run)
    self:signal(run, "TERM")
    self.schedule(random(0, 2500), function() self:stop_for(run, random(100, 2000)) end)
  end,
  function(self, run)
    self:stop_for(run, random(300, 3000))
    self.schedule(random(0, 1000), function() self:signal(run, random(2) == 1 and "TERM" or "KILL") end)
  end,
}

function soak_processes:stop_for(run, ms)
  self:signal(run, "STOP")
  self.schedule(ms, function() self:signal(run, "CONT") end)
end

-- Restarts a process several times in a row, each time a while after its start.
function soak_processes:restart(process, count)
  local run = process.run
  if process.restarting or run.ended_ms then return end
  process.restarting, process.down_ms = true, random(0, 1500)
  endings[random(#endings)](self, run)
  if run.killed and random(2) == 1 then self:hang_up_all(3000) end
  local function when_restarted()
    if process.run == run or process.run.ended_ms then
      self.schedule(50, when_restarted)
      return
    end
    process.restarting = false
    if count > 1 then
      self.schedule(random(0, 2500), function() self:restart(process, count - 1) end)
    end
  end
  when_restarted()
end

local function lines_before(text, pattern)
  local from, to = text:find(pattern)
  return text:sub(1, random(from, to - 1))
end

-- What may stand in the place of a settings file.
local bad_files = {
  {"missing", function(path) os.remove(path) end},
  {"empty", function(path) fleet.write(path, "") end},
  -- Cut within the name of a required setting.
  {"truncated", function(path, text)
    local names = {"zone=", "ip=", "listen%.front=", "listen%.ready=", "platform%.address="}
    fleet.write(path, lines_before(text, "\n" .. names[random(#names)]))
  end},
  {"invalid value", function(path, text)
    fleet.write(path, (text:gsub("listen%.ready=[^\n]*", "listen.ready=nowhere")))
  end},
  {"FIFO", function(path) fifo_create(path) end},
  {"link to a device", function(path) link_create("/dev/zero", path) end},
  {"link to nothing", function(path) link_create(path .. ".none", path) end},
  {"directory", function(path) link_create(DIR, path) end},
  {"huge", function(path, text) fleet.write(path, text .. string.rep("x=1\n", HUGE_LINES)) end},
}

function soak_processes:restore_file(process, text)
  -- A rename replaces anything but a directory; the directory here is a link.
  fleet.write(process.file .. ".new", text)
  assert(os.rename(process.file .. ".new", process.file))
  process.bad_file = nil
  note(process, "settings file: valid")
  if random(2) == 1 then self:hang_up(process.run, random(3)) end
end

function soak_processes:break_file(process)
  if process.bad_file then return end
  local text = fleet.read(process.file)
  local kind = bad_files[random(#bad_files)]
  process.bad_file = kind[1]
  if not process.run.up then process.run.bad_file = kind[1] end
  note(process, "settings file: " .. kind[1])
  kind[2](process.file, text)
  if random(2) == 1 then self:hang_up(process.run, random(3)) end
  if random(3) == 1 then self:restart(process, random(2)) end
  self.schedule(random(300, 4000), function() self:restore_file(process, text) end)
end

local flood_modes = {"idle", "half", "drip", "header", "body", "upload", "reset"}
local floods = 0

-- Opens more connections to the callers' port than a process has descriptors.
function soak_processes:flood(process)
  local mode, count = flood_modes[random(#flood_modes)], random(100, 500)
  if process.flood then return end
  floods = floods + 1
  process.flood = true
  note(process, string.format("%d connections, %s", count, mode))
  local pid = spawn{"standin_flood", tostring(process.front), tostring(count), mode,
                    log = DIR .. "/flood-" .. floods .. ".log"}
  if random(2) == 1 then self:restart(process, random(2)) end
  self.schedule(random(500, 8000), function()
    signal(pid, "KILL")
    fleet.wait_until("the flood ends", 2000, function() return exited(pid) end)
    process.flood = nil
    note(process, "connections closed")
  end)
end

-- Returns whether all processes run with their own settings file.
function soak_processes:are_up()
  for _, process in ipairs(self.list) do
    if process.restarting or process.bad_file or process.run.ended_ms or not process.run.up then
      return false
    end
  end
  return true
end

-- Returns whether a process is stopped, ending, down or starting.
function soak_processes:is_any_disturbed()
  for _, process in ipairs(self.list) do
    local run = process.run
    local stop = run.stops[#run.stops]
    if run.ended_ms or run.killed or run.term_ms or not run.up or (stop and not stop.to_ms) then return true end
  end
  return false
end

-- Every process must apply its settings file and be ready.
function soak_processes:check_serving()
  for _, process in ipairs(self.list) do
    local name = 'settings_reloads_total{result="ok"}'
    local before = jobfleet.metric(process, name) or 0
    self:hang_up(process.run, 1)
    fleet.wait_until(process.name .. " is ready and has read its settings", START_MS, function()
      return (jobfleet.metric(process, name) or 0) > before and jobfleet.is_ready(process)
    end)
  end
end

return soak_processes
