-- End-to-end test: two backend servers, two gateway processes, a signed bundle
-- rolled by sassafrasctl. Requests through either process are answered completely by
-- the pool of their route.
local fleet = require("fleet")

local f = fleet.new{backends = {
  {name = "vm-a", zone = "z1", rack = "r1"},
  {name = "vm-b", zone = "z2", rack = "r2"},
}}
local gateways = {f:add_gateway("entry-1"), f:add_gateway("entry-2")}

local refused = fleet.http{method = "POST", url = fleet.url(gateways[1].port, "/draws"), body = "x"}
assert(refused.status == 503, "without a bundle: " .. refused.status)
assert(refused.headers["sassafrascart-outcome"] == "not-run; reason=no-bundle")

f:publish(1, {{name = "draws", vms = {"vm-a"}}, {name = "orders", vms = {"vm-b"}}},
          {{path = "/draws", pool = "draws", idempotent = "no"},
           {path = "/orders", pool = "orders"}})
local report = f:must_ctl("roll", 1)
assert(report.roll == 1 and report.in_force == 2, "the roll is not in force in both processes")

for index, gateway in ipairs(gateways) do
  f:wait_serving(gateway)
  for path, vm in pairs{["/draws"] = "vm-a", ["/orders/7"] = "vm-b"} do
    local body = "heat " .. index .. " of " .. path
    local answer = fleet.http{method = "POST", url = fleet.url(gateway.port, path), body = body,
                              headers = {["x-test-id"] = body}}
    assert(answer.status == 200, path .. ": " .. answer.status .. " " .. answer.body)
    assert(answer.body == body, "the response does not echo the request")
    assert(answer.headers["x-backend"] == vm, "the wrong pool answered")
    assert(answer.headers["sassafrascart-outcome"] == "ran; reason=answered")
  end
end

local http2 = fleet.http{method = "POST", url = fleet.url(gateways[1].port, "/draws"),
                         body = "over http/2", h2 = 1}
assert(http2.status == 200 and http2.body == "over http/2", "HTTP/2 with prior knowledge failed")
assert(fleet.http{url = fleet.url(gateways[1].port, "/nothing")}.status == 404)

for id, count in pairs(f:runs_by_test_id()) do
  assert(id == "" or count == 1, id .. " ran " .. count .. " times")
end

local code, explained = f:ctl("explain", "vm", "vm-a")
assert(code == 0 and explained.row[2] == "draws" and explained.row[5] == "fill",
       "the reason of the placement is not explained")
