-- Connection limit of a gateway process: requests on connections above the limit are
-- refused as not run and do not run, the others are served, and closed connections no
-- longer count. Requests queued in a gateway process that is killed never run.
local fleet = require("fleet")

local f = fleet.new{backends = {{name = "vm-a", zone = "z1", rack = "r1"}},
                    flags = {"--connections-max", "20", "--idle-timeout-ms", "500"}}
local gateway = f:add_gateway("entry-1")
f:publish(1, {{name = "draws", vms = {"vm-a"}}}, {{path = "/draws", pool = "draws", deadline_ms = 15000}})
f:must_ctl("roll", 1)
f:wait_serving(gateway)

local function batch(name, number, run_ms)
  local requests = {}
  for i = 1, number do
    requests[name .. i] = {method = "POST", url = fleet.url(gateway.port, "/draws"), body = name .. i,
                           headers = {["x-test-id"] = name .. i, ["x-run-ms"] = run_ms}}
  end
  return requests
end

local responses = fleet.http_all(batch("many-", 60, "500"))
local answered, closed = 0, {}
for id, answer in pairs(responses) do
  if answer.status == 200 and answer.body == id then answered = answered + 1 end
  local refused = answer.status == 503 and answer.headers["retry-after"] and
                  answer.headers["sassafrascart-outcome"] == "not-run; reason=connection-limit"
  if answer.error or refused then table.insert(closed, id) end
end
assert(answered > 0 and answered <= 20, answered .. " requests were answered, expected 1 to 20")
assert(answered + #closed == 60, "a request was neither answered nor refused")
local runs = f:runs_by_test_id()
for _, id in ipairs(closed) do assert(not runs[id], id .. " was refused, but ran") end
fleet.wait_until("new connections are accepted", 5000, function()
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
signal(gateway.pid, "KILL")
for id, exchange in pairs(exchanges) do
  local answer = fleet.wait_until("the callers see their connections close", 5000, function()
    return http_result(exchange)
  end)
  assert(answer.error, id .. " got a response from a killed gateway process")
end
fleet.wait_until("the requests of the killed gateway process have ended", 5000, function()
  return f.get_json(f.backends["vm-a"].port, "/stats").running == 0
end)
runs = f:runs_by_test_id()
for id in pairs(queued) do assert(not runs[id], id .. " was queued in a killed gateway process, but ran") end
