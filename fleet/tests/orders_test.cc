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

constexpr er::TargetHandle kOldModel{0};
constexpr er::TargetHandle kNewModel{1};

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

/// Returns the concatenated names of the endpoints that `placement` gives
/// `model` to.
std::string EndpointsPlacedFor(const er::Rules& rules,
                               const ef::Placement& placement,
                               const std::string& model) {
  std::string endpoint_names;
  const auto target = er::FindTarget(rules, model);
  for (std::uint32_t i = 0; i < placement.size(); ++i) {
    if (std::find(placement[i].begin(), placement[i].end(), target) !=
        placement[i].end()) {
      endpoint_names += rules.endpoints[i].source.name;
    }
  }
  return endpoint_names;
}

}  // namespace

TEST_GROUP(Orders) {
  ef::Time now_{1h};
  ef::EndpointOrders orders_;
  ef::OrderInput input_;

  void setup() override {
    orders_.kept_since = now_ - 1h;
    orders_.changed = now_ - 1h;
    ef::ApplyLoadedModels(orders_, {kOldModel}, now_ - 1h);
    input_.desired = {kNewModel};
    input_.honours_fencing = true;
    input_.has_load_budget = true;
    input_.spare = {kOldModel};
  }
};

TEST(Orders, PlacesCopiesInDifferentZonesIdenticallyOnAllNodes) {
  const auto node_a_rules = ReadRulesText("m = copies=2 ; t\nn = ; t\n");
  const auto node_b_rules = ReadRulesText("n = ; t\nm = copies=2 ; t\n");
  const std::vector<bool> usable(3, true);
  const auto placement_a = ef::PlaceModels(*node_a_rules, usable);
  const auto placement_b = ef::PlaceModels(*node_b_rules, usable);
  const std::string endpoint_names =
      EndpointsPlacedFor(*node_a_rules, placement_a, "m");
  STRCMP_EQUAL(endpoint_names.c_str(),
               EndpointsPlacedFor(*node_b_rules, placement_b, "m").c_str());
  CHECK(endpoint_names.find("e3") != std::string::npos);
  CHECK_EQUAL(4U, endpoint_names.size());
}

// The engine holds one model, the last warm copy of a model that has callers.
// If it were unloaded, all of them would wait for a load.
TEST(Orders, LastWarmCopyStays) {
  input_.spare.clear();
  CHECK_FALSE(ef::DecideOrder(orders_, input_, now_).has_value());
  input_.spare = {kOldModel};
  const auto order = ef::DecideOrder(orders_, input_, now_);
  CHECK_TRUE(order.has_value());
  CHECK(order->kind == ef::OrderKind::kUnload);
}

// The placement changes twice within a minute. Without a minimum time per
// model, the engine would keep loading and unloading without serving calls.
TEST(Orders, ModelStaysLoadedForAMinimumTime) {
  ef::ApplyLoadedModels(orders_, {}, now_);
  ef::ApplyLoadedModels(orders_, {kOldModel}, now_);
  CHECK_FALSE(ef::DecideOrder(orders_, input_, now_ + 1min).has_value());
  CHECK_TRUE(ef::DecideOrder(orders_, input_, now_ + 6min).has_value());
}

// An engine that ignores fencing could still follow a delayed order of a former
// keeper that was paused. The new keeper waits until that can't happen.
TEST(Orders, EngineThatIgnoresFencingGetsOrdersLater) {
  input_.honours_fencing = false;
  orders_.kept_since = now_;
  CHECK_FALSE(ef::DecideOrder(orders_, input_, now_ + 1s).has_value());
  CHECK_TRUE(ef::DecideOrder(orders_, input_, now_ + ef::kUnfencedQuietTime)
                 .has_value());
}

// All engines of a zone start and load their weights at once. Without a limit
// on concurrent loads, the weight store would refuse them all.
TEST(Orders, WeightStoreBudgetHoldsLoadsBack) {
  ef::ApplyLoadedModels(orders_, {}, now_);
  input_.has_load_budget = false;
  CHECK_FALSE(ef::DecideOrder(orders_, input_, now_).has_value());
  input_.has_load_budget = true;
  CHECK(ef::DecideOrder(orders_, input_, now_)->kind == ef::OrderKind::kLoad);
  CHECK(ef::ModelLoadInterval(7) == 14s);
}

// An engine takes minutes to load a model. The same order must not be sent
// again after each report meanwhile.
TEST(Orders, OpenOrderIsNotRepeated) {
  ef::ApplyLoadedModels(orders_, {}, now_);
  orders_.open = ef::OpenOrder{ef::OrderKind::kLoad, kNewModel, now_};
  ef::ApplyLoadedModels(orders_, {}, now_ + 1min);
  CHECK_FALSE(ef::DecideOrder(orders_, input_, now_ + 1min).has_value());
  ef::ApplyLoadedModels(orders_, {kNewModel}, now_ + 2min);
  CHECK_FALSE(orders_.open.has_value());
}
