-- Guarantee P8: the platform's store is restored from an older backup, so that its
-- head is older than the roll in force. No process reverts, and the next roll gets a
-- number above that of any process, so that it comes into force.
local fleet = require("fleet")
local rolls = require("rolls")

local f = rolls.fleet()
local gateways = {f:add_gateway("entry-1"), f:add_gateway("entry-2"), f:add_gateway("entry-3")}
f:must_ctl("roll", 1)
local old_head = rolls.read_key(f, rolls.HEAD)
f:must_ctl("roll", 2)
f:must_ctl("roll", 1)
f:must_ctl("roll", 2)
rolls.wait_in_force(f, gateways, 4, 10000)
rolls.check_answers(f, gateways, 2, "before the loss")

rolls.write_key(f, rolls.HEAD, old_head)
fleet.wait_until("all processes read the old head", 10000, function()
  local all = true
  for _, gateway in ipairs(gateways) do all = all and rolls.metric(gateway, "heads_stale_total") > 0 end
  return all
end)
rolls.check_answers(f, gateways, 2, "with the old head in the store")

local report = f:must_ctl("roll", 1)
assert(report.roll == 5, "the number is not above all earlier ones: " .. report.roll)
rolls.wait_in_force(f, gateways, 5, 10000)
rolls.check_answers(f, gateways, 1, "after the next roll")
