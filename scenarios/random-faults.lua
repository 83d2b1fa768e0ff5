-- Whatever can fail does, together and twice, as the seed draws it: engines,
-- nodes, wires, the platform, bursts, poison, zones that go out. Callers may be
-- turned away and may hear "unknown"; what must always hold still does. Other
-- storms: --seed N.
fleet{nodes=7, zones={"bole", "kality", "yeka"}}
endpoints{name="engine", count=6, serves="chat", bears=16, cold_bears=4}
endpoints{name="seats", count=3, serves="seats", service=true, bears=16, cold_bears=8}
class{name="buyer", tier=1, first_token="800ms", max_wait="2s"}
class{name="pay", tier=1, first_token="1s", max_wait="3s", repeatable=false}
class{name="bulk", tier=5, first_token="20s", max_wait="90s"}
account{name="abay", classes={"buyer", "pay", "bulk"}}
account{name="broker", classes={"bulk"}}
load{class="buyer", account="abay", target="chat", rate=20, output=60}
load{class="pay", account="abay", target="seats", rate=5, output=1, retries=4}
load{class="bulk", account="abay", target="chat", rate=3, output=200}
load{class="pay", account="abay", target="seats", rate=10, output=1, timeout="400ms", retries=8, from="15s"}

-- The numbers of Park and Miller, since Lua's own differ from run to run.
local state = seed * 7919 % 2147483647
local function below(n)
  state = state * 16807 % 2147483647
  return state // 7 % n
end
local function span(least, most) return (least + below(most - least)) .. "s" end
local function endpoint() return below(3) == 0 and "seats-" .. below(3) + 1 or "engine-" .. below(6) + 1 end
local function node() return "node-" .. below(7) + 1 end

local faults = {
  function() return slow{endpoint(), factor=4 + below(60), lasts=span(2, 20)} end,
  function() return crash{endpoint()} end,
  function() return cold{"engine-" .. below(6) + 1} end,
  function() return lag{endpoint(), lasts=span(2, 20)} end,
  function() return cut{node(), lasts=span(2, 20)} end,
  function() return cut{nodes={node(), node(), node()}, lasts=span(2, 20)} end,
  function() return lose{factor=0.1 + 0.1 * below(3), lasts=span(2, 20)} end,
  function() return pause{node(), lasts=span(2, 20)} end,
  function() return kill{node(), lasts=span(2, 20)} end,
  function() return leave{endpoint()} end,
  function() return leave{node()} end,
  function() return platform{fault=({"down", "stale", "old", "slow"})[below(4) + 1], lasts=span(2, 20)} end,
  function() return deploy{} end,
  function() return burst{class="bulk", account="broker", target="chat", rate=50 + below(100), output=120, lasts=span(2, 20)} end,
  function() return burst{class="bulk", account="broker", target="chat", rate=0.5, output=100, poison=true, retries=3, lasts=span(2, 20)} end,
  function() return zone_out{({"bole", "kality", "yeka"})[below(3) + 1], lasts=span(8, 25)} end,
}
for _ = 1, 4 + below(7) do
  at(span(18, 60), faults[below(#faults) + 1]())
end
run("80s")
expect{"doubled", at_most=0}
expect{"false_not_run", at_most=0}
