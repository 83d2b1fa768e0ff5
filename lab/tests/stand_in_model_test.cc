#include <CppUTest/TestHarness.h>

#include <chrono>
#include <string>

#include "egretladder/lab/fault.h"
#include "egretladder/lab/platform_model.h"
#include "egretladder/lab/service_model.h"

namespace ek = egretladder::kernel;
namespace el = egretladder::lab;

namespace {
constexpr ek::Time kNow{std::chrono::hours(1)};
}  // namespace

TEST_GROUP(ServiceModel) { el::ServiceModel model_; };

// A router that repeats a payment whose answer was lost runs it twice. The
// parent pays twice; the service has to be able to show it.
TEST(ServiceModel, ARepeatedKeyCountsAsADouble) {
  CHECK_EQUAL(1U, el::RecordRun(model_, "a", kNow));
  CHECK_EQUAL(1U, el::RecordRun(model_, "b", kNow));
  CHECK_EQUAL(0U, el::DoublesOf(model_));
  CHECK_EQUAL(2U, el::RecordRun(model_, "a", kNow));
  CHECK_EQUAL(3U, el::RecordRun(model_, "a", kNow));
  CHECK_EQUAL(2U, el::DoublesOf(model_));
  STRCMP_CONTAINS("\"runs\":{", el::CountsJson(model_, true, kNow).c_str());
  STRCMP_CONTAINS("\"a\":3", el::CountsJson(model_, true, kNow).c_str());
}

TEST(ServiceModel, CallsWithoutAKeyAreNoDoubles) {
  CHECK_EQUAL(1U, el::RecordRun(model_, "", kNow));
  CHECK_EQUAL(1U, el::RecordRun(model_, "", kNow));
  CHECK_EQUAL(0U, el::DoublesOf(model_));
  CHECK_EQUAL(2U, model_.without_key);
}

TEST_GROUP(Fault){};

TEST(Fault, ReadsAFaultAndRefusesAnUnknownOne) {
  const auto slow = el::ReadFault(R"({"fault":"slow","factor":5})");
  CHECK(el::FaultKind::kSlow == slow.value().kind);
  DOUBLES_EQUAL(5, slow.value().factor, 0);
  CHECK_FALSE(el::ReadFault(R"({"fault":"sloww"})").has_value());
  CHECK_FALSE(el::ReadFault("slow").has_value());
}

TEST(Fault, AShareOfRequestsMeetsItAndTheSameSeedDrawsTheSame) {
  el::FaultState one{{el::FaultKind::kHalf, 1, 0.3}, ek::Random(7)};
  el::FaultState two = one;
  int met = 0;
  for (int i = 0; i < 1000; ++i) {
    const el::FaultKind drawn = el::DrawFault(one);
    CHECK(drawn == el::DrawFault(two));
    if (drawn == el::FaultKind::kHalf) ++met;
  }
  CHECK(met > 250 && met < 350);
}

TEST_GROUP(PlatformModel) {
  el::PlatformState platform_;

  static std::string Rules(int version) {
    return "[document]\nversion = " + std::to_string(version) +
           " ; test\n[node]\nn1 = zone=a leaving=yes ; test\n";
  }
  void setup() override {
    el::Publish(platform_, Rules(1)).value();
    el::Publish(platform_, Rules(2)).value();
  }
};

// The platform's service loses its newest data and serves what it had before.
// A router that believes it takes a rule back that is in force.
TEST(PlatformModel, StaleStandsStillAndOldGoesBack) {
  el::Control(platform_, R"({"fault":"stale"})").value();
  el::Publish(platform_, Rules(3)).value();
  CHECK_EQUAL(2U, el::Served(platform_)->version);
  el::Control(platform_, R"({"fault":"old"})").value();
  CHECK_EQUAL(1U, el::Served(platform_)->version);
  el::Control(platform_, R"({"fault":"none"})").value();
  CHECK_EQUAL(3U, el::Served(platform_)->version);
}

TEST(PlatformModel, CanBeReachableForOneReaderOnly) {
  el::Control(platform_, R"({"only":"127.0.0.1:9001"})").value();
  CHECK_FALSE(el::IsDown(platform_, "127.0.0.1:9001"));
  CHECK_TRUE(el::IsDown(platform_, "127.0.0.1:9002"));
  el::Control(platform_, R"({"only":"","fault":"down"})").value();
  CHECK_TRUE(el::IsDown(platform_, "127.0.0.1:9001"));
}

TEST(PlatformModel, TheVmListFollowsTheRules) {
  STRCMP_EQUAL(R"([{"name":"n1","leaving":true}])",
               el::VmsOf(Rules(1)).c_str());
}

TEST(PlatformModel, RefusesRulesWithoutAVersionAndUnknownKeys) {
  CHECK_FALSE(el::Publish(platform_, "[zone]\na = ; x\n").has_value());
  CHECK_FALSE(el::Control(platform_, R"({"fautl":"down"})").has_value());
  CHECK_EQUAL(2U, platform_.published.size());
}
