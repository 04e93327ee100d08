-- P8: nothing but a greater, properly signed roll changes what is in force:
-- forged envelopes and heads in the store, a head that is older or malformed,
-- and a late message of a peer with an older roll.
local fleet = require("fleet")
local rolls = require("rolls")

local PULSE = rolls.HEAD
local BUNDLE = "/sassafrascart/bundle/"

local f = rolls.fleet()
local socket, port = udp_open()
local entries = {f:add_entry("entry-1", {"--peer", "127.0.0.1:" .. port}), f:add_entry("entry-2")}

local function put(key, value) rolls.put(f, key, value) end

local function wait_metric(entry, name, more_than)
  fleet.wait_until(entry.name .. " counts " .. name, 10000, function()
    return rolls.metric(entry, name) > more_than
  end)
end

f:must_ctl("roll", 1)
rolls.wait_in_force(f, entries, 1, 10000)
-- A heartbeat of entry-1 with roll 1, kept to be delivered late.
local late = fleet.wait_until("a heartbeat with roll 1", 10000, function()
  local bytes, last = udp_receive(socket), nil
  while bytes do
    if bytes:find(string.pack(">I8I8I4", 1, 1, 64), 1, true) then last = bytes end
    bytes = udp_receive(socket)
  end
  return last
end)

f:must_ctl("roll", 2)
rolls.wait_in_force(f, entries, 2, 10000)
rolls.check_answers(f, entries, 2, "after roll 2")
local genuine_head = rolls.stored(f, PULSE)

local stale = rolls.metric(entries[2], "heads_stale_total")
udp_send(socket, entries[2].rpc, late)
wait_metric(entries[2], "heads_stale_total", stale)

local old_head = genuine_head:gsub('"roll":2', '"roll":1'):gsub('"version":2', '"version":1')
for _, case in ipairs{{"heads_stale_total", old_head}, {"heads_malformed_total", '{"roll":-3}'}} do
  local name, value = table.unpack(case)
  local before = {rolls.metric(entries[1], name), rolls.metric(entries[2], name)}
  put(PULSE, value)
  for index, entry in ipairs(entries) do wait_metric(entry, name, before[index]) end
  rolls.check_answers(f, entries, 2, "after a bad head in " .. name)
end

-- Makes an envelope of a new version whose digest the forged head can name.
local function envelope_make(version, key, change)
  local file = DIR .. "/forged-" .. version
  local text = f:bundle_text(version, rolls.POOLS, {{path = "/draws", pool = "one", idempotent = "no"}})
  fleet.write(file .. ".yaml", text)
  f:must_ctl("bundle", "sign", file .. ".yaml", "--key", key .. ".private.pem", "--out", file .. ".signed")
  fleet.write(file .. ".yaml", change and text:gsub(table.unpack(change)) or text)
  local digest = f:must_ctl("bundle", "check", file .. ".yaml").message:match("digest (%x+)")
  local signed = fleet.read(file .. ".signed")
  return change and signed:gsub(table.unpack(change)) or signed, digest
end

-- Envelopes: of another key, changed, unsigned, of another version, no JSON.
local desk, other = DIR .. "/desk", DIR .. "/other"
f:ctl("keygen", other)
local forged = {
  {"wrong key", 9, envelope_make(91, other)},
  {"changed text", 9, envelope_make(92, desk, {"deadline_ms: 5000", "deadline_ms: 5001"})},
  {"no signature", 9, envelope_make(93, desk)},
  {"other version", 4, envelope_make(95, desk)},
  {"no JSON", 4, "roll me", ("0"):rep(64)},
}
forged[3][3] = forged[3][3]:gsub('"signatures":%[.-%]', '"signatures":[]')
for index, case in ipairs(forged) do
  local name, expected, text, digest = table.unpack(case)
  local number, version = 10 + index, 90 + index
  put(BUNDLE .. version, text)
  local code = f:ctl("roll", version)
  assert(code == expected, name .. ": the desk refuses to roll it: " .. code)
  local file = DIR .. "/forged.signed"
  fleet.write(file, text)
  assert(name == "other version" or f:ctl("bundle", "publish", file) == expected,
         name .. ": the desk refuses to publish it")
  local before = {rolls.metric(entries[1], "bundles_refused_total"), rolls.metric(entries[2], "bundles_refused_total")}
  put(PULSE, (genuine_head:gsub('"roll":2', '"roll":' .. number):gsub('"version":2', '"version":' .. version)
              :gsub('"digest":"%x+"', '"digest":"' .. digest .. '"')))
  for at, entry in ipairs(entries) do
    wait_metric(entry, "bundles_refused_total", before[at])
    assert(rolls.applied(f, entry) == 2, name .. ": the old bundle stays in force")
  end
  rolls.check_answers(f, entries, 2, "with " .. name .. " in the store")
end
assert(fleet.read(DIR .. "/entry-1.log"):find("bundle_refused", 1, true), "the refusal is logged")

-- A genuine roll on top of the forged ones is in force at once.
f:must_ctl("roll", 1)
rolls.wait_in_force(f, entries, 16, 10000)
rolls.check_answers(f, entries, 1, "after the genuine roll")
