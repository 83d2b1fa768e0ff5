-- One engine of six becomes forty times as slow and says nothing of it. Callers
-- whose calls are there wait; new calls go elsewhere within seconds.
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
at("30s", slow{"engine-1", factor=40, lasts="30s"})
run("80s")
expect{"attainment", class="buyer", from="25s", at_least=0.95}
