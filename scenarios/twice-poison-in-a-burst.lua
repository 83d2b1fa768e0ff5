-- A poison request hides in a batch that fills the engines. Those who send the
-- rest of the batch lose a few answers; buyers lose hardly any.
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
at("30s", burst{class="bulk", account="broker", target="chat", rate=80, output=120, lasts="30s"})
at("35s", burst{class="bulk", account="broker", target="chat", rate=0.4, output=100, poison=true, retries=3, lasts="20s"})
run("90s")
expect{"deaths", at_most=6}
expect{"attainment", class="buyer", from="25s", at_least=0.85}
