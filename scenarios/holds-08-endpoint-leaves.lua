-- An engine's VM is to be replaced: the rules say that it leaves. It gets no new
-- call a few seconds later, its answers end in their own time, and callers
-- notice nothing.
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
at("30s", leave{endpoint="engine-1"}, leave{endpoint="seats-1"})
at("60s", back{endpoint="engine-1"})
run("90s")
expect{"new_work", endpoint="engine-1", from="35s", to="59s", at_most=0}
expect{"new_work", endpoint="seats-1", from="35s", at_most=0}
expect{"new_work", endpoint="engine-1", from="70s", at_least=5}
expect{"unknown", at_most=0}
expect{"attainment", class="buyer", from="25s", at_least=0.97}
