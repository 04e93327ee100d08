-- Load generator: sends requests at a constant rate while a scenario waits.

local fleet = require("fleet")
local load = {}
load.__index = load

-- Creates a generator of GET requests for a path, round-robin over the gateway
-- processes of a fleet.
function load.new(f, path, per_s)
  local gateways = {}
  for _, gateway in pairs(f.gateways) do table.insert(gateways, gateway) end
  table.sort(gateways, function(a, b) return a.name < b.name end)
  return setmetatable({f = f, path = path, per_s = per_s, gateways = gateways, open = {},
                       updated_ms = now_ms(), sent = 0, due = 0, outcomes = {}}, load)
end

-- Sends no further requests to a gateway process.
function load:remove_gateway(gateway)
  for index, known in ipairs(self.gateways) do
    if known == gateway then table.remove(self.gateways, index) end
  end
end

-- Counts the outcomes of finished requests.
function load:collect()
  for id in pairs(self.open) do
    local result = http_result(id)
    if result then
      local outcome = result.headers["sassafrascart-outcome"] or ("broken: " .. (result.error or "?"))
      self.outcomes[outcome] = (self.outcomes[outcome] or 0) + 1
      self.open[id] = nil
    end
  end
end

-- Sends the requests that are due and drives those in progress.
function load:step()
  local now = now_ms()
  self.due = self.due + (now - self.updated_ms) * self.per_s / 1000
  self.updated_ms = now
  while self.due >= 1 do
    local gateway = self.gateways[self.sent % #self.gateways + 1]
    self.due, self.sent = self.due - 1, self.sent + 1
    self.open[http_start{url = fleet.url(gateway.port, self.path), timeout_ms = 10000,
                         headers = {["x-test-id"] = "load-" .. self.sent, ["x-run-ms"] = "20"}}] = true
  end
  poll(5)
  self:collect()
end

-- Polls a condition every 100 ms under load, until it is true.
function load:wait(what, timeout_ms, condition)
  local deadline, next_check_ms = now_ms() + timeout_ms, 0
  while now_ms() < deadline do
    if now_ms() >= next_check_ms then
      local value = condition()
      if value then return value end
      next_check_ms = now_ms() + 100
    end
    self:step()
  end
  error("timed out after " .. timeout_ms .. " ms waiting until " .. what, 2)
end

function load:pause(ms)
  local until_ms = now_ms() + ms
  while now_ms() < until_ms do self:step() end
end

function load:in_progress()
  local count = 0
  for _ in pairs(self.open) do count = count + 1 end
  return count
end

-- Stops sending, waits for the requests in progress and returns the counts by
-- outcome.
function load:finish()
  self.per_s = 0
  self:wait("the last requests are answered", 15000, function() return next(self.open) == nil end)
  return self.outcomes
end

-- Checks that every request was answered: the capacity of the pool's floor exceeds
-- the load. Up to broken_max requests may have failed, those in progress in a
-- process that was killed.
function load:check_outcomes(broken_max)
  local broken = 0
  for outcome, count in pairs(self:finish()) do
    if outcome:find("^broken") or outcome == "unknown; reason=cut" then
      broken = broken + count
    else
      assert(outcome == "ran; reason=answered", count .. " requests ended with outcome " .. outcome)
    end
  end
  assert(broken <= broken_max, broken .. " requests lost their connection, at most " .. broken_max .. " expected")
end

return load
