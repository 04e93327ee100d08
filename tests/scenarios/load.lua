-- Callers that send requests at a steady rate while a scenario waits.

local fleet = require("fleet")
local load = {}
load.__index = load

-- Sends GET requests to a path through the entries of a fleet in turn.
function load.new(f, path, per_s)
  local entries = {}
  for _, entry in pairs(f.entries) do table.insert(entries, entry) end
  table.sort(entries, function(a, b) return a.name < b.name end)
  return setmetatable({f = f, path = path, per_s = per_s, entries = entries, open = {},
                       began = now_ms(), sent = 0, due = 0, outcomes = {}}, load)
end

function load:forget(entry)
  for index, known in ipairs(self.entries) do
    if known == entry then table.remove(self.entries, index) end
  end
end

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

function load:pump()
  local now = now_ms()
  self.due = self.due + (now - self.began) * self.per_s / 1000
  self.began = now
  while self.due >= 1 do
    local entry = self.entries[self.sent % #self.entries + 1]
    self.due, self.sent = self.due - 1, self.sent + 1
    self.open[http_start{url = fleet.url(entry.port, self.path), timeout_ms = 10000,
                         headers = {["x-test-id"] = "load-" .. self.sent, ["x-run-ms"] = "20"}}] = true
  end
  poll(5)
  self:collect()
end

-- Waits for a condition, looked at ten times a second, under load.
function load:wait(what, timeout_ms, condition)
  local deadline, look = now_ms() + timeout_ms, 0
  while now_ms() < deadline do
    if now_ms() >= look then
      local value = condition()
      if value then return value end
      look = now_ms() + 100
    end
    self:pump()
  end
  error("not within " .. timeout_ms .. " ms: " .. what, 2)
end

function load:pause(ms)
  local until_ms = now_ms() + ms
  while now_ms() < until_ms do self:pump() end
end

function load:in_progress()
  local count = 0
  for _ in pairs(self.open) do count = count + 1 end
  return count
end

-- Waits for all answers.
function load:finish()
  self.per_s = 0
  self:wait("the last answers", 15000, function() return next(self.open) == nil end)
  return self.outcomes
end

-- Every request was answered, since the floor's capacity exceeds the load,
-- but for those that were in progress in a process that was killed.
function load:judge(broken_most)
  local broken = 0
  for outcome, count in pairs(self:finish()) do
    if outcome:find("^broken") or outcome == "unknown; reason=cut" then
      broken = broken + count
    else
      assert(outcome == "ran; reason=answered", count .. " requests ended as " .. outcome)
    end
  end
  assert(broken <= broken_most, broken .. " requests broke")
end

return load
