// The scheduler "ladder" on single events, through its plug-in.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>
#include <variant>
#include <vector>

#include "egretladder/kernel/registry.h"
#include "egretladder/policy/scheduler.h"
#include "load_model.h"

using namespace std::chrono_literals;
namespace ep = egretladder::policy;
namespace ek = egretladder::kernel;
namespace er = egretladder::rules;

TEST_GROUP(Ladder) {
  ek::ManualClock clock_;
  const ep::SchedulerPlugin* plugin_ =
      ek::FindPlugin<ep::SchedulerPlugin>("ladder");
  std::unique_ptr<ep::SchedulerState> state_;
  ep::load::Workload load_{
      "", 1, {2, 4, 2, 1, 4}, ep::load::SampleClasses(), {}};
  ep::Actions out_;
  std::uint64_t version_ = 0;
  ep::RequestId next_ = 0;

  void setup() override { Start({}); }

  void Start(const ep::Limits& limits) {
    state_ = plugin_->create({ep::ZoneHandle{0}, 1, limits});
    SetRules({});
    for (std::uint32_t i = 0; i < 4; ++i) SetSlots(i, 2);
  }
  void SetRules(const std::vector<std::uint32_t>& zones_out) {
    Use(ep::load::MakeRules(load_, ++version_, zones_out));
  }
  void Use(er::RulesPtr rules) {
    plugin_->on_rules(*state_, std::move(rules), clock_.now, out_);
  }
  std::shared_ptr<er::Rules> Copy() {
    return std::make_shared<er::Rules>(
        *ep::load::MakeRules(load_, ++version_, {}));
  }
  void SetSlots(std::uint32_t endpoint, std::uint32_t slots) {
    plugin_->on_slots(*state_, {endpoint}, slots, clock_.now, out_);
  }
  ep::Request Make(std::uint32_t cls, std::uint32_t account = 0) {
    ep::Request request;
    request.id = ++next_;
    request.cls.idx = cls;
    request.account.idx = account;
    request.target.idx = 0;
    request.fingerprint = next_;
    request.arrived = clock_.now;
    request.deadline = clock_.now + load_.classes[cls].first_token;
    return request;
  }
  ep::RequestId Arrive(const ep::Request& request) {
    plugin_->on_arrival(*state_, request, clock_.now, out_);
    return request.id;
  }
  ep::RequestId Arrive(std::uint32_t cls, std::uint32_t account = 0) {
    return Arrive(Make(cls, account));
  }
  void Tick(std::chrono::milliseconds step) {
    ek::Advance(clock_, step);
    plugin_->on_tick(*state_, clock_.now, out_);
  }
  void End(ep::RequestId id, ep::EndKind kind = ep::EndKind::kDone) {
    plugin_->on_end(*state_, id, kind, clock_.now, out_);
  }
  std::vector<ep::Dispatch> Dispatched() {
    std::vector<ep::Dispatch> list;
    for (const ep::Action& action : out_) {
      const auto* one = std::get_if<ep::Dispatch>(&action);
      if (one != nullptr) list.push_back(*one);
    }
    return list;
  }
  const ep::Refuse* RefusalOf(ep::RequestId id) {
    for (const ep::Action& action : out_) {
      const auto* one = std::get_if<ep::Refuse>(&action);
      if (one != nullptr && one->request == id) return one;
    }
    return nullptr;
  }
  // Takes all eight slots with work that doesn't end.
  void Fill(std::uint32_t cls = 0) {
    for (int i = 0; i < 8; ++i) Arrive(cls);
    CHECK_EQUAL(8U, Dispatched().size());
    out_.clear();
  }
};

// A node that has no lease yet must not start work: it may be one of many that
// just started before the same cold endpoint.
TEST(Ladder, NothingStartsWithoutSlots) {
  state_ = plugin_->create({ep::ZoneHandle{0}, 1, {}});
  SetRules({});
  Arrive(0);
  CHECK_EQUAL(0U, out_.size());
  SetSlots(2, 1);
  CHECK_EQUAL(1U, Dispatched().size());
  CHECK_EQUAL(2U, Dispatched()[0].endpoint.idx);
}

