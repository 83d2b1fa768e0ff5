// Random operations on the ladder against a plain model of who waits, who runs
// and who must be let in.
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
constexpr std::uint32_t kWaitingMost = 12;

struct Model {
  ek::Random random;
  ek::ManualClock clock;
  const ep::SchedulerPlugin* plugin =
      ek::FindPlugin<ep::SchedulerPlugin>("ladder");
  std::unique_ptr<ep::SchedulerState> state;
  ep::load::Workload load;
  std::map<ep::RequestId, ep::Request> waiting;
  std::map<ep::RequestId, std::uint32_t> running;  // Endpoint.
  std::array<std::uint32_t, kEndpoints> slots{};
  std::array<bool, kEndpoints> available{};
  std::uint32_t zone_out = 99;
  std::uint64_t version = 0;
  ep::RequestId next = 0;
  ep::Actions out;

  explicit Model(std::uint64_t seed) : random(seed) {
    load.fleet = {2, kEndpoints, 3, 1, 4};
    load.classes = ep::load::SampleClasses();
    // Only caps and room decide here; time and the trickle have other tests.
    ep::Limits limits;
    limits.max_queue_length = kWaitingMost;
    limits.refuse_early = false;
    limits.reserve_factor = 0;
    limits.aging_share = 0;
    limits.zone_ramp_initial_ratio = 1;
    limits.slow_ratio = 0;
    limits.failures_in_row = 1'000'000;
    state = plugin->create({ep::ZoneHandle{0}, seed, limits});
    available.fill(true);
    SetRules();
  }

  void SetRules() {
    std::vector<std::uint32_t> zones;
    if (zone_out < 2) zones.push_back(zone_out);
    auto rules = std::make_shared<egretladder::rules::Rules>(
        *ep::load::MakeRules(load, ++version, zones));
    for (auto& cls : rules->classes) cls.waiting = kClassCap;
    for (auto& account : rules->accounts) account.waiting = kAccountCap;
    plugin->on_rules(*state, rules, clock.now, out);
  }

  std::uint8_t TierOf(const ep::Request& request) const {
    return load.classes[request.cls.idx].tier;
  }
  bool TakesWork(std::uint32_t endpoint) const {
    return available[endpoint] && endpoint % 2 != zone_out;
  }
  std::uint32_t InFlight(std::uint32_t endpoint) const {
    return static_cast<std::uint32_t>(
        std::count_if(running.begin(), running.end(),
                      [&](const auto& one) { return one.second == endpoint; }));
  }
  bool AnyFree() const {
    for (std::uint32_t i = 0; i < kEndpoints; ++i) {
      if (TakesWork(i) && InFlight(i) < slots[i]) return true;
    }
    return false;
  }
  template <typename Predicate>
  std::uint32_t CountWaiting(Predicate predicate) const {
    return static_cast<std::uint32_t>(
        std::count_if(waiting.begin(), waiting.end(),
                      [&](const auto& one) { return predicate(one.second); }));
  }

  // What becomes of an arrival; nothing: it is let in.
  std::optional<ep::RefuseReason> Expected(const ep::Request& request) const {
    bool anywhere = false;
    for (std::uint32_t i = 0; i < kEndpoints; ++i) anywhere |= TakesWork(i);
    if (!anywhere) return ep::RefuseReason::kNoEndpoint;
    if (AnyFree()) return std::nullopt;
    const auto of_class = CountWaiting(
        [&](const ep::Request& r) { return r.cls == request.cls; });
    if (of_class >= kClassCap) return ep::RefuseReason::kClassCap;
    const auto of_account = CountWaiting(
        [&](const ep::Request& r) { return r.account == request.account; });
    if (of_account >= kAccountCap) return ep::RefuseReason::kAccountCap;
    if (waiting.size() < kWaitingMost) return std::nullopt;
    const auto lower = CountWaiting(
        [&](const ep::Request& r) { return TierOf(r) > TierOf(request); });
    if (lower > 0 || SomeoneIsOverShare(request)) return std::nullopt;
    return ep::RefuseReason::kQueueFull;
  }

  // An account with more than twice as much in the class makes room.
  bool SomeoneIsOverShare(const ep::Request& request) const {
    std::array<std::uint32_t, 4> by_account{};
    for (const auto& [id, one] : waiting) {
      if (one.cls == request.cls) ++by_account[one.account.idx];
    }
    const std::uint32_t own = by_account[request.account.idx];
    return *std::max_element(by_account.begin(), by_account.end()) >
           2 * (own + 1);
  }

  void Apply() {
    for (const ep::Action& action : out) {
      if (const auto* dispatch = std::get_if<ep::Dispatch>(&action)) {
        const std::uint32_t endpoint = dispatch->endpoint.idx;
        const auto it = waiting.find(dispatch->request);
        CHECK_TRUE(it != waiting.end());
        CHECK_TRUE(TakesWork(endpoint));
        CHECK_TRUE(InFlight(endpoint) < slots[endpoint]);
        const auto higher = CountWaiting([&](const ep::Request& r) {
          return TierOf(r) < TierOf(it->second);
        });
        CHECK_EQUAL(0U, higher);
        waiting.erase(it);
        running[dispatch->request] = endpoint;
      } else if (const auto* refuse = std::get_if<ep::Refuse>(&action)) {
        const auto it = waiting.find(refuse->request);
        CHECK_TRUE(it != waiting.end());
        if (refuse->reason == ep::RefuseReason::kShedForHigherTier) {
          const auto lower = CountWaiting([&](const ep::Request& r) {
            return TierOf(r) > TierOf(it->second);
          });
          CHECK_EQUAL(0U, lower);
        }
        waiting.erase(it);
      } else {
        FAIL("an action that the ladder does not take");
      }
    }
    out.clear();
    CHECK_TRUE(waiting.empty() || !AnyFree());  // Nothing waits for no reason.
  }

  void Arrive() {
    ep::Request request;
    request.id = ++next;
    request.cls.idx = static_cast<std::uint32_t>(ek::RandomBelow(random, 4));
    request.account.idx =
        static_cast<std::uint32_t>(ek::RandomBelow(random, 4));
    request.target.idx = 0;
    request.arrived = clock.now;
    request.deadline = clock.now + load.classes[request.cls.idx].first_token;
    const auto expected = Expected(request);
    waiting[request.id] = request;
    plugin->on_arrival(*state, request, clock.now, out);
    std::optional<ep::RefuseReason> got;
    for (const ep::Action& action : out) {
      const auto* refuse = std::get_if<ep::Refuse>(&action);
      if (refuse != nullptr && refuse->request == request.id) {
        got = refuse->reason;
      }
    }
    CHECK_TRUE(got == expected);
  }

  void EndOne() {
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

  void Step() {
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
        return EndOne();
      default:
        return Arrive();
    }
  }
};

}  // namespace

TEST_GROUP(LadderRandom){};

// Zones come and go while endpoints die, leases shrink and callers leave. A
// request that falls between the tables is never answered.
TEST(LadderRandom, AgreesWithAPlainModelOverManySeeds) {
  for (std::uint64_t seed = 1; seed <= 80; ++seed) {
    Model model(seed);
    for (int step = 0; step < 600; ++step) {
      model.Step();
      model.Apply();
    }
    std::uint32_t waits = 0;
    std::uint32_t runs = 0;
    for (const ep::ClassView& cls :
         model.plugin->view(*model.state, model.clock.now).classes) {
      waits += cls.waiting;
      runs += cls.running;
    }
    CHECK_EQUAL(model.waiting.size(), waits);
    CHECK_EQUAL(model.running.size(), runs);
  }
}
