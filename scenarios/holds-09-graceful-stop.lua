-- The nodes are upgraded one after another, by day. Each leaves, ends the calls
-- it has, stops and comes back. No answer breaks off; callers that still hold
-- its address turn to the next one.
fleet{nodes=7, zones={"bole", "kality", "yeka"}}
endpoints{name="engine", count=6, serves="chat", bears=16, cold_bears=4}
endpoints{name="seats", count=3, serves="seats", service=true, bears=16, cold_bears=8}
class{name="buyer", tier=1, first_token="800ms", max_wait="2s"}
class{name="pay", tier=1, first_token="1s", max_wait="3s", repeatable=false}
class{name="bulk", tier=5, first_token="20s", max_wait="90s"}
account{name="abay", classes={"buyer", "pay", "bulk"}}
account{name="broker", classes={"bulk"}}
load{class="buyer", account="abay", target="chat", rate=20, output=60, retries=3}
load{class="pay", account="abay", target="seats", rate=5, output=1, retries=4}
load{class="bulk", account="abay", target="chat", rate=3, output=200}
at("25s", leave{node="node-1"})
at("45s", back{node="node-1"}, leave{node="node-2"})
at("65s", back{node="node-2"}, leave{node="node-3"})
run("100s")
expect{"cut_by_leave", at_most=0}
expect{"unknown", at_most=0}
expect{"attainment", class="buyer", from="22s", at_least=0.95}
