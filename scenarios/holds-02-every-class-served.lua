-- Buyers alone ask for more than all engines bear, for minutes, so that some of
-- them wait at every node at any time. Trace summaries would wait for ever behind
-- them; instead a bounded trickle of them is served.
fleet{nodes=7, starvation="60s", zones={"bole", "kality", "yeka"}}
endpoints{name="engine", count=6, serves="chat", bears=16, cold_bears=4}
endpoints{name="seats", count=3, serves="seats", service=true, bears=16, cold_bears=8}
class{name="buyer", tier=1, first_token="5s", max_wait="8s"}
class{name="pay", tier=1, first_token="1s", max_wait="3s", repeatable=false}
class{name="bulk", tier=5, first_token="20s", max_wait="90s"}
account{name="abay", classes={"buyer", "pay", "bulk"}}
account{name="broker", classes={"bulk"}}
load{class="buyer", account="abay", target="chat", rate=20, output=60}
load{class="pay", account="abay", target="seats", rate=5, output=1, retries=4}
load{class="bulk", account="abay", target="chat", rate=3, output=200}
load{class="buyer", account="abay", target="chat", rate=250, output=60, callers=200, from="20s", to="170s"}
run("180s")
expect{"served", class="bulk", from="30s", to="70s", at_least=15}
expect{"served", class="buyer", from="30s", to="150s", at_least=5000}