// Operators take a zone out, an endpoint is leaving and another one died. Work
// sent there would be cut off.
TEST(Ladder, NoNewWorkInAZoneThatIsOutNorAtLeavingOrDeadEndpoints) {
  auto rules = Copy();
  rules->zones[0].out = true;  // Endpoints 0 and 2.
  rules->endpoints[1].leaving = true;
  Use(rules);
  for (int i = 0; i < 6; ++i) Arrive(0);
  CHECK_EQUAL(2U, Dispatched().size());
  for (const ep::Dispatch& one : Dispatched()) {
    CHECK_EQUAL(3U, one.endpoint.idx);
  }
  out_.clear();
  plugin_->on_available(*state_, {3}, false, clock_.now, out_);
  End(1);
  End(2);
  CHECK_EQUAL(0U, Dispatched().size());
  const ep::Refuse* refusal = RefusalOf(Arrive(0));
  CHECK_TRUE(refusal != nullptr);
  CHECK(refusal->reason == ep::RefuseReason::kNoEndpoint);
  SetRules({});
  CHECK_EQUAL(4U, Dispatched().size());
}

// The last endpoint of a model is removed. Its callers would wait in vain.
TEST(Ladder, WaitingWorkThatNothingServesIsRefused) {
  Fill();
  const ep::RequestId id = Arrive(3);
  auto rules = Copy();
  for (er::Endpoint& endpoint : rules->endpoints) endpoint.serves.clear();
  Use(rules);
  CHECK(RefusalOf(id)->reason == ep::RefuseReason::kNoEndpoint);
}

// The queue is full of bulk work when a buyer asks.
TEST(Ladder, LowestTierMakesRoomAndAHigherOneIsNeverShedForIt) {
  ep::Limits limits;
  limits.max_queue_length = 4;
  Start(limits);
  Fill();
  const ep::RequestId quote = Arrive(1);
  const ep::RequestId check = Arrive(2);
  const ep::RequestId first = Arrive(3);
  const ep::RequestId second = Arrive(3);
  const ep::RequestId buyer = Arrive(0);
  CHECK(RefusalOf(second)->reason == ep::RefuseReason::kShedForHigherTier);
  CHECK_TRUE(RefusalOf(buyer) == nullptr);
  Arrive(0);
  CHECK(RefusalOf(first)->reason == ep::RefuseReason::kShedForHigherTier);
  Arrive(1);
  CHECK(RefusalOf(check)->reason == ep::RefuseReason::kShedForHigherTier);
  const ep::RequestId late = Arrive(3);
  CHECK(RefusalOf(late)->reason == ep::RefuseReason::kQueueFull);
  CHECK_TRUE(RefusalOf(quote) == nullptr);
}

// A broker may run two checks at a time by its contract. The others of its
// class must not wait behind the ones that are held back.
TEST(Ladder, RunningCapsHoldOneAccountOnly) {
  auto rules = Copy();
  rules->accounts[0].running = 2;
  rules->classes[1].running = 3;
  Use(rules);
  for (int i = 0; i < 4; ++i) Arrive(2, 0);
  CHECK_EQUAL(2U, Dispatched().size());
  const ep::RequestId other = Arrive(2, 1);
  CHECK_EQUAL(other, Dispatched().back().request);
  for (int i = 0; i < 4; ++i) Arrive(1, 1);
  CHECK_EQUAL(6U, Dispatched().size());
  out_.clear();
  End(1);
  CHECK_EQUAL(1U, Dispatched().size());
}

// A body crashed two endpoints. Sent on, it crashes the next one.
TEST(Ladder, QuarantinedBodiesGetNoEndpoint) {
  Fill();
  const ep::RequestId waiting = Arrive(0);
  plugin_->on_quarantine(*state_, waiting, clock_.now + 10min, clock_.now,
                         out_);
  CHECK(RefusalOf(waiting)->reason == ep::RefuseReason::kQuarantined);
  ep::Request again = Make(0);
  again.fingerprint = waiting;
  Arrive(again);
  CHECK(RefusalOf(again.id)->reason == ep::RefuseReason::kQuarantined);
  CHECK_TRUE(RefusalOf(again.id)->retry_after > 1s);
}

