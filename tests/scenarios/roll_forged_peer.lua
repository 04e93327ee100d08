-- Guarantee P8: a malicious process that speaks the peer protocol announces a
-- greater roll and serves a bundle signed by an untrusted key. Gateway processes
-- must refuse the bundle, and apply the next genuine roll although its number is
-- smaller.
local fleet = require("fleet")
local rolls = require("rolls")

local PROGRAM, FETCH = 0x20005AFA, 2

local f = rolls.fleet()
local socket, port = udp_open()
local silent = rolls.silent_platform()
local gateways = {f:add_gateway("entry-1", {"--peer", "127.0.0.1:" .. port})}
gateways[2] = f:add_gateway("entry-2", rolls.silent_flags(silent, gateways[1]))
table.insert(gateways, f:add_gateway("entry-3"))
f:must_ctl("roll", 1)
rolls.wait_in_force(f, gateways, 1, 10000)
rolls.check_answers(f, gateways, 1, "after roll 1")

local function xdr_string(text)
  return string.pack(">I4", #text) .. text .. ("\0"):rep(-#text % 4)
end

-- Rewrites a heartbeat so that it comes from "mallory" and has another head.
local function heartbeat(genuine, roll, version, digest)
  local header = genuine:sub(1, 40)
  local at = 41
  local length = string.unpack(">I4", genuine, at)
  at = at + 4 + length + -length % 4
  length = string.unpack(">I4", genuine, at)
  at = at + 4 + length + -length % 4
  -- http_port, rpc_port and incarnation are followed by roll and version
  local rest = at + 16 + 16
  length = string.unpack(">I4", genuine, rest)
  rest = rest + 4 + length + -length % 4
  -- the digest is followed by the placement number and the applied roll
  return header .. xdr_string("mallory") .. xdr_string("127.0.0.1")
         .. string.pack(">I4I4I8", 1, port, 1) .. string.pack(">I8I8", roll, version)
         .. xdr_string(digest) .. genuine:sub(rest, rest + 7) .. string.pack(">I8", roll)
         .. genuine:sub(rest + 16)
end

-- Builds the reply to a FETCH call, which asks for a part of a document; nil for
-- other messages.
local function fetch_reply(call, text)
  if #call < 56 then return end
  local xid, direction, _, program, _, procedure = string.unpack(">I4I4I4I4I4I4", call)
  if direction ~= 0 or program ~= PROGRAM or procedure ~= FETCH then return end
  local offset = string.unpack(">I4", call, 53)
  local part = text:sub(offset + 1, offset + 8192)
  return string.pack(">I4I4I4I4I4I4", xid, 1, 0, 0, 0, 0)
         .. string.pack(">I4I4", #text, offset) .. xdr_string(part)
end

local genuine = fleet.wait_until("a heartbeat is received", 10000, function()
  local bytes = udp_receive(socket)
  return bytes and #bytes > 150 and select(6, string.unpack(">I4I4I4I4I4I4", bytes)) == 1 and bytes
end)

-- Version 77, signed by a key that no process trusts.
f:ctl("keygen", DIR .. "/other")
local file = DIR .. "/bundle-77"
fleet.write(file .. ".yaml", f:bundle_text(77, rolls.POOLS, {{path = "/draws", pool = "two", idempotent = "no"}}))
f:must_ctl("bundle", "sign", file .. ".yaml", "--key", DIR .. "/other.private.pem", "--out", file .. ".signed")
local digest = f:must_ctl("bundle", "check", file .. ".yaml").message:match("digest (%x+)")
local forged = fleet.read(file .. ".signed")

for index, gateway in ipairs(gateways) do
  local before = rolls.metric(gateway, "bundles_refused_total")
  local sent_ms = 0
  fleet.wait_until(gateway.name .. " refuses the peer's bundle", 10000, function()
    if now_ms() - sent_ms > 1000 then
      udp_send(socket, gateway.rpc, heartbeat(genuine, 50, 77, digest))
      sent_ms = now_ms()
    end
    local call = udp_receive(socket)
    while call do
      local reply = fetch_reply(call, forged)
      if reply then
        for _, to in ipairs(gateways) do udp_send(socket, to.rpc, reply) end
      end
      call = udp_receive(socket)
    end
    return rolls.metric(gateway, "bundles_refused_total") > before
  end)
  assert(rolls.applied_roll(f, gateway) == 1, gateway.name .. " replaced roll 1")
end
rolls.check_answers(f, gateways, 1, "after the forged bundle")

f:must_ctl("roll", 2)
rolls.wait_in_force(f, gateways, 2, 10000)
rolls.check_answers(f, gateways, 2, "after the genuine roll")
