-- Operators take a zone out for maintenance, at short notice, and bring it back
-- a minute later. Answers in progress there end in their own time; new calls go
-- to the other zones, and callers notice nothing.
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
at("30s", zone_out{"bole", lasts="40s"})
run("100s")
expect{"new_work", zone="bole", from="35s", to="70s", at_most=0}
expect{"attainment", class="buyer", from="25s", at_least=0.95}
expect{"new_work", zone="bole", from="90s", to="100s", at_least=10}
expect{"unknown", at_most=0}
