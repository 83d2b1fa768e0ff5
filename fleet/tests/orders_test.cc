#include "egretladder/fleet/orders.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>
#include <vector>

#include "egretladder/fleet/limits.h"
#include "egretladder/rules/rules.h"

using namespace std::chrono_literals;
namespace ef = egretladder::fleet;
namespace er = egretladder::rules;

namespace {

constexpr er::TargetHandle kOld{0};
constexpr er::TargetHandle kNew{1};

er::RulesPtr ReadRulesText(const std::string& models) {
  const std::string text =
      "[document]\nversion = 1 ; t\n[zone]\na = ; t\nb = ; t\n[model]\n" +
      models +
      "[class]\nc = tier=1 first_token=1s ; t\n[account]\nx = classes=c ; t\n"
      "[endpoint]\n"
      "e1 = address=10.0.0.1:1 zone=a serves=m,n holds=1 ; t\n"
      "e2 = address=10.0.0.2:1 zone=a serves=m,n holds=1 ; t\n"
      "e3 = address=10.0.0.3:1 zone=b serves=m,n holds=1 ; t\n"
      "[node]\nn1 = callers=10.1.0.1:1 peers=10.1.0.1:2 zone=a ; t\n";
  return er::ReadRules(text, "t", nullptr).value();
}

std::string PlacesOf(const er::Rules& rules, const ef::Placement& placement,
                     const std::string& model) {
  std::string places;
  const auto target = er::FindTarget(rules, model);
  for (std::uint32_t i = 0; i < placement.size(); ++i) {
    if (std::find(placement[i].begin(), placement[i].end(), target) !=
        placement[i].end()) {
      places += rules.endpoints[i].source.name;
    }
  }
  return places;
}

}  // namespace

TEST_GROUP(Orders) {
  ef::Time now_{1h};
  ef::EndpointOrders orders_;
  ef::OrderInput input_;

  void setup() override {
    orders_.kept_since = now_ - 1h;
    orders_.changed = now_ - 1h;
    ef::ApplyLoadedModels(orders_, {kOld}, now_ - 1h);
    input_.desired = {kNew};
    input_.honours_fencing = true;
    input_.has_load_budget = true;
    input_.spare = {kOld};
  }
};

TEST(Orders, PlacesCopiesInDifferentZonesAlikeOnAllNodes) {
  const auto one = ReadRulesText("m = copies=2 ; t\nn = ; t\n");
  const auto other = ReadRulesText("n = ; t\nm = copies=2 ; t\n");
  const std::vector<bool> all(3, true);
  const auto here = ef::PlaceModels(*one, all);
  const auto there = ef::PlaceModels(*other, all);
  const std::string places = PlacesOf(*one, here, "m");
  STRCMP_EQUAL(places.c_str(), PlacesOf(*other, there, "m").c_str());
  CHECK(places.find("e3") != std::string::npos);
  CHECK_EQUAL(4U, places.size());
}

// The engine holds one model, and it is the last warm copy of one that has
// callers. They would all wait for a load.
TEST(Orders, LastWarmCopyStays) {
  input_.spare.clear();
  CHECK_FALSE(ef::DecideOrder(orders_, input_, now_).has_value());
  input_.spare = {kOld};
  const auto next = ef::DecideOrder(orders_, input_, now_);
  CHECK_TRUE(next.has_value());
  CHECK(next->kind == ef::OrderKind::kUnload);
}

// The placement changes twice in a minute. The engine would load and unload and
// serve nobody.
TEST(Orders, ModelStaysForItsDwell) {
  ef::ApplyLoadedModels(orders_, {}, now_);
  ef::ApplyLoadedModels(orders_, {kOld}, now_);
  CHECK_FALSE(ef::DecideOrder(orders_, input_, now_ + 1min).has_value());
  CHECK_TRUE(ef::DecideOrder(orders_, input_, now_ + 6min).has_value());
}

// An engine that doesn't check who orders could get a paused former keeper's
// order as well. The new keeper waits until that is over.
TEST(Orders, EngineThatIgnoresFencingIsOrderedLater) {
  input_.honours_fencing = false;
  orders_.kept_since = now_;
  CHECK_FALSE(ef::DecideOrder(orders_, input_, now_ + 1s).has_value());
  CHECK_TRUE(ef::DecideOrder(orders_, input_, now_ + ef::kUnfencedQuietTime)
                 .has_value());
}

// A whole zone starts and every engine wants its weights at once. The weight
// store would refuse them all.
TEST(Orders, WeightStoreBudgetHoldsLoadsBack) {
  ef::ApplyLoadedModels(orders_, {}, now_);
  input_.has_load_budget = false;
  CHECK_FALSE(ef::DecideOrder(orders_, input_, now_).has_value());
  input_.has_load_budget = true;
  CHECK(ef::DecideOrder(orders_, input_, now_)->kind == ef::OrderKind::kLoad);
  CHECK(ef::ModelLoadInterval(7) == 14s);
}

// The engine takes minutes to load. The same order isn't sent with every
// report.
TEST(Orders, OpenOrderIsNotRepeated) {
  ef::ApplyLoadedModels(orders_, {}, now_);
  orders_.open = ef::OpenOrder{ef::OrderKind::kLoad, kNew, now_};
  ef::ApplyLoadedModels(orders_, {}, now_ + 1min);
  CHECK_FALSE(ef::DecideOrder(orders_, input_, now_ + 1min).has_value());
  ef::ApplyLoadedModels(orders_, {kNew}, now_ + 2min);
  CHECK_FALSE(orders_.open.has_value());
}
