-- Services refuse connections, die in the middle of a call, and turn callers
-- away while they restart; nodes are cut off and one is killed. Whoever hears
-- "not run" may send the call again: nothing of it ran, and nothing of it runs
-- later.
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
load{class="pay", account="abay", target="seats", rate=15, output=1, retries=6, from="15s"}
at("25s", crash{"seats-1"})
at("28s", crash{"seats-2"}, cut{node="node-2", lasts="8s"})
at("31s", crash{"seats-3"})
at("35s", kill{node="node-4", lasts="10s"})
at("45s", pause{node="node-1", lasts="6s"})
run("70s")
expect{"false_not_run", at_most=0}
expect{"doubled", at_most=0}
expect{"served", class="pay", from="15s", at_least=800}
