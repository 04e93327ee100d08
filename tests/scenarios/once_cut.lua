-- Requests that are not idempotent run at most once, and the outcome reported to
-- the caller is true, whatever fails: connections closed before the first byte of
-- the response or within its head or body, mixed-up responses, servers that do not
-- respond or have crashed, a gateway process killed with requests in
-- progress, and callers that retry with the same idempotency key.
local fleet = require("fleet")
math.randomseed(SEED)

local f = fleet.new{backends = {
  {name = "vm-a", zone = "z1", rack = "r1"}, {name = "vm-b", zone = "z2", rack = "r2"},
  {name = "vm-c", zone = "z3", rack = "r3"}, {name = "vm-d", zone = "z1", rack = "r4"},
  {name = "vm-e", zone = "z2", rack = "r5"}, {name = "vm-f", zone = "z3", rack = "r6"},
}}
local gateways = {f:add_gateway("entry-1"), f:add_gateway("entry-2"), f:add_gateway("entry-3")}
f:publish(1, {{name = "draws", vms = {"vm-a", "vm-b", "vm-c", "vm-d"}},
              {name = "rosters", vms = {"vm-e", "vm-f"}}},
          {{path = "/draws", pool = "draws", idempotent = "no", deadline_ms = 3000},
           {path = "/rosters", pool = "rosters", idempotent = "yes", deadline_ms = 3000}})
f:must_ctl("roll", 1)
for _, gateway in ipairs(gateways) do f:wait_serving(gateway) end

local sent, answers, count = {}, {}, 0
local function request(gateway, path, headers)
  count = count + 1
  local id = "t" .. count
  local all = {["x-test-id"] = id}
  for name, value in pairs(headers or {}) do all[name] = value end
  sent[id] = {method = "POST", url = fleet.url(gateway.port, path), headers = all,
              body = string.rep(id .. ";", 50), timeout_ms = 15000}
  return id
end

local function finish(ids)
  local batch = {}
  for _, id in ipairs(ids) do batch[id] = sent[id] end
  for id, answer in pairs(fleet.http_all(batch)) do answers[id] = answer end
end

-- 1. Random faults of every kind, with one backend server killed.
local modes = {"ok", "ok", "ok", "ok", "reset", "cut-early", "cut-head", "cut-body", "crossed",
               "twice", "fail", "silent"}
signal(f.backends["vm-d"].pid, "KILL")
for _ = 1, 12 do
  local ids = {}
  for _ = 1, 20 do
    table.insert(ids, request(gateways[math.random(3)], "/draws",
                              {["x-mode"] = modes[math.random(#modes)],
                               ["x-run-ms"] = tostring(math.random(0, 30)),
                               ["sassafrascart-deadline-ms"] = "1500"}))
  end
  finish(ids)
end

-- 2. The first attempt may have run, the retry cannot connect: the failure of the
-- retry must not make the outcome "not-run".
local dead = f.backends["vm-f"].pid
signal(dead, "KILL")
fleet.wait_until("vm-f has ended", 5000, function() return exited(dead) end)
for _ = 1, 6 do finish{request(gateways[1], "/rosters", {["x-mode"] = "cut-early"})} end

-- 3. The same key through all gateway processes concurrently, again afterwards, and
-- after the process that sent the request was killed while the request ran.
local concurrent, keyed = {}, {}
for index = 1, 20 do
  keyed[index] = {}
  for _, gateway in ipairs(gateways) do
    local id = request(gateway, "/draws", {["idempotency-key"] = "key-" .. index,
                                           ["x-run-ms"] = "20"})
    table.insert(concurrent, id)
    table.insert(keyed[index], id)
  end
end
finish(concurrent)
for index = 1, 20 do
  local id = request(gateways[math.random(3)], "/draws", {["idempotency-key"] = "key-" .. index})
  table.insert(keyed[index], id)
  finish{id}
  local _, reason = fleet.outcome(answers[id])
  assert(answers[id].status == 409 and reason == "duplicate-key", "a repeated key was not refused")
end

local killed, in_progress = {}, {}
for index = 21, 26 do
  keyed[index] = {request(gateways[1], "/draws", {["idempotency-key"] = "key-" .. index,
                                                  ["x-run-ms"] = "1500"})}
  killed[index] = keyed[index][1]
  in_progress[index] = http_start(sent[killed[index]])
end
fleet.wait_until("the requests run", 5000, function()
  local runs = f:runs_by_test_id()
  for _, id in pairs(killed) do
    if not runs[id] then return false end
  end
  return true
end)
signal(gateways[1].pid, "KILL")
for index, id in pairs(in_progress) do
  fleet.wait_until("the caller sees the connection close", 5000, function()
    answers[killed[index]] = http_result(id)
    return answers[killed[index]]
  end)
  assert(answers[killed[index]].error, "a request in progress in a killed gateway process got a response")
  local again = request(gateways[2], "/draws", {["idempotency-key"] = "key-" .. index})
  table.insert(keyed[index], again)
  finish{again}
  assert(answers[again].status == 409, "another gateway process accepted the key")
end

-- Compares the responses with the run logs of the backend servers.
local runs, kinds = f:runs_by_test_id(), {}
for id, request_sent in pairs(sent) do
  local ran = runs[id] or 0
  local run, reason = fleet.outcome(answers[id])
  if reason then kinds[reason] = (kinds[reason] or 0) + 1 end
  if request_sent.url:find("/draws", 1, true) then
    assert(ran <= 1, id .. " ran " .. ran .. " times")
  end
  if run == "not-run" then assert(ran == 0, id .. " ran, but was reported as not run: " .. reason) end
  if run == "ran" and answers[id].status == 200 then
    assert(ran == 1 and answers[id].body == request_sent.body,
           id .. " got a response that is not its own or truncated")
  end
end
for index, ids in pairs(keyed) do
  local total = 0
  for _, id in ipairs(ids) do total = total + (runs[id] or 0) end
  assert(total == 1, "key-" .. index .. " ran " .. total .. " times")
end
for _, kind in ipairs{"answered", "cut", "mismatch", "timeout", "duplicate-key"} do
  assert(kinds[kind], "no request ended as " .. kind)
end
