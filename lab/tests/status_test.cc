#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "egretladder/lab/status_table.h"

namespace el = egretladder::lab;

TEST_GROUP(Status){static std::string Json(const std::string& node, int version,
                                           const std::string& more = ""){
    return R"({"node":")" + node +
           R"(","zone":"bole","ready":true,"leaving":false,"rules_version":)" +
           std::to_string(version) +
           R"(,"rules_in_force_for_ms":125000,"members":[{"node":"n1",)"
           R"("state":"alive"},{"node":"n2","state":"alive"}],)"
           R"("endpoints":[{"endpoint":"engine-1","slots":5,"in_flight":2,)"
           R"("first_token_ms":90}],"queues":[{"class":"bulk","waiting":3,)"
           R"("running":1,"oldest_wait_ms":700}])" +
           more + "}";
}
}
;

TEST(Status, SumsSlotsAndQueuesOverTheNodes) {
  const std::string table =
      el::StatusTable({{"a", Json("n1", 7)}, {"b", Json("n2", 7)}});
  STRCMP_CONTAINS("engine-1                        10         4        90",
                  table.c_str());
  STRCMP_CONTAINS("bulk                             6         2       700",
                  table.c_str());
  STRCMP_CONTAINS("2 alive", table.c_str());
  STRCMP_CONTAINS("2m", table.c_str());
}

// One node is cut off and keeps an older version in force. The operator asks
// whether the change has arrived and must not be told yes.
TEST(Status, AFleetWithTwoVersionsOrASilentNodeIsNotSound) {
  CHECK_TRUE(el::IsSound({{"a", Json("n1", 7)}, {"b", Json("n2", 7)}}));
  CHECK_FALSE(el::IsSound({{"a", Json("n1", 7)}, {"b", Json("n2", 6)}}));
  CHECK_FALSE(el::IsSound({{"a", Json("n1", 7)}, {"b", ""}}));
  STRCMP_CONTAINS("no answer", el::StatusTable({{"b", ""}}).c_str());
  STRCMP_CONTAINS("answers no status",
                  el::StatusTable({{"b", "<html>"}}).c_str());
}

// Rules are published that the nodes refuse. The operator sees the old version
// in force and must learn why.
TEST(Status, ShowsWhyAVersionWasRefused) {
  const std::string json =
      Json("n1", 7, R"(,"refused_version":8,"refused_why":"line 3: no tier")");
  STRCMP_CONTAINS("refused version 8: line 3: no tier",
                  el::StatusTable({{"a", json}}).c_str());
}
