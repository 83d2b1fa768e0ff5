-- Answers arrive late and out of order: one engine is slow, another crashes,
-- messages between the nodes get lost, and payments are sent again through other
-- nodes. Each caller receives the whole answer to its own request.
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
load{class="pay", account="abay", target="seats", rate=10, output=1, timeout="150ms", retries=6, from="20s"}
at("25s", slow{"engine-2", factor=4, lasts="20s"}, lose{factor=0.2, lasts="20s"})
at("35s", crash{"engine-3"})
at("30s", slow{"seats-1", factor=10, lasts="10s"})
run("70s")
expect{"mixed", at_most=0}
expect{"doubled", at_most=0}
expect{"served", class="buyer", at_least=1000}
