-- Guarantee P8: only a properly signed roll with a greater number changes the bundle
-- that is in force. Injects forged envelopes and heads into the store, stale and
-- malformed heads, and a delayed heartbeat of a peer with an older roll.
local fleet = require("fleet")
local rolls = require("rolls")

local HEAD = rolls.HEAD
local BUNDLE = "/sassafrascart/bundle/"

local f = rolls.fleet()
local socket, port = udp_open()
local gateways = {f:add_gateway("entry-1", {"--peer", "127.0.0.1:" .. port}), f:add_gateway("entry-2")}

local function put(key, value) rolls.write_key(f, key, value) end

local function wait_metric(gateway, name, more_than)
  fleet.wait_until(gateway.name .. " counts " .. name, 10000, function()
    return rolls.metric(gateway, name) > more_than
  end)
end

f:must_ctl("roll", 1)
rolls.wait_in_force(f, gateways, 1, 10000)
-- Captures a heartbeat of entry-1 with roll 1, to deliver it late.
local late_heartbeat = fleet.wait_until("a heartbeat with roll 1 is received", 10000, function()
  local bytes, last = udp_receive(socket), nil
  while bytes do
    if bytes:find(string.pack(">I8I8I4", 1, 1, 64), 1, true) then last = bytes end
    bytes = udp_receive(socket)
  end
  return last
end)

f:must_ctl("roll", 2)
rolls.wait_in_force(f, gateways, 2, 10000)
rolls.check_answers(f, gateways, 2, "after roll 2")
local genuine_head = rolls.read_key(f, HEAD)

local stale = rolls.metric(gateways[2], "heads_stale_total")
udp_send(socket, gateways[2].rpc, late_heartbeat)
wait_metric(gateways[2], "heads_stale_total", stale)

local old_head = genuine_head:gsub('"roll":2', '"roll":1'):gsub('"version":2', '"version":1')
for _, case in ipairs{{"heads_stale_total", old_head}, {"heads_malformed_total", '{"roll":-3}'}} do
  local name, value = table.unpack(case)
  local before = {rolls.metric(gateways[1], name), rolls.metric(gateways[2], name)}
  put(HEAD, value)
  for index, gateway in ipairs(gateways) do wait_metric(gateway, name, before[index]) end
  rolls.check_answers(f, gateways, 2, "after a bad head in " .. name)
end

-- Creates a signed envelope of a new version, altered by `change`; returns it with
-- the digest that the forged head must contain.
local function envelope_create(version, key, change)
  local file = DIR .. "/forged-" .. version
  local text = f:bundle_text(version, rolls.POOLS, {{path = "/draws", pool = "one", idempotent = "no"}})
  fleet.write(file .. ".yaml", text)
  f:must_ctl("bundle", "sign", file .. ".yaml", "--key", key .. ".private.pem", "--out", file .. ".signed")
  fleet.write(file .. ".yaml", change and text:gsub(table.unpack(change)) or text)
  local digest = f:must_ctl("bundle", "check", file .. ".yaml").message:match("digest (%x+)")
  local signed = fleet.read(file .. ".signed")
  return change and signed:gsub(table.unpack(change)) or signed, digest
end

-- Envelopes: signed by an unknown key, altered, unsigned, of another version, not
-- JSON. Each with the expected exit code of sassafrasctl.
local trusted_key, other_key = DIR .. "/desk", DIR .. "/other"
f:ctl("keygen", other_key)
local forged = {
  {"wrong key", 9, envelope_create(91, other_key)},
  {"changed text", 9, envelope_create(92, trusted_key, {"deadline_ms: 5000", "deadline_ms: 5001"})},
  {"no signature", 9, envelope_create(93, trusted_key)},
  {"other version", 4, envelope_create(95, trusted_key)},
  {"no JSON", 4, "roll me", ("0"):rep(64)},
}
forged[3][3] = forged[3][3]:gsub('"signatures":%[.-%]', '"signatures":[]')
for index, case in ipairs(forged) do
  local name, expected, text, digest = table.unpack(case)
  local number, version = 10 + index, 90 + index
  put(BUNDLE .. version, text)
  local code = f:ctl("roll", version)
  assert(code == expected, name .. ": unexpected exit code of roll: " .. code)
  local file = DIR .. "/forged.signed"
  fleet.write(file, text)
  assert(name == "other version" or f:ctl("bundle", "publish", file) == expected,
         name .. ": unexpected exit code of publish")
  local before = {rolls.metric(gateways[1], "bundles_refused_total"), rolls.metric(gateways[2], "bundles_refused_total")}
  put(HEAD, (genuine_head:gsub('"roll":2', '"roll":' .. number):gsub('"version":2', '"version":' .. version)
              :gsub('"digest":"%x+"', '"digest":"' .. digest .. '"')))
  for at, gateway in ipairs(gateways) do
    wait_metric(gateway, "bundles_refused_total", before[at])
    assert(rolls.applied_roll(f, gateway) == 2, name .. ": the bundle in force changed")
  end
  rolls.check_answers(f, gateways, 2, "with " .. name .. " in the store")
end
assert(fleet.read(DIR .. "/entry-1.log"):find("bundle_refused", 1, true), "the refusal is not logged")

-- A genuine roll after the forged ones comes into force.
f:must_ctl("roll", 1)
rolls.wait_in_force(f, gateways, 16, 10000)
rolls.check_answers(f, gateways, 1, "after the genuine roll")
