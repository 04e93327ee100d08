-- What the scenarios of shared slots have in common: a pool of two VMs whose
-- entries agree on the owner of its slots.
local fleet = require("fleet")

local slots = {}

function slots.metric(entry, name)
  local text = fleet.http{url = fleet.url(entry.port, "/metrics"), timeout_ms = 1000}.body
  return tonumber(text:match("\nsassafrascart_" .. name:gsub("%p", "%%%0") .. " (%d+)")) or 0
end

-- Creates a fleet and its entries; each entry has heard of all others, so that
-- all agree on one owner.
function slots.fleet(entry_count)
  local f = fleet.new{backends = {
    {name = "vm-a", zone = "z1", rack = "r1"},
    {name = "vm-b", zone = "z2", rack = "r2"},
  }}
  local entries = {}
  for index = 1, entry_count do entries[index] = f:add_entry("entry-" .. index) end
  f:publish(1, {{name = "draws", vms = {"vm-a", "vm-b"}, queue = 500, wait_ms = 20000}},
            {{path = "/draws", pool = "draws", idempotent = "no", deadline_ms = 20000}})
  f:must_ctl("roll", 1)
  for _, entry in ipairs(entries) do f:wait_serving(entry) end
  for _, entry in ipairs(entries) do
    fleet.wait_until(entry.name .. " hears its peers", 15000, function()
      return slots.metric(entry, "peers_live") == entry_count
    end)
  end
  return f, entries
end

return slots
