#include "egretladder/routing/placement_cost.h"

#include <algorithm>
#include <numeric>

namespace egretladder::routing {
namespace {

double RunningAt(const Endpoint& endpoint) {
  return endpoint.in_flight + endpoint.peers_in_flight;
}

bool IsGeneration(const CostInput& input) {
  return input.demand.prompt_tokens > 0;
}

// Returns the prompt tokens that the engine prefills before a request of
// `tier`. Engines prefill admitted requests in the order of admission, and
// admit by rank only while all slots are taken. With free slots, all waiting
// requests are ahead whatever their rank.
double TokensAhead(const Endpoint& endpoint, Tier tier) {
  const bool is_full = RunningAt(endpoint) >= endpoint.entry.slots;
  double tokens = endpoint.peers_waiting_tokens;
  for (std::size_t i = 0; i < kTiers && (i <= tier || !is_full); ++i) {
    tokens += endpoint.waiting_tokens[i];
  }
  return tokens;
}

double Queue(const CostInput& input) {
  const Endpoint& endpoint = input.endpoint;
  const double running = RunningAt(endpoint);
  if (IsGeneration(input)) {
    return TokensAhead(endpoint, input.demand.tier) / kPromptTokensPerMs +
           running * kCostPerRunningMs;
  }
  const double mean = endpoint.health.mean_answer_ms > 0
                          ? endpoint.health.mean_answer_ms
                          : kDefaultServiceTimeMs;
  return mean * running / std::max<std::uint32_t>(endpoint.entry.slots, 1);
}

double OwnRead(const CostInput& input) {
  return input.uncached.own / kPromptTokensPerMs;
}

double SharedReread(const CostInput& input) {
  const double factor =
      input.preferred ? kPreferredRereadFactor : kUnpreferredRereadFactor;
  return std::min(input.uncached.shared * factor / kPromptTokensPerMs,
                  kMaxRereadCostMs);
}

double OwnStreamPace(const CostInput& input) {
  if (!input.demand.tight) return 0;
  return input.demand.events * ExpectedEventMs(input.endpoint.pace, input.pace,
                                               RunningAt(input.endpoint));
}

double Drift(const CostInput& input) {
  return DriftAt(input.endpoint.health, input.now).count();
}

double Failing(const CostInput& input) {
  return FailureRate(input.endpoint.health, input.now) * kFailureCostMs;
}

double Overdue(const CostInput& input) {
  return static_cast<double>(OverdueTime(input.endpoint, input.now).count());
}

double Zone(const CostInput& input) {
  return input.endpoint.entry.zone != input.fleet.zone ? kOtherZoneCostMs : 0;
}

double Cold(const CostInput& input) {
  double cost = input.now < input.endpoint.cold_until ? kColdCostMs : 0;
  if (input.endpoint.phase == EndpointPhase::kLapsed) cost += kColdCostMs;
  return cost;
}

struct Term {
  const char* name;
  double (*ms)(const CostInput& input);
  bool delays_first_event;  // Counts in the wait for the first event.
};

double NoCost(const CostInput& /*input*/) { return 0; }

// One row per mechanism, in the order of the enumerators of `Mechanism`.
constexpr std::array<Term, kMechanismCount> kTerms = {{
    {"queue", Queue, true},
    {"reading", OwnRead, true},
    {"again", SharedReread, true},
    {"pace", OwnStreamPace, false},
    {"drift", Drift, true},
    {"failing", Failing, true},
    {"silence", Overdue, true},
    {"zone", Zone, true},
    {"cold", Cold, true},
    {"sides", NoCost, false},
    {"sessions", NoCost, false},
}};

}  // namespace

double PlacementCosts::Total() const {
  return std::accumulate(ms.begin(), ms.end(), 0.0);
}

double PlacementCosts::UntilFirstEvent() const {
  double sum = 0;
  for (std::size_t i = 0; i < kMechanismCount; ++i) {
    if (kTerms[i].delays_first_event) sum += ms[i];
  }
  return sum;
}

PlacementCosts ComputeCosts(const CostInput& input,
                            const DisabledMechanisms& disabled_mechanisms) {
  PlacementCosts costs;
  for (std::size_t i = 0; i < kMechanismCount; ++i) {
    if (!disabled_mechanisms.test(i)) costs.ms[i] = kTerms[i].ms(input);
  }
  return costs;
}

const char* NameOf(Mechanism mechanism) {
  return kTerms[static_cast<std::size_t>(mechanism)].name;
}

std::optional<Mechanism> FindMechanism(std::string_view name) {
  for (std::size_t i = 0; i < kMechanismCount; ++i) {
    if (kTerms[i].name == name) return static_cast<Mechanism>(i);
  }
  return std::nullopt;
}

std::string MechanismNames() {
  std::string names;
  for (const Term& term : kTerms) {
    if (!names.empty()) names += ", ";
    names += term.name;
  }
  return names;
}

std::string Describe(const PlacementCosts& costs) {
  std::string text;
  for (std::size_t i = 0; i < kMechanismCount; ++i) {
    const auto ms = static_cast<std::int64_t>(costs.ms[i]);
    if (ms == 0) continue;
    if (!text.empty()) text += ' ';
    text += std::string(kTerms[i].name) + '=' + std::to_string(ms);
  }
  return text;
}

}  // namespace egretladder::routing
