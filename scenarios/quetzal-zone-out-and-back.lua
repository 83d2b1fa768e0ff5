-- Quetzal's second measure: a zone is taken out on a busy evening and comes back.
-- Parents notice nothing of either, and enrolments run once.
fleet{rules="../examples/02-quetzal/rules.ini"}
load{class="parent-question", account="andes-swim-league", target="booking-chat", rate=40, output=60}
load{class="parent-question", account="miraflores-judo", target="booking-chat", rate=18, output=60}
load{class="coordinator-question", account="cusco-climbing", target="booking-chat", rate=10, output=80}
load{class="payment", account="andes-swim-league", target="payments", rate=4, output=1, retries=4}
load{class="enrolment", account="lima-norte-football", target="enrolments", rate=4, output=1, retries=4}
load{class="availability-lookup", account="trujillo-surf", target="availability", rate=15, output=1}
load{class="season-plan", account="tacna-chess", target="planner", rate=2, output=400}
at("30s", zone_out{"lima-b", lasts="40s"})
run("110s")
expect{"attainment", class="parent-question", from="25s", at_least=0.97}
expect{"attainment", class="enrolment", from="25s", at_least=0.97}
expect{"new_work", zone="lima-b", from="35s", to="70s", at_most=0}
expect{"new_work", zone="lima-b", from="100s", at_least=20}
expect{"doubled", at_most=0}
