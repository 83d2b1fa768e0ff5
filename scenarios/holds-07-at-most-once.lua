-- Phones lose their connections and send payments again, to other nodes, while
-- the fleet is split and nodes stand still. A payment runs at most once. Callers
-- may hear "unknown" during the split; then they ask with the same lane and key.
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
load{class="pay", account="abay", target="seats", rate=15, output=1, timeout="300ms", retries=8, from="15s"}
at("25s", cut{nodes={"node-1", "node-2", "node-3"}, lasts="15s"})
at("30s", pause{node="node-5", lasts="7s"}, slow{"seats-1", factor=20, lasts="10s"})
at("45s", restart{node="node-6"})
run("80s")
expect{"doubled", at_most=0}
expect{"served", class="pay", from="15s", at_least=850}
