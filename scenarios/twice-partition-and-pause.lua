-- The fleet splits, a node on one side stands still through it, and the split
-- heals and comes again. Payments run at most once, and endpoints get no more
-- than they bear.
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
at("25s", cut{nodes={"node-1", "node-2"}, lasts="10s"}, pause{node="node-3", lasts="12s"})
at("45s", cut{nodes={"node-4", "node-5", "node-6"}, lasts="10s"}, pause{node="node-1", lasts="5s"})
run("90s")
expect{"doubled", at_most=0}
expect{"false_not_run", at_most=0}
expect{"attainment", class="buyer", from="70s", at_least=0.95}
