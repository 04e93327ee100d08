-- Measures the cost of claiming idempotency keys: the latency that a claim adds
-- to sequential requests, and the platform transactions per claim at a constant
-- number of requests in flight. Run: build/programs/runner build/programs bench/claims.lua
package.path = package.path .. ";tests/scenarios/?.lua"
local fleet = require("fleet")

local PLATFORM_DELAY_MS, GATEWAYS = 3, 9
local PACED_REQUESTS, SEQUENTIAL_REQUESTS, PARALLEL_REQUESTS = 50, 200, 4000

local f = fleet.new{backends = {
  {name = "vm-a", zone = "z1", rack = "r1"}, {name = "vm-b", zone = "z2", rack = "r2"},
  {name = "vm-c", zone = "z3", rack = "r3"}, {name = "vm-d", zone = "z1", rack = "r4"},
}}
local gateways = {}
for index = 1, GATEWAYS do gateways[index] = f:add_gateway("entry-" .. index) end
f:publish(1, {{name = "draws", vms = {"vm-a", "vm-b", "vm-c", "vm-d"}, queue = 2000}},
          {{path = "/draws", pool = "draws", idempotent = "no", deadline_ms = 20000}})
f:must_ctl("roll", 1)
for _, gateway in ipairs(gateways) do f:wait_serving(gateway) end
f.control(f.platform_port, '{"delay_ms": ' .. PLATFORM_DELAY_MS .. "}")

local count = 0
local function request(gateway, keyed)
  count = count + 1
  return {method = "POST", url = fleet.url(gateway.port, "/draws"), body = "x", timeout_ms = 30000,
          headers = keyed and {["idempotency-key"] = "k" .. count} or {}}
end

local function metric_sum(name)
  local sum = 0
  for _, gateway in ipairs(gateways) do
    local text = fleet.http{url = fleet.url(gateway.port, "/metrics")}.body
    sum = sum + tonumber(text:match("\nsassafrascart_" .. name .. " (%d+)"))
  end
  return sum
end

-- Returns the mean latency of sequential requests through one process, with a
-- pause before each.
local function mean_ms(number, pause_ms, keyed)
  local total = 0
  for _ = 1, number do
    poll(pause_ms)
    local start = now_ms()
    local answer = fleet.http(request(gateways[1], keyed))
    assert(answer.status == 200, answer.body)
    total = total + now_ms() - start
  end
  return total / number
end

print(string.format("10 per second: %.1f ms without, %.1f ms with a key",
                    mean_ms(PACED_REQUESTS, 100, false), mean_ms(PACED_REQUESTS, 100, true)))
print(string.format("sequential: %.1f ms without, %.1f ms with a key",
                    mean_ms(SEQUENTIAL_REQUESTS, 0, false), mean_ms(SEQUENTIAL_REQUESTS, 0, true)))

for _, window in ipairs{9, 36, 144} do
  local claims, calls = metric_sum("claims_total"), metric_sum("claim_transactions_total")
  local start_ms, started, open, open_count, total_ms = now_ms(), 0, {}, 0, 0
  repeat
    while started < PARALLEL_REQUESTS and open_count < window do
      started, open_count = started + 1, open_count + 1
      open[http_start(request(gateways[started % GATEWAYS + 1], true))] = true
    end
    poll(1)
    for id in pairs(open) do
      local answer = http_result(id)
      if answer then
        assert(answer.status == 200, answer.body)
        open[id], open_count, total_ms = nil, open_count - 1, total_ms + answer.took_ms
      end
    end
  until started == PARALLEL_REQUESTS and open_count == 0
  local seconds = (now_ms() - start_ms) / 1000
  claims = metric_sum("claims_total") - claims
  calls = metric_sum("claim_transactions_total") - calls
  print(string.format("%3d in progress: %.0f claims/s, %.0f transactions/s, %.2f claims per "
                      .. "transaction, mean %.1f ms", window, claims / seconds, calls / seconds,
                      claims / calls, total_ms / PARALLEL_REQUESTS))
end
