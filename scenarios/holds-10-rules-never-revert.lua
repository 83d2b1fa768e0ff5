-- Operators publish new rules every few seconds while the configuration service
-- goes down, serves what is stale and then its oldest version, and a node
-- restarts in the middle. What was accepted once stays in force everywhere.
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
at("20s", deploy{})
at("22s", platform{fault="stale", lasts="20s"})
at("30s", restart{node="node-3"})
at("45s", deploy{})
at("48s", platform{fault="old", lasts="15s"})
at("50s", restart{node="node-5"})
at("70s", deploy{})
at("71s", platform{fault="down", lasts="15s"})
at("75s", restart{node="node-1"})
run("100s")
expect{"rules_spread_ms", at_most=9000}
