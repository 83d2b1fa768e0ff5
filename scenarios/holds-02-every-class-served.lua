-- Buyers alone ask for more than all engines bear, for minutes. Trace summaries
-- would wait for ever behind them; instead a bounded trickle of them is served,
-- and whoever sent one gets it in the end.
fleet{nodes=7, starvation="60s", zones={"bole", "kality", "yeka"}}
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
load{class="buyer", account="abay", target="chat", rate=90, output=60, from="20s", to="170s"}
run("180s")
expect{"served", class="bulk", from="30s", to="150s", at_least=20}
expect{"served", class="buyer", from="30s", to="150s", at_least=5000}
