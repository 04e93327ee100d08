-- Faults of the stand-in that name a process act on what that process sees of the platform:
-- its calls to the store, its leases and its links to workers.
local fleet = require("fleet")
local jobfleet = require("jobfleet")

local FIRST, SECOND = 1, 2
local UNANSWERED_MS = 500
local STORE_OK, STORE_UNAVAILABLE, STORE_SILENT = 0, 1, 2
local VALUE = "eA=="

local platform = jobfleet.new(SEED, nil, {pools = 1, vms_per_pool = 2, spare_vms = 0, processes = 2})

-- Sends a call by the port of a process; returns the status, 0 without an answer, and the body.
local function call(process, method, path, body, headers)
  local answer = fleet.http{method = method, url = fleet.url(platform.process_ports[process], path),
                            body = body, headers = headers, timeout_ms = UNANSWERED_MS, fresh = 1}
  return answer.status, answer.body
end

local function read_status(process, key) return (call(process, "GET", "/-/kv-key?key=" .. key)) end

local function poll_status(process, vm)
  return (call(process, "POST", "/-/hold", '{"until_ms":0,"fence":1,"acked_upto":0,"wait_ms":0}',
               {["x-sassafrascart-expect-instance"] = "w-" .. vm .. "-1"}))
end

-- Checks a status that the first and the second process get.
local function check(what, get, argument, first, second)
  local got = {get(FIRST, argument), get(SECOND, argument)}
  assert(got[1] == first and got[2] == second,
         string.format("%s: status %d and %d, expected %d and %d", what, got[1], got[2], first, second))
end

for process = FIRST, SECOND do
  local status, body = call(process, "POST", "/-/kv-lease", '{"ttl_ms":60000}')
  assert(status == 200, "no lease is granted")
  status = call(process, "POST", "/-/kv-txn", string.format(
    '{"puts":[{"key":"key-%d","value":"%s","lease":%d}]}', process, VALUE, json(body).lease))
  assert(status == 200, "the key is not written")
end
platform:fault("revoke", 0, 0, FIRST)
check("key of a process whose leases are revoked", read_status, "key-1", 404, 404)
check("key of another process", read_status, "key-2", 200, 200)

for _, case in ipairs{{STORE_UNAVAILABLE, 503}, {STORE_SILENT, 0}, {STORE_OK, 200}} do
  platform:fault("store", 0, case[1], FIRST)
  check("store in mode " .. case[1], read_status, "key-2", case[2], 200)
end

for _, case in ipairs{{"cut", 0, 200}, {"cut_others", 200, 0}} do
  platform:fault(case[1], 0, 1, FIRST)
  check(case[1], poll_status, 0, case[2], case[3])
  check(case[1] .. " of another VM", poll_status, 1, 200, 200)
  platform:fault(case[1], 0, 0, FIRST)
  check(case[1] .. " has ended", poll_status, 0, 200, 200)
end
