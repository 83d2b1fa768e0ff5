-- The configuration service is down for a minute and a half, with a node that
-- starts meanwhile. Callers notice nothing; the new node learns the rules from
-- its peers.
fleet{nodes=7, zones={"bole", "kality", "yeka"}}
endpoints{name="engine", count=6, serves="chat", bears=16, cold_bears=4}
endpoints{name="seats", count=3, serves="seats", service=true, bears=16, cold_bears=8}
class{name="buyer", tier=1, first_token="800ms", max_wait="2s"}
class{name="pay", tier=1, first_token="1s", max_wait="3s", repeatable=false}
class{name="bulk", tier=5, first_token="20s", max_wait="90s"}
account{name="abay", classes={"buyer", "pay", "bulk"}}
account{name="broker", classes={"bulk"}}
load{class="buyer", account="abay", target="chat", rate=20, output=60, retries=2}
load{class="pay", account="abay", target="seats", rate=5, output=1, retries=4}
load{class="bulk", account="abay", target="chat", rate=3, output=200}
at("25s", platform{fault="down", lasts="90s"})
at("35s", restart{node="node-2"})
run("130s")
expect{"attainment", class="buyer", from="22s", at_least=0.95}
expect{"rules_spread_ms", at_most=9000}
