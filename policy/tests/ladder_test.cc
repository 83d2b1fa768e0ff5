// Tests of the scheduler "ladder" with single events, through its plug-in.
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
  ep::load::Workload workload_{
      "", 1, {2, 4, 2, 1, 4}, ep::load::SampleClasses(), {}};
  ep::Actions out_;
  std::uint64_t version_ = 0;
  ep::RequestId last_id_ = 0;

  void setup() override { Start({}); }

  void Start(const ep::Limits& limits) {
    state_ = plugin_->create({ep::ZoneHandle{0}, 1, limits});
    SetRules({});
    for (std::uint32_t i = 0; i < 4; ++i) SetSlots(i, 2);
  }
  void SetRules(const std::vector<std::uint32_t>& zones_out) {
    ApplyRules(ep::load::MakeRules(workload_, ++version_, zones_out));
  }
  void ApplyRules(er::RulesPtr rules) {
    plugin_->on_rules(*state_, std::move(rules), clock_.now, out_);
  }
  std::shared_ptr<er::Rules> CopyRules() {
    return std::make_shared<er::Rules>(
        *ep::load::MakeRules(workload_, ++version_, {}));
  }
  void SetSlots(std::uint32_t endpoint, std::uint32_t slots) {
    plugin_->on_slots(*state_, {endpoint}, slots, clock_.now, out_);
  }
  ep::Request MakeRequest(std::uint32_t cls, std::uint32_t account = 0) {
    ep::Request request;
    request.id = ++last_id_;
    request.cls.idx = cls;
    request.account.idx = account;
    request.target.idx = 0;
    request.fingerprint = last_id_;
    request.arrived = clock_.now;
    request.deadline = clock_.now + workload_.classes[cls].first_token;
    return request;
  }
  ep::RequestId Arrive(const ep::Request& request) {
    plugin_->on_arrival(*state_, request, clock_.now, out_);
    return request.id;
  }
  ep::RequestId Arrive(std::uint32_t cls, std::uint32_t account = 0) {
    return Arrive(MakeRequest(cls, account));
  }
  void Tick(std::chrono::milliseconds step) {
    ek::Advance(clock_, step);
    plugin_->on_tick(*state_, clock_.now, out_);
  }
  void End(ep::RequestId id, ep::EndKind kind = ep::EndKind::kDone) {
    plugin_->on_end(*state_, id, kind, clock_.now, out_);
  }
  std::vector<ep::Dispatch> Dispatches() {
    std::vector<ep::Dispatch> list;
    for (const ep::Action& action : out_) {
      const auto* dispatch = std::get_if<ep::Dispatch>(&action);
      if (dispatch != nullptr) list.push_back(*dispatch);
    }
    return list;
  }
  const ep::Refuse* FindRefusal(ep::RequestId id) {
    for (const ep::Action& action : out_) {
      const auto* refusal = std::get_if<ep::Refuse>(&action);
      if (refusal != nullptr && refusal->request == id) return refusal;
    }
    return nullptr;
  }
  // Occupies all eight slots with requests that don't end.
  void FillAllSlots(std::uint32_t cls = 0) {
    for (int i = 0; i < 8; ++i) Arrive(cls);
    CHECK_EQUAL(8U, Dispatches().size());
    out_.clear();
  }
};

// A node without a lease must not dispatch requests: many nodes may have just
// started, all in front of the same cold endpoint.
TEST(Ladder, NothingStartsWithoutALease) {
  state_ = plugin_->create({ep::ZoneHandle{0}, 1, {}});
  SetRules({});
  Arrive(0);
  CHECK_EQUAL(0U, out_.size());
  SetSlots(2, 1);
  CHECK_EQUAL(1U, Dispatches().size());
  CHECK_EQUAL(2U, Dispatches()[0].endpoint.idx);
}

