#include "egretladder/routing/placement_cost.h"

#include <algorithm>
#include <numeric>

namespace egretladder::routing {
namespace {

double RunningAt(const Endpoint& endpoint) {
  return endpoint.in_flight + endpoint.peers_in_flight;
}

bool IsGeneration(const CostAsk& ask) { return ask.demand.prompt_tokens > 0; }

// Engines read what they have admitted in turn, and admit by rank only while
// their slots are taken: until then all that waits is ahead, whatever its rank.
double TokensAhead(const Endpoint& endpoint, Tier tier) {
  const bool by_rank = RunningAt(endpoint) >= endpoint.entry.slots;
  double tokens = endpoint.peers_waiting_tokens;
  for (std::size_t i = 0; i < kTiers && (i <= tier || !by_rank); ++i) {
    tokens += endpoint.waiting_tokens[i];
  }
  return tokens;
}

double Queue(const CostAsk& ask) {
  const Endpoint& endpoint = ask.endpoint;
  const double running = RunningAt(endpoint);
  if (IsGeneration(ask)) {
    return TokensAhead(endpoint, ask.demand.tier) / kPromptTokensPerMs +
           running * kCostPerRunningMs;
  }
  const double mean = endpoint.health.mean_ms > 0 ? endpoint.health.mean_ms
                                                  : kServiceTimeUnknownMs;
  return mean * running / std::max<std::uint32_t>(endpoint.entry.slots, 1);
}

double Reading(const CostAsk& ask) {
  return ask.uncached.own / kPromptTokensPerMs;
}

double Again(const CostAsk& ask) {
  const double times = ask.preferred ? kSpillCost : kStrayCost;
  return std::min(ask.uncached.shared * times / kPromptTokensPerMs,
                  kAnewMostMs);
}

double PaceOfOwn(const CostAsk& ask) {
  if (!ask.demand.tight) return 0;
  return ask.demand.events *
         EventMs(ask.endpoint.pace, ask.pace, RunningAt(ask.endpoint));
}

double Drift(const CostAsk& ask) { return ask.endpoint.health.drift_ms; }

double Failing(const CostAsk& ask) {
  return FailingOf(ask.endpoint.health, ask.now) * kFailingMs;
}

double Silence(const CostAsk& ask) {
  return static_cast<double>(SilenceOf(ask.endpoint, ask.now).count());
}

double Zone(const CostAsk& ask) {
  return ask.endpoint.entry.zone != ask.fleet.zone ? kOtherZoneMs : 0;
}

double Cold(const CostAsk& ask) {
  double cost = ask.now < ask.endpoint.cold_until ? kColdMs : 0;
  if (ask.endpoint.phase == EndpointPhase::kLapsed) cost += kColdMs;
  return cost;
}

struct Term {
  const char* name;
  double (*ms)(const CostAsk& ask);
  bool before_first;  // Delays the request's own first event.
};

double NoTerm(const CostAsk& /*ask*/) { return 0; }

// In the order of `Mechanism`.
constexpr std::array<Term, kMechanisms> kTerms = {{
    {"queue", Queue, true},
    {"reading", Reading, true},
    {"again", Again, true},
    {"pace", PaceOfOwn, false},
    {"drift", Drift, true},
    {"failing", Failing, true},
    {"silence", Silence, true},
    {"zone", Zone, true},
    {"cold", Cold, true},
    {"sides", NoTerm, false},
    {"sessions", NoTerm, false},
}};

}  // namespace

double Costs::Total() const {
  return std::accumulate(ms.begin(), ms.end(), 0.0);
}

double Costs::UntilFirst() const {
  double sum = 0;
  for (std::size_t i = 0; i < kMechanisms; ++i) {
    if (kTerms[i].before_first) sum += ms[i];
  }
  return sum;
}

Costs CostsOf(const CostAsk& ask,
              const DisabledMechanisms& disabled_mechanisms) {
  Costs costs;
  for (std::size_t i = 0; i < kMechanisms; ++i) {
    if (!disabled_mechanisms.test(i)) costs.ms[i] = kTerms[i].ms(ask);
  }
  return costs;
}

const char* NameOf(Mechanism mechanism) {
  return kTerms[static_cast<std::size_t>(mechanism)].name;
}

std::optional<Mechanism> FindMechanism(std::string_view name) {
  for (std::size_t i = 0; i < kMechanisms; ++i) {
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

std::string Describe(const Costs& costs) {
  std::string text;
  for (std::size_t i = 0; i < kMechanisms; ++i) {
    const auto ms = static_cast<std::int64_t>(costs.ms[i]);
    if (ms == 0) continue;
    if (!text.empty()) text += ' ';
    text += std::string(kTerms[i].name) + '=' + std::to_string(ms);
  }
  return text;
}

}  // namespace egretladder::routing
