#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "egretladder/rules/rules.h"

namespace er = egretladder::rules;

namespace {

const char* const kCurrent = R"([document]
version = 7 ; Hanna
[zone]
bole = ; Hanna
yeka = ; Hanna
[model]
trace = ; Hanna
[class]
buyer = tier=1 first_token=800ms ; Abay
bulk = tier=5 first_token=1m ; Abay
[account]
abay = classes=buyer,bulk ; Abay
broker = classes=bulk running=2 ; Marta
[endpoint]
e1 = address=10.0.0.1:8000 zone=bole serves=trace bears=4 ; Hanna
e2 = address=10.0.0.2:8000 zone=yeka serves=trace bears=4 ; Hanna
)";

er::RulesPtr Read(std::string text) {
  return er::ReadRules(text, "r.ini", nullptr).value();
}

std::string Replace(const std::string& from, const std::string& to) {
  std::string text = kCurrent;
  text.replace(text.find("version = 7"), 11, "version = 8");
  text.replace(text.find(from), from.size(), to);
  return text;
}

er::Change OnlyChange(const std::string& from, const std::string& to) {
  const auto changes =
      er::CompareRules(*Read(kCurrent), *Read(Replace(from, to)));
  CHECK_TRUE(changes.has_value());
  CHECK_EQUAL(1U, changes.value().size());
  return changes.value().front();
}

}  // namespace

TEST_GROUP(CompareRules){};

// An operator rolls back by publishing the previous file unchanged. Nodes that
// accepted the newer version ignore it, so the fleet would run two versions.
TEST(CompareRules, RejectsAVersionThatDoesNotIncrease) {
  const auto same = er::CompareRules(*Read(kCurrent), *Read(kCurrent));
  CHECK_FALSE(same.has_value());
  CHECK(same.error().code == egretladder::kernel::ErrorCode::kConflict);
}

TEST(CompareRules, DescribesTheEffectOfTakingAZoneOut) {
  const auto change = OnlyChange("yeka = ", "yeka = out=yes ");
  STRCMP_EQUAL("zone 'yeka': out no -> yes", change.what.c_str());
  STRCMP_CONTAINS("1 endpoints in it receive no new work",
                  change.effect.c_str());
  CHECK_EQUAL(5U, change.line);
}

TEST(CompareRules, DescribesTheEffectsOfClassAndAccountChanges) {
  STRCMP_CONTAINS("shed sooner", OnlyChange("tier=1", "tier=3").effect.c_str());
  STRCMP_CONTAINS("need a lane",
                  OnlyChange("800ms", "800ms repeatable=no").effect.c_str());
  const auto change = OnlyChange("buyer,bulk", "bulk");
  STRCMP_EQUAL("account 'abay': classes bulk,buyer -> bulk",
               change.what.c_str());
  // The order of the names in a list is not significant.
  const auto none = er::CompareRules(
      *Read(kCurrent), *Read(Replace("buyer,bulk", "bulk,buyer")));
  CHECK_TRUE(none.value().empty());
}

TEST(CompareRules, ReportsAddedAndRemovedRules) {
  const auto change = OnlyChange(
      "e2 = address=10.0.0.2:8000 zone=yeka serves=trace bears=4 ; "
      "Hanna\n",
      "");
  STRCMP_EQUAL("endpoint 'e2': removed", change.what.c_str());
  CHECK_EQUAL(0U, change.line);
  STRCMP_EQUAL("zone 'kality': added",
               OnlyChange("bole = ", "kality = ; H\nbole = ").what.c_str());
}

// The new version was read separately, so its rows are in another order. Only
// changes of the text may be reported.
TEST(CompareRules, ComparesRulesByNameNotByRow) {
  const auto changes = er::CompareRules(
      *Read(kCurrent), *Read(Replace("bole = ; Hanna\nyeka = ; Hanna\n",
                                     "yeka = ; Hanna\nbole = ; Hanna\n")));
  CHECK_TRUE(changes.value().empty());
}

TEST_GROUP(ExplainRequest){};

TEST(ExplainRequest, ReportsEachRuleWithItsRequester) {
  const auto rules = Read(Replace("yeka = ", "yeka = out=yes "));
  const std::string text =
      er::ExplainRequest(*rules, "abay", "buyer", "trace").value();
  STRCMP_CONTAINS("tier 1, first token within 800ms", text.c_str());
  STRCMP_CONTAINS("(line 9, asked by Abay)", text.c_str());
  STRCMP_CONTAINS("'e1' in zone 'bole': takes it", text.c_str());
  STRCMP_CONTAINS("'e2' in zone 'yeka': no new work, the zone is out (line 5",
                  text.c_str());
  STRCMP_CONTAINS("has answered that it leaves", text.c_str());
}

TEST(ExplainRequest, ReportsWhyARequestIsRejected) {
  const auto rules = Read(kCurrent);
  STRCMP_CONTAINS(
      "refused: the account's rule does not list class 'buyer'",
      er::ExplainRequest(*rules, "broker", "buyer", "trace").value().c_str());
  CHECK_FALSE(er::ExplainRequest(*rules, "nobody", "buyer", "trace"));
  CHECK_FALSE(er::ExplainRequest(*rules, "abay", "none", "trace"));
  CHECK_FALSE(er::ExplainRequest(*rules, "abay", "buyer", "none"));
  const auto leaving =
      Read(Replace("bears=4 ; Hanna\ne2", "leaving=yes ; H\ne2"));
  STRCMP_CONTAINS(
      "it leaves",
      er::ExplainRequest(*leaving, "abay", "buyer", "trace").value().c_str());
}