// A zone is taken out, an endpoint is leaving and another one has died.
// Requests sent there would be aborted.
TEST(Ladder, NoNewWorkInZonesOutOrAtLeavingOrDeadEndpoints) {
  auto rules = CopyRules();
  rules->zones[0].out = true;  // Endpoints 0 and 2.
  rules->endpoints[1].leaving = true;
  ApplyRules(rules);
  for (int i = 0; i < 6; ++i) Arrive(0);
  CHECK_EQUAL(2U, Dispatches().size());
  for (const ep::Dispatch& dispatch : Dispatches()) {
    CHECK_EQUAL(3U, dispatch.endpoint.idx);
  }
  out_.clear();
  plugin_->on_available(*state_, {3}, false, clock_.now, out_);
  End(1);
  End(2);
  CHECK_EQUAL(0U, Dispatches().size());
  const ep::Refuse* refusal = FindRefusal(Arrive(0));
  CHECK_TRUE(refusal != nullptr);
  CHECK(refusal->reason == ep::RefuseReason::kNoEndpoint);
  SetRules({});
  CHECK_EQUAL(4U, Dispatches().size());
}

// The last endpoint of a model is removed from the rules. Waiting requests for
// the model could never be served.
TEST(Ladder, WaitingRequestsWithoutAnEndpointAreRefused) {
  FillAllSlots();
  const ep::RequestId id = Arrive(3);
  auto rules = CopyRules();
  for (er::Endpoint& endpoint : rules->endpoints) endpoint.serves.clear();
  ApplyRules(rules);
  CHECK(FindRefusal(id)->reason == ep::RefuseReason::kNoEndpoint);
}

// The queue is full of requests of low tiers when one of a higher tier arrives.
// It must take the place of a lower one and never of a higher one.
TEST(Ladder, FullQueueShedsOnlyLowerTiers) {
  ep::Limits limits;
  limits.max_queue_length = 4;
  Start(limits);
  FillAllSlots();
  const ep::RequestId quote = Arrive(1);
  const ep::RequestId check = Arrive(2);
  const ep::RequestId first = Arrive(3);
  const ep::RequestId second = Arrive(3);
  const ep::RequestId buyer = Arrive(0);
  CHECK(FindRefusal(second)->reason == ep::RefuseReason::kShedForHigherTier);
  CHECK_TRUE(FindRefusal(buyer) == nullptr);
  Arrive(0);
  CHECK(FindRefusal(first)->reason == ep::RefuseReason::kShedForHigherTier);
  Arrive(1);
  CHECK(FindRefusal(check)->reason == ep::RefuseReason::kShedForHigherTier);
  const ep::RequestId late = Arrive(3);
  CHECK(FindRefusal(late)->reason == ep::RefuseReason::kQueueFull);
  CHECK_TRUE(FindRefusal(quote) == nullptr);
}

// An account may run two requests at a time. Other accounts of the class must
// not wait behind its requests that are over this cap.
TEST(Ladder, RunningCapsDoNotBlockOtherAccounts) {
  auto rules = CopyRules();
  rules->accounts[0].running = 2;
  rules->classes[1].running = 3;
  ApplyRules(rules);
  for (int i = 0; i < 4; ++i) Arrive(2, 0);
  CHECK_EQUAL(2U, Dispatches().size());
  const ep::RequestId other = Arrive(2, 1);
  CHECK_EQUAL(other, Dispatches().back().request);
  for (int i = 0; i < 4; ++i) Arrive(1, 1);
  CHECK_EQUAL(6U, Dispatches().size());
  out_.clear();
  End(1);
  CHECK_EQUAL(1U, Dispatches().size());
}

// A body crashed two endpoints. If dispatched again, it would crash the next
// one.
TEST(Ladder, QuarantinedBodiesAreRefused) {
  FillAllSlots();
  const ep::RequestId waiting = Arrive(0);
  plugin_->on_quarantine(*state_, waiting, clock_.now + 10min, clock_.now,
                         out_);
  CHECK(FindRefusal(waiting)->reason == ep::RefuseReason::kQuarantined);
  ep::Request retry = MakeRequest(0);
  retry.fingerprint = waiting;
  Arrive(retry);
  CHECK(FindRefusal(retry.id)->reason == ep::RefuseReason::kQuarantined);
  CHECK_TRUE(FindRefusal(retry.id)->retry_after > 1s);
}

