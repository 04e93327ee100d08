-- Callers cancel many requests, queued and running, over HTTP/1.1 and HTTP/2.
-- Cancelled queued requests must never run and must release their places in the
-- queue; running ones run exactly once.
local fleet = require("fleet")

local f = fleet.new{backends = {{name = "vm-a", zone = "z1", rack = "r1"}}}
local gateway = f:add_gateway("entry-1")
f:publish(1, {{name = "draws", vms = {"vm-a"}, queue = 20}},
          {{path = "/draws", pool = "draws", idempotent = "no", deadline_ms = 15000}})
f:must_ctl("roll", 1)
f:wait_serving(gateway)

local count = 0
local function start(run_ms, h2)
  count = count + 1
  local id = "t" .. count
  return id, http_start{method = "POST", url = fleet.url(gateway.port, "/draws"), body = id, h2 = h2,
                        headers = {["x-test-id"] = id, ["x-run-ms"] = run_ms}, timeout_ms = 20000}
end

for h2 = 0, 1 do
  local running, waiting, later = {}, {}, {}
  for _ = 1, 8 do
    local id, exchange = start("2000", h2)
    running[id] = exchange
  end
  fleet.wait_until("all slots are busy", 5000, function()
    return f.get_json(f.backends["vm-a"].port, "/stats").running == 8
  end)
  for _ = 1, 20 do
    local id, exchange = start("10", h2)
    waiting[id] = exchange
  end
  poll(200)
  for _, exchange in pairs(waiting) do http_drop(exchange) end
  for _, exchange in pairs(running) do http_drop(exchange) end
  poll(150)
  for _ = 1, 20 do
    local id, exchange = start("10", h2)
    later[id] = exchange
  end
  for id, exchange in pairs(later) do
    local answer = fleet.wait_until("the later requests are answered", 10000, function()
      return http_result(exchange)
    end)
    assert(answer.status == 200 and answer.body == id,
           "a cancelled request still holds its place in the queue: " .. tostring(answer.status) .. answer.body)
  end
  local runs = f:runs_by_test_id()
  for id in pairs(waiting) do assert(not runs[id], id .. " was cancelled and ran") end
  for id in pairs(running) do assert(runs[id] == 1, id .. " ran " .. runs[id] .. " times") end
end
