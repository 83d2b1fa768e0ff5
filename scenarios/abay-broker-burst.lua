-- Abay's measure: brokers send batches of quotes and record checks while buyers
-- ask. A grounded aircraft waits for a buyer's answer; it must not wait longer
-- because of the brokers.
fleet{rules="../examples/01-abay/rules.ini"}
load{class="buyer-question", account="bole-line-maintenance", target="parts-chat", rate=20, output=60}
load{class="buyer-question", account="lake-tana-aviation", target="parts-chat", rate=8, output=60}
load{class="part-quote", account="simien-air-shop", target="parts-chat", rate=8, output=40}
load{class="purchase-order", account="bole-line-maintenance", target="orders", rate=3, output=1, retries=4}
load{class="availability-lookup", account="gondar-avionics", target="availability", rate=10, output=1}
load{class="trace-summary", account="jimma-air-services", target="trace", rate=2, output=400, prompt=2000}
at("30s", burst{class="part-quote", account="axum-brokers", target="parts-chat", rate=150, output=80, lasts="30s"})
at("30s", burst{class="record-check", account="awash-parts", target="record-reader", rate=80, output=150, prompt=1000, lasts="30s"})
run("100s")
expect{"attainment", class="buyer-question", from="25s", at_least=0.97}
expect{"attainment", class="purchase-order", from="25s", at_least=0.99}
expect{"served", class="trace-summary", at_least=50}
