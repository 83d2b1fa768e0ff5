// The load that a run plays: who sends what and when, from one seed.
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
inline constexpr DoubleSeconds kBetweenTokens{0.02};
inline constexpr DoubleSeconds kFirstToken{0.5};

/// How long the answers of a class are.
struct Work {
  double mean_tokens = 80;
  double spread = 0.5;    ///< Sigma of the logarithm.
  double long_share = 0;  ///< Part of requests that are `long_times` longer.
  double long_times = 20;
  DoubleSeconds first_token =
      kFirstToken;  ///< Unloaded, without a cached prefix.
};

/// Requests of one class from some accounts.
struct Stream {
  std::uint32_t cls = 0;
  double load = 0;  ///< Of the fleet's slots.
  DoubleSeconds from{0};
  DoubleSeconds to{60};
  std::vector<double> accounts = {1};  ///< Weights.
  std::uint32_t prefixes = 0;          ///< 0: none.
  double hot_prefixes = 0;             ///< Part of requests with 3 prefixes.
};

struct ClassSpec {
  std::string name;
  std::uint8_t tier = 1;
  std::chrono::milliseconds first_token{1800};
  std::chrono::milliseconds max_wait{1800};
  Work work;
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
  std::vector<Stream> streams;
  DoubleSeconds length{60};
  /// Each so-manieth request is one and the same body that crashes engines.
  std::uint64_t poison_every = 0;
};

inline constexpr std::uint64_t kPoisonBody = ~std::uint64_t{0};

/// Abay's classes: buyers' questions, quotes, record checks, trace summaries.
inline std::vector<ClassSpec> SampleClasses() {
  return {{"buyer", 1, 1800ms, 1800ms, {80, 0.5}},
          {"quote", 2, 4000ms, 4000ms, {100, 0.5}},
          {"check", 3, 10s, 30s, {60, 0.5}},
          {"summary", 5, 60s, 10min, {500, 0.8}}};
}

/// One request as the world knows it; the scheduler doesn't see `tokens`.
struct Planned {
  Request request;
  std::uint32_t tokens = 1;
};

inline double Normal(kernel::Random& random) {
  const double u = 1.0 - kernel::RandomFraction(random);
  const double v = kernel::RandomFraction(random);
  return std::sqrt(-2 * std::log(u)) * std::cos(2 * 3.141592653589793 * v);
}

inline std::uint32_t DrawTokens(kernel::Random& random, const Work& work) {
  const double at_median = std::exp(work.spread * Normal(random));
  const double correction = std::exp(-work.spread * work.spread / 2);
  double tokens = work.mean_tokens * at_median * correction;
  if (kernel::RandomFraction(random) < work.long_share)
    tokens *= work.long_times;
  return static_cast<std::uint32_t>(std::clamp(tokens, 1.0, 20'000.0));
}

inline double SlotSeconds(const Work& work) {
  const double times = 1 + work.long_share * (work.long_times - 1);
  return work.first_token.count() +
         work.mean_tokens * times * kBetweenTokens.count();
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

inline std::uint64_t DrawPrefix(kernel::Random& random, const Stream& stream) {
  if (stream.prefixes == 0) return 0;
  const bool hot = kernel::RandomFraction(random) < stream.hot_prefixes;
  const std::uint64_t number =
      hot ? kernel::RandomBelow(random, 3)
          : 3 + kernel::RandomBelow(random, stream.prefixes);
  return kernel::HashBytes("prefix " + std::to_string(number));
}

inline Time At(DoubleSeconds since_start) {
  return kStart +
         std::chrono::duration_cast<std::chrono::nanoseconds>(since_start);
}

/// Draws the arrivals of all streams (Poisson), in order of time.
inline std::vector<Planned> PlanArrivals(const Workload& load) {
  kernel::Random random(load.seed);
  std::vector<Planned> planned;
  const double slots = load.fleet.endpoints * load.fleet.max_in_flight;
  for (const Stream& stream : load.streams) {
    const ClassSpec& cls = load.classes[stream.cls];
    const double rate = stream.load * slots / SlotSeconds(cls.work);
    DoubleSeconds at = stream.from;
    while (rate > 0) {
      at +=
          DoubleSeconds(-std::log(1.0 - kernel::RandomFraction(random)) / rate);
      if (at >= stream.to) break;
      Planned one;
      one.request.cls.idx = stream.cls;
      one.request.account.idx = DrawAccount(random, stream.accounts);
      one.request.target.idx = 0;
      one.request.prefix = DrawPrefix(random, stream);
      one.request.arrived = At(at);
      one.request.deadline = one.request.arrived + cls.first_token;
      one.tokens = DrawTokens(random, cls.work);
      planned.push_back(one);
    }
  }
  std::stable_sort(planned.begin(), planned.end(),
                   [](const Planned& left, const Planned& right) {
                     return left.request.arrived < right.request.arrived;
                   });
  for (std::size_t i = 0; i < planned.size(); ++i) {
    planned[i].request.id = i + 1;
    planned[i].request.fingerprint = i + 1;
  }
  return planned;
}

/// The rules of a load, with some zones taken out.
inline rules::RulesPtr MakeRules(const Workload& load, std::uint64_t version,
                                 const std::vector<std::uint32_t>& zones_out) {
  auto made = std::make_shared<rules::Rules>();
  made->version = version;
  for (std::uint32_t i = 0; i < load.fleet.zones; ++i) {
    const bool out =
        std::find(zones_out.begin(), zones_out.end(), i) != zones_out.end();
    made->zones.push_back(
        {{"zone-" + std::to_string(i), "load", 1, true}, "addis", out});
  }
  made->targets.push_back({{"model", "load", 1, true}});
  for (const ClassSpec& spec : load.classes) {
    rules::Class cls;
    cls.source = {spec.name, "load", 1, true};
    cls.tier = spec.tier;
    cls.first_token = spec.first_token;
    cls.max_wait = spec.max_wait;
    made->classes.push_back(cls);
  }
  for (std::uint32_t i = 0; i < load.fleet.accounts; ++i) {
    rules::Account account;
    account.source = {"account-" + std::to_string(i), "load", 1, true};
    made->accounts.push_back(account);
  }
  for (std::uint32_t i = 0; i < load.fleet.endpoints; ++i) {
    rules::Endpoint endpoint;
    endpoint.source = {"engine-" + std::to_string(i), "load", 1, true};
    endpoint.zone.idx = i % load.fleet.zones;
    endpoint.serves = {TargetHandle{0}};
    endpoint.max_in_flight = load.fleet.max_in_flight;
    endpoint.cold_max_in_flight = load.fleet.cold_max_in_flight;
    made->endpoints.push_back(endpoint);
  }
  return made;
}

}  // namespace egretladder::policy::load