// An engine that must load a model first keeps the caller waiting for minutes.
TEST(Ladder, WorkGoesWhereTheModelIsLoaded) {
  auto rules = Copy();
  rules->targets.push_back({{"other", "load", 1, true}});
  for (er::Endpoint& endpoint : rules->endpoints) {
    endpoint.serves.push_back({1});
  }
  Use(rules);
  for (std::uint32_t i = 0; i < 4; ++i) {
    ep::EngineReport report;
    report.loaded = {ep::TargetHandle{i == 2 ? 0U : 1U}};
    plugin_->on_report(*state_, {i}, report, clock_.now);
  }
  for (int i = 0; i < 4; ++i) Arrive(0);
  CHECK_EQUAL(2U, Dispatched().size());
  CHECK_EQUAL(2U, Dispatched()[0].endpoint.idx);
  ep::EngineReport lost;  // The only holder lost it: any is better than none.
  lost.loaded = {ep::TargetHandle{1}};
  plugin_->on_report(*state_, {2}, lost, clock_.now);
  Tick(10ms);
  CHECK_EQUAL(4U, Dispatched().size());
}

// An attempt failed at one endpoint. The next one there fails as well.
TEST(Ladder, ARetryAvoidsWhereItFailed) {
  for (int i = 0; i < 4; ++i) {
    ep::Request request = Make(0);
    request.attempt = 2;
    request.avoid.idx = 0;
    Arrive(request);
  }
  for (const ep::Dispatch& one : Dispatched()) {
    CHECK_TRUE(one.endpoint.idx != 0);
  }
}

// Two bodies are suspects for a crash. On one endpoint together, a second death
// would not tell which it was.
TEST(Ladder, SuspectsRunApart) {
  std::vector<std::uint32_t> used;
  for (int i = 0; i < 4; ++i) {
    ep::Request request = Make(0);
    request.suspect = true;
    Arrive(request);
    used.push_back(Dispatched().back().endpoint.idx);
  }
  std::sort(used.begin(), used.end());
  CHECK_TRUE(std::unique(used.begin(), used.end()) == used.end());
}

// Callers go away while they wait, and events come twice or too late.
TEST(Ladder, UnknownAndRepeatedEventsDoNoHarm) {
  Fill();
  const ep::Request request = Make(0);
  Arrive(request);
  Arrive(request);
  plugin_->on_caller_gone(*state_, request.id, clock_.now);
  plugin_->on_caller_gone(*state_, request.id, clock_.now);
  End(1);
  End(1);
  End(999);
  plugin_->on_tokens(*state_, 999, 5, clock_.now);
  plugin_->on_first_token(*state_, 999, clock_.now);
  SetSlots(999, 3);
  const ep::SchedulerView view = plugin_->view(*state_, clock_.now);
  CHECK_EQUAL(0U, view.classes[0].waiting);
  CHECK_EQUAL(7U, view.classes[0].running);
  CHECK_EQUAL(0U, out_.size());
}

// Slots shrink below what runs. Nothing is cut off, and nothing new starts
// until enough has ended.
TEST(Ladder, ShrunkSlotsDrain) {
  Fill();
  for (std::uint32_t i = 0; i < 4; ++i) SetSlots(i, 1);
  Arrive(0);
  End(1);
  End(2);
  End(3);
  End(4);
  const std::size_t running = 4 + Dispatched().size();
  CHECK_TRUE(running <= 5);
  for (const ep::EndpointView& endpoint :
       plugin_->view(*state_, clock_.now).endpoints) {
    CHECK_TRUE(endpoint.in_flight <= 2);
  }
}

// A caller waits past what its class allows. It must be told, with a time.
TEST(Ladder, WaitsEndAtTheBound) {
  Fill();
  const ep::RequestId id = Arrive(0);
  Tick(1700ms);
  CHECK_TRUE(RefusalOf(id) == nullptr);
  Tick(200ms);
  CHECK(RefusalOf(id)->reason == ep::RefuseReason::kWaitedTooLong);
  CHECK_TRUE(RefusalOf(id)->retry_after > 0ms);
}