// An engine that must load the model first makes the caller wait for minutes.
TEST(Ladder, RequestsGoWhereTheModelIsLoaded) {
  auto rules = CopyRules();
  rules->targets.push_back({{"other", "load", 1, true}});
  for (er::Endpoint& endpoint : rules->endpoints) {
    endpoint.serves.push_back({1});
  }
  ApplyRules(rules);
  for (std::uint32_t i = 0; i < 4; ++i) {
    ep::EngineReport report;
    report.loaded = {ep::TargetHandle{i == 2 ? 0U : 1U}};
    plugin_->on_report(*state_, {i}, report, clock_.now);
  }
  for (int i = 0; i < 4; ++i) Arrive(0);
  CHECK_EQUAL(2U, Dispatches().size());
  CHECK_EQUAL(2U, Dispatches()[0].endpoint.idx);
  ep::EngineReport unloaded;  // No endpoint has it now: any may load it.
  unloaded.loaded = {ep::TargetHandle{1}};
  plugin_->on_report(*state_, {2}, unloaded, clock_.now);
  Tick(10ms);
  CHECK_EQUAL(4U, Dispatches().size());
}

// An attempt failed at one endpoint. A retry there would probably fail as well.
TEST(Ladder, RetryAvoidsTheFailedEndpoint) {
  for (int i = 0; i < 4; ++i) {
    ep::Request request = MakeRequest(0);
    request.attempt = 2;
    request.avoid.idx = 0;
    Arrive(request);
  }
  for (const ep::Dispatch& dispatch : Dispatches()) {
    CHECK_TRUE(dispatch.endpoint.idx != 0);
  }
}

// Several bodies are suspected of a crash. If two of them ran on one endpoint,
// a second death would not show which one is the cause.
TEST(Ladder, SuspectsRunOnDifferentEndpoints) {
  std::vector<std::uint32_t> used;
  for (int i = 0; i < 4; ++i) {
    ep::Request request = MakeRequest(0);
    request.suspect = true;
    Arrive(request);
    used.push_back(Dispatches().back().endpoint.idx);
  }
  std::sort(used.begin(), used.end());
  CHECK_TRUE(std::unique(used.begin(), used.end()) == used.end());
}

// Callers disconnect while they wait, and events arrive twice or too late.
TEST(Ladder, UnknownAndRepeatedEventsAreIgnored) {
  FillAllSlots();
  const ep::Request request = MakeRequest(0);
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

// Slots shrink below the number of requests in flight. None of these may be
// cancelled, and none may start until enough of them have ended.
TEST(Ladder, ShrunkSlotsDrainWithoutCancelling) {
  FillAllSlots();
  for (std::uint32_t i = 0; i < 4; ++i) SetSlots(i, 1);
  Arrive(0);
  End(1);
  End(2);
  End(3);
  End(4);
  const std::size_t running = 4 + Dispatches().size();
  CHECK_TRUE(running <= 5);
  for (const ep::EndpointView& endpoint :
       plugin_->view(*state_, clock_.now).endpoints) {
    CHECK_TRUE(endpoint.in_flight <= 2);
  }
}

// A request waits longer than its class allows. It must be refused with a time
// to retry.
TEST(Ladder, WaitsEndAtTheQueueDeadline) {
  FillAllSlots();
  const ep::RequestId id = Arrive(0);
  Tick(1700ms);
  CHECK_TRUE(FindRefusal(id) == nullptr);
  Tick(200ms);
  CHECK(FindRefusal(id)->reason == ep::RefuseReason::kWaitedTooLong);
  CHECK_TRUE(FindRefusal(id)->retry_after > 0ms);
}
