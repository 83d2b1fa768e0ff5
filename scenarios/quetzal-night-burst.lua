-- Quetzal's first measure: after practice the largest club network calls all at
-- once. What is served is useful: answers in time, no work for callers that have
-- left, and no payment twice.
fleet{rules="../examples/02-quetzal/rules.ini"}
load{class="parent-question", account="andes-swim-league", target="booking-chat", rate=15, output=60}
load{class="parent-question", account="miraflores-judo", target="booking-chat", rate=8, output=60}
load{class="coordinator-question", account="cusco-climbing", target="booking-chat", rate=5, output=80}
load{class="payment", account="andes-swim-league", target="payments", rate=4, output=1, retries=4}
load{class="enrolment", account="lima-norte-football", target="enrolments", rate=4, output=1, retries=4}
load{class="availability-lookup", account="trujillo-surf", target="availability", rate=15, output=1}
load{class="season-plan", account="tacna-chess", target="planner", rate=2, output=400}
at("30s", burst{class="parent-question", account="costa-club-network", target="booking-chat", rate=120, output=60, lasts="40s", retries=2})
at("30s", burst{class="enrolment", account="costa-club-network", target="enrolments", rate=40, output=1, lasts="40s", retries=4})
run("100s")
expect{"goodput", at_least=80}
expect{"wasted", at_most=0.1}
expect{"doubled", at_most=0}
expect{"attainment", class="payment", from="25s", at_least=0.97}
