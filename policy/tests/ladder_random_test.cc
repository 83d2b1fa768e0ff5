// Compares the scheduler "ladder" under random operations with a reference
// model of which requests wait, run and must be admitted.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "egretladder/kernel/hash.h"
#include "egretladder/kernel/registry.h"
#include "egretladder/policy/scheduler.h"
#include "load_model.h"

using namespace std::chrono_literals;
namespace ep = egretladder::policy;
namespace ek = egretladder::kernel;

namespace {

constexpr std::uint32_t kEndpoints = 5;
constexpr std::uint32_t kClassCap = 6;
constexpr std::uint32_t kAccountCap = 4;
constexpr std::uint32_t kMaxQueueLength = 12;

struct ReferenceModel {
  ek::Random random;
  ek::ManualClock clock;
  const ep::SchedulerPlugin* plugin =
      ek::FindPlugin<ep::SchedulerPlugin>("ladder");
  std::unique_ptr<ep::SchedulerState> state;
  ep::load::Workload workload;
  std::map<ep::RequestId, ep::Request> waiting;
  std::map<ep::RequestId, std::uint32_t> running;  // Endpoint by request.
  std::array<std::uint32_t, kEndpoints> slots{};
  std::array<bool, kEndpoints> available{};
  std::uint32_t zone_out = 99;
  std::uint64_t version = 0;
  ep::RequestId last_id = 0;
  ep::Actions out;

  explicit ReferenceModel(std::uint64_t seed) : random(seed) {
    workload.fleet = {2, kEndpoints, 3, 1, 4};
    workload.classes = ep::load::SampleClasses();
    // Only caps and the queue's length decide here. Deadlines, the aging quota
    // and endpoint health are switched off and have other tests.
    ep::Limits limits;
    limits.max_queue_length = kMaxQueueLength;
    limits.refuse_early = false;
    limits.reserve_factor = 0;
    limits.aging_share = 0;
    limits.zone_ramp_initial_ratio = 1;
    limits.slow_ratio = 0;
    limits.failures_to_eject = 1'000'000;
    state = plugin->create({ep::ZoneHandle{0}, seed, limits});
    available.fill(true);
    SetRules();
  }

  void SetRules() {
    std::vector<std::uint32_t> zones;
    if (zone_out < 2) zones.push_back(zone_out);
    auto rules = std::make_shared<egretladder::rules::Rules>(
        *ep::load::MakeRules(workload, ++version, zones));
    for (auto& cls : rules->classes) cls.waiting = kClassCap;
    for (auto& account : rules->accounts) account.waiting = kAccountCap;
    plugin->on_rules(*state, rules, clock.now, out);
  }

  std::uint8_t GetTier(const ep::Request& request) const {
    return workload.classes[request.cls.idx].tier;
  }
  bool CanTakeWork(std::uint32_t endpoint) const {
    return available[endpoint] && endpoint % 2 != zone_out;
  }
  std::uint32_t InFlight(std::uint32_t endpoint) const {
    return static_cast<std::uint32_t>(std::count_if(
        running.begin(), running.end(),
        [&](const auto& entry) { return entry.second == endpoint; }));
  }
  bool HasFreeSlot() const {
    for (std::uint32_t i = 0; i < kEndpoints; ++i) {
      if (CanTakeWork(i) && InFlight(i) < slots[i]) return true;
    }
    return false;
  }
  template <typename Predicate>
  std::uint32_t CountWaiting(Predicate predicate) const {
    return static_cast<std::uint32_t>(std::count_if(
        waiting.begin(), waiting.end(),
        [&](const auto& entry) { return predicate(entry.second); }));
  }

  // Returns the expected refusal of an arriving request; nothing: admitted.
  std::optional<ep::RefuseReason> ExpectedRefusal(
      const ep::Request& request) const {
    bool any_available = false;
    for (std::uint32_t i = 0; i < kEndpoints; ++i)
      any_available |= CanTakeWork(i);
    if (!any_available) return ep::RefuseReason::kNoEndpoint;
    if (HasFreeSlot()) return std::nullopt;
    const auto waiting_of_class = CountWaiting(
        [&](const ep::Request& r) { return r.cls == request.cls; });
    if (waiting_of_class >= kClassCap) return ep::RefuseReason::kClassCap;
    const auto waiting_of_account = CountWaiting(
        [&](const ep::Request& r) { return r.account == request.account; });
    if (waiting_of_account >= kAccountCap) return ep::RefuseReason::kAccountCap;
    if (waiting.size() < kMaxQueueLength) return std::nullopt;
    const auto lower = CountWaiting(
        [&](const ep::Request& r) { return GetTier(r) > GetTier(request); });
    if (lower > 0 || IsAnyAccountOverShare(request)) return std::nullopt;
    return ep::RefuseReason::kQueueFull;
  }

  // Returns true when another account has more than twice as many requests in
  // the class, so that one of them is shed.
  bool IsAnyAccountOverShare(const ep::Request& request) const {
    std::array<std::uint32_t, 4> by_account{};
    for (const auto& [id, entry] : waiting) {
      if (entry.cls == request.cls) ++by_account[entry.account.idx];
    }
    const std::uint32_t own = by_account[request.account.idx];
    return *std::max_element(by_account.begin(), by_account.end()) >
           2 * (own + 1);
  }

