-- Two nodes stand still for eight seconds under a batch, with calls queued and
-- placed. Meanwhile a zone goes out. When they wake up they send nothing into it,
-- and some seconds later they serve as before.
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
at("25s", burst{class="bulk", account="broker", target="chat", rate=100, output=120, lasts="20s"})
at("30s", pause{nodes={"node-1", "node-4"}, lasts="8s"})
at("31s", zone_out{"bole"})
run("70s")
expect{"new_work", zone="bole", from="36s", at_most=0}
expect{"doubled", at_most=0}
expect{"attainment", class="buyer", from="50s", at_least=0.97}
