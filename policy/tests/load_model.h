// The model of a workload: which requests arrive when, drawn from one seed.
#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "egretladder/kernel/hash.h"
#include "egretladder/policy/scheduler.h"
#include "egretladder/rules/rules.h"

namespace egretladder::policy::load {

using DoubleSeconds = std::chrono::duration<double>;
using namespace std::chrono_literals;

inline constexpr Time kStart{std::chrono::hours(1)};
inline constexpr DoubleSeconds kTimePerToken{0.02};
inline constexpr DoubleSeconds kUnloadedTimeToFirstToken{0.5};

/// Distribution of the answers of a class.
struct WorkModel {
  double mean_tokens = 80;
  double spread = 0.5;    ///< Standard deviation of the logarithm.
  double long_share = 0;  ///< Ratio of answers `long_factor` as long.
  double long_factor = 20;
  /// Time to first token on an idle engine, without a cached prefix.
  DoubleSeconds first_token = kUnloadedTimeToFirstToken;
};

/// A Poisson stream of requests of one class.
struct ArrivalStream {
  std::uint32_t cls = 0;
  double load = 0;  ///< Relative to the fleet's capacity.
  DoubleSeconds from{0};
  DoubleSeconds to{60};
  std::vector<double> accounts = {1};  ///< Weight by account.
  std::uint32_t prefixes = 0;          ///< Number of prefixes; 0: none.
  double hot_prefix_ratio = 0;         ///< Requests with one of 3 hot prefixes.
};

struct ClassSpec {
  std::string name;
  std::uint8_t tier = 1;
  std::chrono::milliseconds first_token{1800};
  std::chrono::milliseconds max_wait{1800};
  WorkModel work_model;
};

struct FleetSpec {
  std::uint32_t zones = 3;
  std::uint32_t endpoints = 12;
  std::uint32_t max_in_flight = 8;
  std::uint32_t cold_max_in_flight = 1;
  std::uint32_t accounts = 10;
  bool starts_cold = false;
};

struct Workload {
  std::string name;
  std::uint64_t seed = 1;
  FleetSpec fleet;
  std::vector<ClassSpec> classes;
  std::vector<ArrivalStream> streams;
  DoubleSeconds length{60};
  /// Every request whose number is a multiple of this has the same body, which
  /// crashes engines; 0: none.
  std::uint64_t poison_interval = 0;
};

inline constexpr std::uint64_t kPoisonBody = ~std::uint64_t{0};

/// Sample classes: buyers' questions, quotes, record checks and trace
/// summaries.
inline std::vector<ClassSpec> SampleClasses() {
  return {{"buyer", 1, 1800ms, 1800ms, {80, 0.5}},
          {"quote", 2, 4000ms, 4000ms, {100, 0.5}},
          {"check", 3, 10s, 30s, {60, 0.5}},
          {"summary", 5, 60s, 10min, {500, 0.8}}};
}

/// A planned request. The scheduler doesn't know `tokens` in advance.
struct PlannedRequest {
  Request request;
  std::uint32_t tokens = 1;
};

/// Draws from the standard normal distribution (Box-Muller transform).
inline double DrawNormal(kernel::Random& random) {
  const double u = 1.0 - kernel::RandomFraction(random);
  const double v = kernel::RandomFraction(random);
  return std::sqrt(-2 * std::log(u)) * std::cos(2 * 3.141592653589793 * v);
}

inline std::uint32_t DrawTokens(kernel::Random& random,
                                const WorkModel& work_model) {
  const double spread_factor = std::exp(work_model.spread * DrawNormal(random));
  const double mean_correction =
      std::exp(-work_model.spread * work_model.spread / 2);
  double tokens = work_model.mean_tokens * spread_factor * mean_correction;
  if (kernel::RandomFraction(random) < work_model.long_share)
    tokens *= work_model.long_factor;
  return static_cast<std::uint32_t>(std::clamp(tokens, 1.0, 20'000.0));
}

/// Returns the mean slot time of an attempt on an idle engine, in seconds.
inline double MeanSlotSeconds(const WorkModel& work_model) {
  const double factor =
      1 + work_model.long_share * (work_model.long_factor - 1);
  return work_model.first_token.count() +
         work_model.mean_tokens * factor * kTimePerToken.count();
}

inline std::uint32_t DrawAccount(kernel::Random& random,
                                 const std::vector<double>& weights) {
  double total = 0;
  for (const double weight : weights) total += weight;
  double drawn = kernel::RandomFraction(random) * total;
  for (std::uint32_t i = 0; i < weights.size(); ++i) {
    if (drawn < weights[i]) return i;
    drawn -= weights[i];
  }
  return static_cast<std::uint32_t>(weights.size() - 1);
}

inline std::uint64_t DrawPrefix(kernel::Random& random,
                                const ArrivalStream& stream) {
  if (stream.prefixes == 0) return 0;
  const bool is_hot = kernel::RandomFraction(random) < stream.hot_prefix_ratio;
  const std::uint64_t number =
      is_hot ? kernel::RandomBelow(random, 3)
             : 3 + kernel::RandomBelow(random, stream.prefixes);
  return kernel::HashBytes("prefix " + std::to_string(number));
}

inline Time TimeAt(DoubleSeconds since_start) {
  return kStart +
         std::chrono::duration_cast<std::chrono::nanoseconds>(since_start);
}

/// Draws the Poisson arrivals of all streams, in order of time.
inline std::vector<PlannedRequest> PlanArrivals(const Workload& workload) {
  kernel::Random random(workload.seed);
  std::vector<PlannedRequest> planned;
  const double slots = workload.fleet.endpoints * workload.fleet.max_in_flight;
  for (const ArrivalStream& stream : workload.streams) {
    const ClassSpec& cls = workload.classes[stream.cls];
    const double rate = stream.load * slots / MeanSlotSeconds(cls.work_model);
    DoubleSeconds at = stream.from;
    while (rate > 0) {
      at +=
          DoubleSeconds(-std::log(1.0 - kernel::RandomFraction(random)) / rate);
      if (at >= stream.to) break;
      PlannedRequest arrival;
      arrival.request.cls.idx = stream.cls;
      arrival.request.account.idx = DrawAccount(random, stream.accounts);
      arrival.request.target.idx = 0;
      arrival.request.prefix = DrawPrefix(random, stream);
      arrival.request.arrived = TimeAt(at);
      arrival.request.deadline = arrival.request.arrived + cls.first_token;
      arrival.tokens = DrawTokens(random, cls.work_model);
      planned.push_back(arrival);
    }
  }
  std::stable_sort(planned.begin(), planned.end(),
                   [](const PlannedRequest& left, const PlannedRequest& right) {
                     return left.request.arrived < right.request.arrived;
                   });
  for (std::size_t i = 0; i < planned.size(); ++i) {
    planned[i].request.id = i + 1;
    planned[i].request.fingerprint = i + 1;
  }
  return planned;
}

/// Returns the rules of a workload with some zones taken out.
inline rules::RulesPtr MakeRules(const Workload& workload,
                                 std::uint64_t version,
                                 const std::vector<std::uint32_t>& zones_out) {
  auto new_rules = std::make_shared<rules::Rules>();
  new_rules->version = version;
  for (std::uint32_t i = 0; i < workload.fleet.zones; ++i) {
    const bool out =
        std::find(zones_out.begin(), zones_out.end(), i) != zones_out.end();
    new_rules->zones.push_back(
        {{"zone-" + std::to_string(i), "load", 1, true}, "addis", out});
  }
  new_rules->targets.push_back({{"model", "load", 1, true}});
  for (const ClassSpec& spec : workload.classes) {
    rules::Class cls;
    cls.source = {spec.name, "load", 1, true};
    cls.tier = spec.tier;
    cls.first_token = spec.first_token;
    cls.max_wait = spec.max_wait;
    new_rules->classes.push_back(cls);
  }
  for (std::uint32_t i = 0; i < workload.fleet.accounts; ++i) {
    rules::Account account;
    account.source = {"account-" + std::to_string(i), "load", 1, true};
    new_rules->accounts.push_back(account);
  }
  for (std::uint32_t i = 0; i < workload.fleet.endpoints; ++i) {
    rules::Endpoint endpoint;
    endpoint.source = {"engine-" + std::to_string(i), "load", 1, true};
    endpoint.zone.idx = i % workload.fleet.zones;
    endpoint.serves = {TargetHandle{0}};
    endpoint.max_in_flight = workload.fleet.max_in_flight;
    endpoint.cold_max_in_flight = workload.fleet.cold_max_in_flight;
    new_rules->endpoints.push_back(endpoint);
  }
  return new_rules;
}

}  // namespace egretladder::policy::load
