-- More connections than allowed: the surplus is closed at once and runs
-- nothing, the others are answered, and places of closed ones are free again.
-- An entry that is killed: what waited in its queue never runs.
local fleet = require("fleet")

local f = fleet.new{backends = {{name = "vm-a", zone = "z1", rack = "r1"}},
                    flags = {"--connections-max", "20", "--idle-timeout-ms", "500"}}
local entry = f:add_entry("entry-1")
f:publish(1, {{name = "draws", vms = {"vm-a"}}}, {{path = "/draws", pool = "draws", deadline_ms = 15000}})
f:must_ctl("roll", 1)
f:wait_serving(entry)

local function batch(name, number, run_ms)
  local requests = {}
  for i = 1, number do
    requests[name .. i] = {method = "POST", url = fleet.url(entry.port, "/draws"), body = name .. i,
                           headers = {["x-test-id"] = name .. i, ["x-run-ms"] = run_ms}}
  end
  return requests
end

local surplus = fleet.http_all(batch("many-", 60, "500"))
local answered, broken = 0, {}
for id, answer in pairs(surplus) do
  if answer.status == 200 and answer.body == id then answered = answered + 1 end
  if answer.error then table.insert(broken, id) end
end
assert(answered > 0 and answered <= 20, answered .. " were answered on 20 connections")
assert(answered + #broken == 60, "each was answered or broken")
local runs = f:runs_by_test_id()
for _, id in ipairs(broken) do assert(not runs[id], id .. " was closed at once and ran") end
fleet.wait_until("connections are free again", 5000, function()
  local answers = fleet.http_all(batch("again-" .. now_ms() .. "-", 10, "5"))
  for _, answer in pairs(answers) do
    if answer.status ~= 200 then return false end
  end
  return true
end)

local exchanges = {}
for _, request in pairs(batch("running-", 8, "1500")) do http_start(request) end
fleet.wait_until("all slots are busy", 5000, function()
  return f.get_json(f.backends["vm-a"].port, "/stats").running == 8
end)
local queued = batch("queued-", 8, "5")
for id, request in pairs(queued) do exchanges[id] = http_start(request) end
poll(200)
signal(entry.pid, "KILL")
for id, exchange in pairs(exchanges) do
  local answer = fleet.wait_until("callers hear of it", 5000, function() return http_result(exchange) end)
  assert(answer.error, id .. " sees a broken connection")
end
fleet.wait_until("the work of the killed entry has ended", 5000, function()
  return f.get_json(f.backends["vm-a"].port, "/stats").running == 0
end)
runs = f:runs_by_test_id()
for id in pairs(queued) do assert(not runs[id], id .. " waited in a killed entry and ran") end
