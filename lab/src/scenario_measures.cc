// What a run measured, and whether it met the scenario's expectations.
#include <algorithm>
#include <cmath>
#include <sstream>

#include "scenario_world_p.h"

namespace egretladder::lab {
namespace {

/// The last part of a run is not judged by `sent`: its calls had no time.
constexpr milliseconds kTail{5000};

/// The wishes that a measure looks at.
struct Window {
  std::string cls;  ///< Empty: all.
  milliseconds from{0};
  milliseconds to = kNever;
};

milliseconds Millis(Time::duration span) {
  return std::chrono::duration_cast<milliseconds>(span);
}

milliseconds CreatedAt(const World& world, const Wish& wish) {
  return Millis(wish.created - world.start);
}

bool IsIn(const World& world, const Wish& wish, const Window& window) {
  const milliseconds at = CreatedAt(world, wish);
  const bool of_class =
      window.cls.empty() || LoadOf(world, wish).cls == window.cls;
  // What is still open at the very end says nothing yet.
  const bool unripe =
      wish.outcome == Outcome::kOpen && at > world.scenario->run - kTail;
  return of_class && at >= window.from && at < window.to && !unripe &&
         !LoadOf(world, wish).poison;
}

bool InTime(const World& world, const Wish& wish) {
  const rules::Class* cls = ClassRule(world, LoadOf(world, wish).cls);
  return wish.outcome == Outcome::kServed && wish.first_token &&
         cls != nullptr && *wish.first_token - wish.created <= cls->first_token;
}

/// From the wish to its first token, or else to its end or the run's.
milliseconds WaitOf(const World& world, const Wish& wish) {
  if (wish.first_token) return Millis(*wish.first_token - wish.created);
  return Millis(wish.ended.value_or(Now(*world.driver)) - wish.created);
}

milliseconds Quantile(std::vector<milliseconds>& sorted, double share) {
  if (sorted.empty()) return milliseconds(0);
  const auto rank = static_cast<std::size_t>(
      std::lround(share * static_cast<double>(sorted.size() - 1)));
  return sorted[rank];
}

void CountOutcome(ClassRow& row, Outcome outcome) {
  switch (outcome) {
    case Outcome::kServed:
      ++row.served;
      return;
    case Outcome::kRefused:
      ++row.refused;
      return;
    case Outcome::kUnknown:
      ++row.unknown;
      return;
    case Outcome::kOpen:
    case Outcome::kLeft:
      ++row.left;
      return;
  }
}

ClassRow MeasureClass(const World& world, const Window& window) {
  ClassRow row;
  row.cls = window.cls;
  std::vector<milliseconds> first_tokens;
  for (const Wish& wish : world.wishes) {
    if (!IsIn(world, wish, window)) continue;
    ++row.sent;
    CountOutcome(row, wish.outcome);
    if (InTime(world, wish)) ++row.in_time;
    if (wish.first_token) first_tokens.push_back(WaitOf(world, wish));
    row.worst = std::max(row.worst, WaitOf(world, wish));
  }
  if (row.sent > 0) {
    row.attainment =
        static_cast<double>(row.in_time) / static_cast<double>(row.sent);
  }
  std::sort(first_tokens.begin(), first_tokens.end());
  row.p50 = Quantile(first_tokens, 0.5);
  row.p95 = Quantile(first_tokens, 0.95);
  row.p99 = Quantile(first_tokens, 0.99);
  return row;
}

struct Waste {
  std::uint64_t tokens = 0;
  std::uint64_t useless = 0;
  std::uint64_t deaths = 0;
  std::uint64_t overloads = 0;
};

Waste MeasureWaste(const World& world) {
  Waste waste;
  for (const FakeEndpoint& endpoint : world.endpoints) {
    waste.tokens += endpoint.engine.counts.tokens;
    waste.deaths += endpoint.deaths + endpoint.overloads;
    waste.overloads += endpoint.overloads;
  }
  std::uint64_t useful = 0;
  for (const Wish& wish : world.wishes) {
    if (wish.outcome == Outcome::kServed) useful += wish.output;
  }
  waste.useless = waste.tokens > useful ? waste.tokens - useful : 0;
  return waste;
}

double PerSecond(const World& world, std::uint64_t count) {
  const std::chrono::duration<double> run = world.scenario->run;
  return static_cast<double>(count) / run.count();
}

std::uint64_t TallyOf(const World& world, const std::string& name) {
  const auto at = world.tally.find(name);
  return at == world.tally.end() ? 0 : at->second;
}

/// Calls that reached the endpoints of a zone, or one endpoint, in a window.
double NewWork(const World& world, const ExpectSpec& expect) {
  std::uint64_t count = 0;
  for (const Start& start : world.starts) {
    const FakeEndpoint& endpoint = world.endpoints[start.endpoint];
    const milliseconds at = Millis(start.when - world.start);
    const bool there =
        (expect.zone.empty() || endpoint.zone == expect.zone) &&
        (expect.endpoint.empty() || endpoint.name == expect.endpoint);
    if (there && at >= expect.from && at < expect.to) ++count;
  }
  return static_cast<double>(count);
}

std::vector<Measure> MeasureWhole(const World& world) {
  const Waste waste = MeasureWaste(world);
  const ClassRow all = MeasureClass(world, {});
  const Watchdog& watchdog = world.watchdog;
  const auto number = [](std::uint64_t value) {
    return static_cast<double>(value);
  };
  const PlatformCounts& platform = world.platform.counts;
  const std::uint64_t queue_most =
      world.queue.empty()
          ? 0
          : *std::max_element(world.queue.begin(), world.queue.end());
  return {
      {"goodput", PerSecond(world, all.in_time)},
      {"served_per_second", PerSecond(world, all.served)},
      {"wasted",
       waste.tokens == 0 ? 0 : number(waste.useless) / number(waste.tokens)},
      {"doubled", number(watchdog.doubled)},
      {"false_not_run", number(watchdog.false_not_run)},
      {"mixed", number(watchdog.mixed)},
      {"cut_by_leave", number(watchdog.cut_by_leave)},
      {"deaths", number(waste.deaths)},
      {"overloads", number(waste.overloads)},
      {"preempted", number(TallyOf(world, "preempt"))},
      {"retried", number(TallyOf(world, "retry"))},
      {"held", number(TallyOf(world, "hold"))},
      {"forwarded", number(TallyOf(world, "forward"))},
      {"quarantined", number(TallyOf(world, "error_quarantined"))},
      {"rules_refused", number(TallyOf(world, "rules_refused"))},
      {"rules_spread_ms",
       number(static_cast<std::uint64_t>(watchdog.slowest_spread.count()))},
      {"queue_most", number(queue_most)},
      {"platform_calls_per_second",
       PerSecond(world, platform.rules + platform.watches + platform.vms)},
      {"messages_per_second_per_node",
       PerSecond(world, MessagesCarried(*world.driver)) /
           std::max<double>(1, number(world.node_names.size()))},
  };
}

std::optional<double> ClassMeasure(const ClassRow& row,
                                   const std::string& name) {
  const auto ms = [](milliseconds span) {
    return static_cast<double>(span.count());
  };
  const std::map<std::string, double> values = {
      {"attainment", row.attainment},
      {"sent", static_cast<double>(row.sent)},
      {"served", static_cast<double>(row.served)},
      {"in_time", static_cast<double>(row.in_time)},
      {"refused", static_cast<double>(row.refused)},
      {"unknown", static_cast<double>(row.unknown)},
      {"left", static_cast<double>(row.left)},
      {"p50", ms(row.p50)},
      {"p95", ms(row.p95)},
      {"p99", ms(row.p99)},
      {"worst", ms(row.worst)},
  };
  const auto at = values.find(name);
  if (at == values.end()) return std::nullopt;
  return at->second;
}

std::optional<double> ValueOf(const World& world,
                              const std::vector<Measure>& whole,
                              const ExpectSpec& expect) {
  if (expect.measure == "new_work") return NewWork(world, expect);
  const Window window{expect.cls, expect.from, expect.to};
  const ClassRow row = MeasureClass(world, window);
  if (const auto value = ClassMeasure(row, expect.measure)) return value;
  for (const Measure& measure : whole) {
    if (measure.name == expect.measure) return measure.value;
  }
  return std::nullopt;
}

std::string Describe(const ExpectSpec& expect) {
  std::ostringstream out;
  out << expect.measure;
  for (const std::string* part :
       {&expect.cls, &expect.zone, &expect.endpoint}) {
    if (!part->empty()) out << ' ' << *part;
  }
  if (std::isfinite(expect.at_least)) out << " at least " << expect.at_least;
  if (std::isfinite(expect.at_most)) out << " at most " << expect.at_most;
  return out.str();
}

void JudgeExpectations(const World& world, ScenarioResult& result) {
  for (const ExpectSpec& expect : world.scenario->expects) {
    const auto value = ValueOf(world, result.measures, expect);
    if (!value) {
      result.failures.push_back(
          {expect.line, "there is no measure '" + expect.measure + "'"});
      continue;
    }
    const bool met = *value >= expect.at_least && *value <= expect.at_most;
    result.expected.push_back({expect.line, Describe(expect), *value, met});
    if (met) continue;
    std::ostringstream what;
    what << "expected " << Describe(expect) << ", measured " << *value;
    result.failures.push_back({expect.line, what.str()});
  }
}

std::vector<Second> MeasureSeconds(const World& world) {
  const auto count = static_cast<std::size_t>(
      std::chrono::ceil<std::chrono::seconds>(world.scenario->run).count());
  std::vector<Second> seconds(count);
  const auto second_of = [&](milliseconds at) -> Second& {
    return seconds[std::min<std::size_t>(
        static_cast<std::size_t>(at.count()) / 1000, count - 1)];
  };
  for (const Wish& wish : world.wishes) {
    Second& second = second_of(CreatedAt(world, wish));
    const std::string& cls = LoadOf(world, wish).cls;
    ++second.sent[cls];
    second.attainment[cls] += InTime(world, wish) ? 1 : 0;
  }
  for (Second& second : seconds) {
    for (auto& [cls, value] : second.attainment) {
      value /= static_cast<double>(second.sent[cls]);
    }
  }
  for (const Start& start : world.starts) {
    ++second_of(Millis(start.when - world.start))
          .zone[world.endpoints[start.endpoint].zone];
  }
  for (std::size_t i = 0; i < std::min(count, world.queue.size()); ++i) {
    seconds[i].queue = world.queue[i];
  }
  return seconds;
}

}  // namespace

ScenarioResult MeasureWorld(const World& world) {
  ScenarioResult result;
  result.policy = world.policy;
  std::set<std::string> classes;
  for (const LoadSpec& load : world.scenario->loads) classes.insert(load.cls);
  for (const std::string& cls : classes) {
    result.classes.push_back(MeasureClass(world, {cls, {}, kNever}));
  }
  result.measures = MeasureWhole(world);
  result.seconds = MeasureSeconds(world);
  for (const auto& [invariant, what] : world.watchdog.first) {
    const std::uint64_t count = world.watchdog.counts.at(invariant);
    result.failures.push_back({0, "must always hold, " + invariant + ": " +
                                      what + ", " + std::to_string(count) +
                                      " in all"});
  }
  JudgeExpectations(world, result);
  return result;
}

}  // namespace egretladder::lab
