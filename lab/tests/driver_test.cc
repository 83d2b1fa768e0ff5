#include "egretladder/lab/driver.h"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <string>
#include <vector>

using namespace std::chrono_literals;
namespace el = egretladder::lab;
namespace en = egretladder::node;

namespace {

const char* const kRules =
    "[document]\nversion = 3 ; H\n[zone]\na = ; H\n[model]\nm = ; H\n"
    "[class]\nc = tier=1 first_token=1s ; H\n[account]\nx = classes=c ; H\n"
    "[endpoint]\ne = address=10.0.0.1:1 zone=a serves=m bears=4 ; H\n"
    "[node]\nn1 = callers=10.1.0.1:80 peers=10.1.0.1:81 zone=a ; H\n"
    "n2 = callers=10.1.0.2:80 peers=10.1.0.2:81 zone=a ; H\n";

}  // namespace

TEST_GROUP(Driver) {
  std::vector<std::string> decided_;
  el::DriverPtr driver_;
  int sends_ = 0;

  void setup() override {
    driver_ = el::StartDriver({}, [this](el::NodeIdx, en::Action& action) {
      if (std::holds_alternative<en::SendCall>(action)) ++sends_;
    });
    for (int i = 1; i <= 2; ++i) {
      en::NodeOptions options;
      options.scheduler = "least";
      options.fleet.node = "n" + std::to_string(i);
      options.fleet.zone = "a";
      options.fleet.incarnation = 100U * static_cast<unsigned>(i);
      options.fleet.peer_address = "10.1.0." + std::to_string(i) + ":81";
      CHECK_TRUE(el::AddNode(*driver_, options).has_value());
    }
  }

  void Tell(el::NodeIdx node) {
    el::Feed(*driver_, node,
             [](en::NodeState& state, el::Time now, en::Actions& out) {
               const std::string text = kRules;
               en::OnRulesDocument(state, &text, now, out);
             });
  }
  std::uint64_t VersionAt(el::NodeIdx node) {
    const auto rules = en::RulesOf(*el::NodeOf(*driver_, node));
    return rules == nullptr ? 0 : rules->version;
  }
  void Run(std::chrono::milliseconds span) {
    el::RunUntil(*driver_, el::Now(*driver_) + span);
  }
};

TEST(Driver, RunsEventsInTheOrderOfTheirTimeAndEntry) {
  std::string order;
  const el::Time start = el::Now(*driver_);
  el::At(*driver_, start + 20ms, [&] { order += "c"; });
  el::At(*driver_, start + 5ms, [&] { order += "a"; });
  el::At(*driver_, start + 5ms, [&] { order += "b"; });
  Run(10ms);
  STRCMP_EQUAL("ab", order.c_str());
  CHECK(el::Now(*driver_) == start + 10ms);
  Run(10ms);
  STRCMP_EQUAL("abc", order.c_str());
}

TEST(Driver, RefusesANodeWithoutScheduler) {
  en::NodeOptions options;
  options.scheduler = "none";
  CHECK_FALSE(el::AddNode(*driver_, options).has_value());
}

// A process stands still for a second. What reaches it waits in its sockets,
// and it acts on it late, on the clock as it is then.
TEST(Driver, APausedNodeGetsItsEventsWhenItWakes) {
  el::PauseNode(*driver_, 0, el::Now(*driver_) + 1s);
  Tell(0);
  Run(500ms);
  CHECK_TRUE(el::IsPaused(*driver_, 0));
  CHECK_EQUAL(0U, VersionAt(0));
  Run(600ms);
  CHECK_FALSE(el::IsPaused(*driver_, 0));
  CHECK_EQUAL(3U, VersionAt(0));
}

// A node's process dies. If it kept its memory, no scenario would show what a
// restart costs callers.
TEST(Driver, AKilledNodeForgetsAndItsEventsAreLost) {
  Tell(0);
  CHECK_EQUAL(3U, VersionAt(0));
  el::KillNode(*driver_, 0);
  POINTERS_EQUAL(nullptr, el::NodeOf(*driver_, 0));
  CHECK_FALSE(el::Feed(*driver_, 0, [](auto&, auto, auto&) {}));
  el::RestartNode(*driver_, 0);
  CHECK_EQUAL(0U, VersionAt(0));
}

TEST(Driver, CutsOneDirectionOfAWire) {
  el::CutWire(*driver_, 0, 1);
  CHECK_TRUE(el::IsCut(*driver_, 0, 1));
  CHECK_FALSE(el::IsCut(*driver_, 1, 0));
  el::HealWire(*driver_, 0, 1);
  CHECK_FALSE(el::IsCut(*driver_, 0, 1));
}

TEST(Driver, HandsActionsToTheSink) {
  Tell(0);
  Run(100ms);
  en::Call call;
  call.id = 1;
  call.account = "x";
  call.cls = "c";
  call.target = "m";
  Run(15s);
  el::Feed(*driver_, 0,
           [&](en::NodeState& state, el::Time now, en::Actions& out) {
             en::OnCall(state, call, now, out);
           });
  Run(2s);
  CHECK_EQUAL(1, sends_);
}
