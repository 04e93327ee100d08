-- Command-line validation of both programs. An invalid setting is reported with
-- the expected and the found value, before the program listens or connects, and with
-- exit code 2. The documentation must list every flag.
local fleet = require("fleet")

local KEY = DIR .. "/desk"
local VALID = {id = "e", listen = "127.0.0.1:0", rpc = "127.0.0.1:0", platform = "127.0.0.1:1",
              ["operator-key"] = KEY .. ".public.pem"}
assert(run{"sassafrasctl", "keygen", KEY, log = DIR .. "/keygen.log"} == 0)
assert(run{"sassafrasctl", "keygen", KEY, log = DIR .. "/keygen.log"} == 6, "keygen overwrites an existing key")

-- Runs a program; returns its exit code, standard output and standard error.
local runs = 0
local function run_logged(argv)
  runs = runs + 1
  argv.log = DIR .. "/try-" .. runs .. ".log"
  local code, out = run(argv)
  return code, out, fleet.read(argv.log)
end

local function daemon_argv(changes, extra)
  local argv = {"sassafrascartd", "--check-config"}
  for name, value in pairs(setmetatable(changes, nil)) do
    if value ~= "" then table.insert(argv, "--" .. name .. "=" .. value) end
  end
  for name, value in pairs(VALID) do
    if not changes[name] then table.insert(argv, "--" .. name .. "=" .. value) end
  end
  table.insert(argv, extra)
  return argv
end

local code, out, err = run_logged(daemon_argv({}))
assert(code == 0 and out == "the settings are valid\n", err)
for _, case in ipairs{
  {{listen = ""}, "--listen: expected a value from the flag or from SASSAFRASCART_LISTEN, found none"},
  {{listen = "here"}, "--listen: expected an address as IPv4:PORT, found 'here'"},
  {{listen = "0.0.0.0:80"}, "--listen: expected the address of this VM, found 0.0.0.0"},
  {{platform = "127.0.0.1:0"}, "--platform: expected a port from 1 to 65535, found 0"},
  {{["platform-adapter"] = "zk"}, "--platform-adapter: expected the name of an adapter, found 'zk'"},
  {{["operator-key"] = ""}, "--operator-key: expected at least one file, found none"},
  {{["operator-key"] = "/none.pem"}, "found '/none.pem': A file or socket operation failed."},
  {{["operator-key"] = KEY .. ".private.pem"}, "desk.private.pem': The input cannot be parsed."},
  {{["signatures-required"] = "2"}, "--signatures-required: expected at most the number of different keys, found 2"},
  {{["signatures-required"] = "0"}, "--signatures-required: expected a whole number from 1 to 16, found '0'"},
  {{peer = "127.0.0.1"}, "--peer: expected an address as IPv4:PORT, found '127.0.0.1'"},
  {{id = "a/b"}, "--id: expected 1 to 63 letters"},
  {{id = ("x"):rep(64)}, "--id: expected 1 to 63 letters"},
  {{["log-level"] = "loud"}, "--log-level: expected error, warning, info or debug, found 'loud'"},
  {{["drain-ms"] = "soon"}, "--drain-ms: expected a whole number from 0 to 3600000, found 'soon'"},
  {{["leave-grace-ms"] = "-1"}, "--leave-grace-ms: expected a whole number"},
} do
  code, out, err = run_logged(daemon_argv(case[1]))
  assert(code == 2 and err:find(case[2], 1, true), case[2] .. "\nfound: " .. code .. " " .. err)
end
code, out, err = run_logged(daemon_argv({}, "surplus"))
assert(code == 2 and err:find("found 'surplus'", 1, true), err)

for _, program in ipairs{"sassafrascartd", "sassafrasctl"} do
  code, out = run_logged{program, "--version"}
  assert(code == 0 and out:match("^" .. program .. " %d+%.%d+%.%d+\n$"), out)
  code, out = run_logged{program, "--help"}
  assert(code == 0 and out:find("--platform", 1, true), out)
  code, out, err = run_logged{program, "--unknown"}
  assert(code == 2 and err:find("--unknown", 1, true), err)
end
for _, words in ipairs{{}, {"role"}, {"roll"}, {"roll", "1", "2"}, {"roll", "x"}, {"roll", "0"}, {"bundle"},
                       {"bundle", "sign", "x"}, {"--output", "xml", "status"}} do
  local argv = {"sassafrasctl", table.unpack(words)}
  code, out, err = run_logged(argv)
  assert(code == 2 and err:find("expected", 1, true), table.concat(words, " ") .. ": " .. code .. err)
end

-- Every error in a bundle file is reported with file, line and field.
local file = DIR .. "/bad.yaml"
fleet.write(file, "version: 0\nname: x\nvms: []\npools: []\nroutes: []\nwaves: []\ncost_weights: {}\n")
code, out, err = run_logged{"sassafrasctl", "bundle", "check", file}
assert(code == 3 and err:find(file .. ":1: version: expected a whole number from 1", 1, true)
       and err:find(file .. ":7: cost_weights.moves: expected this field, found none", 1, true), err)
code, out, err = run_logged{"sassafrasctl", "bundle", "sign", file, "--key", KEY .. ".private.pem", "--out", DIR .. "/bad.signed"}
assert(code == 3 and fleet.read(DIR .. "/bad.signed") == "", "an invalid bundle was signed")

-- The operators' documentation lists every flag of both programs.
local page = fleet.read(package.path:match("^(.-)/%?%.lua") .. "/../../docs/OPERATIONS.md")
for _, program in ipairs{"sassafrascartd", "sassafrasctl"} do
  local _, help = run_logged{program, "--help"}
  local section = page:match("### " .. program .. "\n(.-)\n##")
  for flag in help:gmatch("\n  (%-%-[%w-]+)") do
    assert(section:find("`" .. flag, 1, true), "docs/OPERATIONS.md lacks " .. flag .. " of " .. program)
  end
end
