#include "egretladder/routing/rules_history.h"

#include <CppUTest/TestHarness.h>

#include <memory>

#include "egretladder/routing/limits.h"

namespace er = egretladder::routing;

TEST_GROUP(RulesHistory) {
  er::RulesHistory history;
  er::Time now{std::chrono::hours(1)};

  void RetireVersion(std::uint64_t version) {
    auto table = std::make_shared<er::RouteTable>();
    table->version = version;
    er::Retire(history, table, now);
  }
};

TEST(RulesHistory, FindsRulesThatRequestsInProgressMayNeed) {
  RetireVersion(7);
  RetireVersion(9);
  LONGS_EQUAL(7, er::FindRules(history, 7, now)->version);
  LONGS_EQUAL(9, er::FindRules(history, 9, now)->version);
  CHECK(er::FindRules(history, 8, now) == nullptr);
  CHECK(er::FindRules(history, 7, now + er::kRetiredRulesRetention) == nullptr);
}

// Guards against memory that grows with each change of the rules.
TEST(RulesHistory, KeepsABoundedNumber) {
  for (std::uint64_t version = 1; version <= 100; ++version)
    RetireVersion(version);
  LONGS_EQUAL(er::kMaxRetiredRules, history.retired.size());
  CHECK(er::FindRules(history, 100, now) != nullptr);
  now += er::kRetiredRulesRetention;
  RetireVersion(101);
  LONGS_EQUAL(1, history.retired.size());
}