  void ApplyActions() {
    for (const ep::Action& action : out) {
      if (const auto* dispatch = std::get_if<ep::Dispatch>(&action)) {
        const std::uint32_t endpoint = dispatch->endpoint.idx;
        const auto it = waiting.find(dispatch->request);
        CHECK_TRUE(it != waiting.end());
        CHECK_TRUE(CanTakeWork(endpoint));
        CHECK_TRUE(InFlight(endpoint) < slots[endpoint]);
        const auto higher = CountWaiting([&](const ep::Request& r) {
          return GetTier(r) < GetTier(it->second);
        });
        CHECK_EQUAL(0U, higher);
        waiting.erase(it);
        running[dispatch->request] = endpoint;
      } else if (const auto* refuse = std::get_if<ep::Refuse>(&action)) {
        const auto it = waiting.find(refuse->request);
        CHECK_TRUE(it != waiting.end());
        if (refuse->reason == ep::RefuseReason::kShedForHigherTier) {
          const auto lower = CountWaiting([&](const ep::Request& r) {
            return GetTier(r) > GetTier(it->second);
          });
          CHECK_EQUAL(0U, lower);
        }
        waiting.erase(it);
      } else {
        FAIL("the ladder must not preempt");
      }
    }
    out.clear();
    CHECK_TRUE(waiting.empty() || !HasFreeSlot());  // No slot is left idle.
  }

  void Arrive() {
    ep::Request request;
    request.id = ++last_id;
    request.cls.idx = static_cast<std::uint32_t>(ek::RandomBelow(random, 4));
    request.account.idx =
        static_cast<std::uint32_t>(ek::RandomBelow(random, 4));
    request.target.idx = 0;
    request.arrived = clock.now;
    request.deadline =
        clock.now + workload.classes[request.cls.idx].first_token;
    const auto expected = ExpectedRefusal(request);
    waiting[request.id] = request;
    plugin->on_arrival(*state, request, clock.now, out);
    std::optional<ep::RefuseReason> actual;
    for (const ep::Action& action : out) {
      const auto* refuse = std::get_if<ep::Refuse>(&action);
      if (refuse != nullptr && refuse->request == request.id) {
        actual = refuse->reason;
      }
    }
    CHECK_TRUE(actual == expected);
  }

  void EndRandomAttempt() {
    if (running.empty()) return;
    auto it = running.begin();
    std::advance(it, static_cast<std::ptrdiff_t>(
                         ek::RandomBelow(random, running.size())));
    const ep::RequestId id = it->first;
    running.erase(it);
    constexpr std::array kKinds = {ep::EndKind::kDone, ep::EndKind::kFailed,
                                   ep::EndKind::kNotRun,
                                   ep::EndKind::kCancelled};
    plugin->on_end(*state, id, kKinds[ek::RandomBelow(random, kKinds.size())],
                   clock.now, out);
  }

  void RunRandomStep() {
    const auto endpoint =
        static_cast<std::uint32_t>(ek::RandomBelow(random, kEndpoints));
    switch (ek::RandomBelow(random, 16)) {
      case 0:
        slots[endpoint] =
            static_cast<std::uint32_t>(ek::RandomBelow(random, 4));
        return plugin->on_slots(*state, {endpoint}, slots[endpoint], clock.now,
                                out);
      case 1:
        available[endpoint] = ek::RandomBelow(random, 3) > 0;
        return plugin->on_available(*state, {endpoint}, available[endpoint],
                                    clock.now, out);
      case 2:
        zone_out = static_cast<std::uint32_t>(ek::RandomBelow(random, 6));
        return SetRules();
      case 3:
        if (waiting.empty()) return;
        plugin->on_caller_gone(*state, waiting.begin()->first, clock.now);
        waiting.erase(waiting.begin());
        return;
      case 4:
      case 5:
        ek::Advance(clock, 200ms);
        return plugin->on_tick(*state, clock.now, out);
      case 6:
      case 7:
      case 8:
      case 9:
        return EndRandomAttempt();
      default:
        return Arrive();
    }
  }
};

}  // namespace

TEST_GROUP(LadderRandom){};

// Zones are taken out and return while endpoints die, leases shrink and callers
// disconnect. A request that is lost between the tables would never be
// answered.
TEST(LadderRandom, AgreesWithReferenceModelOverManySeeds) {
  for (std::uint64_t seed = 1; seed <= 80; ++seed) {
    ReferenceModel model(seed);
    for (int step = 0; step < 600; ++step) {
      model.RunRandomStep();
      model.ApplyActions();
    }
    std::uint32_t waiting_in_view = 0;
    std::uint32_t running_in_view = 0;
    for (const ep::ClassView& cls :
         model.plugin->view(*model.state, model.clock.now).classes) {
      waiting_in_view += cls.waiting;
      running_in_view += cls.running;
    }
    CHECK_EQUAL(model.waiting.size(), waiting_in_view);
    CHECK_EQUAL(model.running.size(), running_in_view);
  }
}
