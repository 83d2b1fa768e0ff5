// Compares two versions of the rules and describes the effect of each change.
#include <algorithm>
#include <string>
#include <utility>

#include "egretladder/rules/rules.h"

namespace egretladder::rules {
namespace {

/// Both versions, and the changes found so far.
struct Comparison {
  const Rules& current;
  const Rules& next;
  std::vector<Change> changes;
};

void AddChange(Comparison& comparison, std::uint32_t line,
               std::string description, std::string effect) {
  comparison.changes.push_back(
      {line, std::move(description), std::move(effect)});
}

std::string ToText(const std::string& value) { return value; }
std::string ToText(bool value) { return value ? "yes" : "no"; }
std::string ToText(std::uint32_t value) { return std::to_string(value); }
std::string ToText(std::uint8_t value) { return std::to_string(value); }
std::string ToText(std::chrono::milliseconds value) {
  return std::to_string(value.count()) + "ms";
}

/// Names a compared rule in the description of a change.
struct RuleLabel {
  std::string name;  ///< Kind and name, such as `zone 'bole'`.
  std::uint32_t line = 0;
};

template <typename Value>
void CompareValue(Comparison& comparison, const RuleLabel& rule,
                  const char* key, const Value& before, const Value& after,
                  std::string effect) {
  if (before == after) return;
  AddChange(
      comparison, rule.line,
      rule.name + ": " + key + " " + ToText(before) + " -> " + ToText(after),
      std::move(effect));
}

template <typename Row>
std::string RowName(const std::vector<Row>& rows, std::uint32_t row) {
  return row < rows.size() ? rows[row].source.name : "none";
}

/// Returns the sorted names of `handles`. Rows are compared by name, because
/// the same name may have different handles in the two versions.
template <typename Row, typename HandleType>
std::string JoinNames(const std::vector<Row>& rows,
                      const std::vector<HandleType>& handles) {
  std::vector<std::string> names;
  names.reserve(handles.size());
  for (const auto handle : handles) names.push_back(RowName(rows, handle.idx));
  std::sort(names.begin(), names.end());
  std::string joined;
  for (const std::string& name : names) {
    joined += (joined.empty() ? "" : ",") + name;
  }
  return joined;
}

std::size_t CountEndpointsInZone(const Rules& rules, const std::string& zone) {
  const ZoneHandle handle = FindZone(rules, zone);
  return static_cast<std::size_t>(
      std::count_if(rules.endpoints.begin(), rules.endpoints.end(),
                    [&](const Endpoint& endpoint) {
                      return endpoint.source.present && endpoint.zone == handle;
                    }));
}

void CompareRow(Comparison& comparison, const RuleLabel& rule,
                const Zone& before, const Zone& after) {
  const std::string endpoints =
      std::to_string(CountEndpointsInZone(comparison.next, after.source.name)) +
      " endpoints";
  CompareValue(comparison, rule, "region", before.region, after.region,
               "its nodes and endpoints count for the other region");
  CompareValue(comparison, rule, "out", before.out, after.out,
               after.out ? endpoints +
                               " in it receive no new work within seconds; "
                               "requests in progress end in their own time"
                         : endpoints +
                               " in it receive work again, from what they "
                               "bear cold and up");
}

void CompareRow(Comparison& comparison, const RuleLabel& rule,
                const Target& before, const Target& after) {
  CompareValue(comparison, rule, "base",
               RowName(comparison.current.targets, before.base.idx),
               RowName(comparison.next.targets, after.base.idx),
               "engines load the adapter over the other model");
  CompareValue(comparison, rule, "copies", before.copies, after.copies,
               after.copies > before.copies
                   ? "more engines are ordered to load it, one after another"
                   : "engines that need the room may unload it");
  CompareValue(comparison, rule, "service", before.kind == TargetKind::kService,
               after.kind == TargetKind::kService,
               "callers reach it by another path");
}

void CompareRow(Comparison& comparison, const RuleLabel& rule,
                const Class& before, const Class& after) {
  CompareValue(comparison, rule, "tier", before.tier, after.tier,
               after.tier < before.tier
                   ? "it goes before more classes under load"
                   : "more classes go before it under load; it is shed sooner");
  CompareValue(comparison, rule, "first_token", before.first_token,
               after.first_token,
               after.first_token < before.first_token
                   ? "calls that can't begin that soon are refused at once"
                   : "calls may wait longer before they are refused");
  CompareValue(comparison, rule, "between_tokens", before.between_tokens,
               after.between_tokens, "its attainment is measured against this");
  CompareValue(comparison, rule, "max_wait", before.max_wait, after.max_wait,
               "the longest stay in the queue changes");
  CompareValue(comparison, rule, "repeatable", before.repeatable,
               after.repeatable,
               after.repeatable
                   ? "a failed call may be run again: be sure that it does no "
                     "harm"
                   : "calls need a lane and an idempotency key; those without "
                     "are refused");
  CompareValue(comparison, rule, "running", before.running, after.running,
               "the class's cap on each node changes; 0 is none");
  CompareValue(comparison, rule, "waiting", before.waiting, after.waiting,
               "the class's queue on each node changes; 0 is no cap");
}

void CompareRow(Comparison& comparison, const RuleLabel& rule,
                const Account& before, const Account& after) {
  CompareValue(comparison, rule, "classes",
               JoinNames(comparison.current.classes, before.classes),
               JoinNames(comparison.next.classes, after.classes),
               "calls of a class not listed are refused; those in progress "
               "end");
  CompareValue(comparison, rule, "running", before.running, after.running,
               "the account's cap on each node changes; 0 is none");
  CompareValue(comparison, rule, "waiting", before.waiting, after.waiting,
               "the account's queue on each node changes; 0 is no cap");
  CompareValue(comparison, rule, "share", before.share, after.share,
               "its part among the accounts of a class changes");
}

void CompareRow(Comparison& comparison, const RuleLabel& rule,
                const Endpoint& before, const Endpoint& after) {
  CompareValue(comparison, rule, "address", before.address, after.address,
               "new calls go to the other address, from what it bears cold");
  CompareValue(comparison, rule, "zone",
               RowName(comparison.current.zones, before.zone.idx),
               RowName(comparison.next.zones, after.zone.idx),
               "another node may keep its slots; taking a zone out now counts "
               "for the other zone");
  CompareValue(comparison, rule, "serves",
               JoinNames(comparison.current.targets, before.serves),
               JoinNames(comparison.next.targets, after.serves),
               "calls for a model or service not listed go elsewhere");
  CompareValue(comparison, rule, "bears", before.max_in_flight,
               after.max_in_flight,
               after.max_in_flight < before.max_in_flight
                   ? "fewer requests in flight, as those in progress end"
                   : "its slots may grow further, on answers in time");
  CompareValue(comparison, rule, "cold_bears", before.cold_max_in_flight,
               after.cold_max_in_flight,
               "what it receives right after a start changes");
  CompareValue(comparison, rule, "holds", before.max_loaded_models,
               after.max_loaded_models, "models are placed anew");
  CompareValue(comparison, rule, "fencing", before.honours_fencing,
               after.honours_fencing,
               after.honours_fencing
                   ? "orders are sent without a waiting time"
                   : "orders wait until older ones can't arrive any more");
  CompareValue(comparison, rule, "leaving", before.leaving, after.leaving,
               after.leaving
                   ? "it receives no new work within seconds; requests in "
                     "progress end in their own time"
                   : "it receives work again, from what it bears cold");
}

void CompareRow(Comparison& comparison, const RuleLabel& rule,
                const Node& before, const Node& after) {
  CompareValue(comparison, rule, "callers", before.caller_address,
               after.caller_address, "callers learn the address from /where");
  CompareValue(comparison, rule, "peers", before.peer_address,
               after.peer_address, "other nodes reach it at the other address");
  CompareValue(comparison, rule, "zone",
               RowName(comparison.current.zones, before.zone.idx),
               RowName(comparison.next.zones, after.zone.idx),
               "callers of the other zone are sent to it first");
  CompareValue(comparison, rule, "leaving", before.leaving, after.leaving,
               after.leaving ? "callers are no longer sent to it"
                             : "callers are sent to it again");
}

/// Describes the effects of adding and of removing a rule of a kind.
struct KindEffects {
  const char* kind;
  const char* added;
  const char* removed;
};

template <typename Row>
const Row* FindPresent(const std::vector<Row>& rows, const NameIndex& index,
                       const std::string& name) {
  const auto it = index.find(name);
  if (it == index.end() || !rows[it->second].source.present) return nullptr;
  return &rows[it->second];
}

template <typename Row>
void CompareRows(Comparison& comparison, const KindEffects& effects,
                 std::vector<Row> Rules::*rows, NameIndex Rules::*index) {
  for (const Row& after : comparison.next.*rows) {
    if (!after.source.present) continue;
    const RuleLabel rule{
        std::string(effects.kind) + " '" + after.source.name + "'",
        after.source.line};
    const Row* before = FindPresent(
        comparison.current.*rows, comparison.current.*index, after.source.name);
    if (before == nullptr) {
      AddChange(comparison, rule.line, rule.name + ": added", effects.added);
    } else {
      CompareRow(comparison, rule, *before, after);
    }
  }
  for (const Row& before : comparison.current.*rows) {
    if (!before.source.present) continue;
    if (FindPresent(comparison.next.*rows, comparison.next.*index,
                    before.source.name)) {
      continue;
    }
    AddChange(
        comparison, 0,
        std::string(effects.kind) + " '" + before.source.name + "': removed",
        effects.removed);
  }
}

void CompareHeaders(Comparison& comparison) {
  const RuleLabel rule{"headers", 0};
  const char* effect = "callers that send the old header are not recognised";
  const CallerHeaders& before = comparison.current.headers;
  const CallerHeaders& after = comparison.next.headers;
  CompareValue(comparison, rule, "account", before.account, after.account,
               effect);
  CompareValue(comparison, rule, "class", before.cls, after.cls, effect);
  CompareValue(comparison, rule, "timeout", before.timeout, after.timeout,
               effect);
}

void CompareKinds(Comparison& comparison) {
  CompareRows(comparison, {"zone", "endpoints may name it", "none may name it"},
              &Rules::zones, &Rules::zone_names);
  CompareRows(comparison,
              {"target", "calls for it are taken once an endpoint serves it",
               "calls for it are refused; those in progress end"},
              &Rules::targets, &Rules::target_names);
  CompareRows(comparison,
              {"class", "accounts that list it may use it",
               "calls of it are refused; those in progress end"},
              &Rules::classes, &Rules::class_names);
  CompareRows(comparison,
              {"account", "its calls are taken",
               "its calls are refused; those in progress end"},
              &Rules::accounts, &Rules::account_names);
  CompareRows(comparison,
              {"endpoint", "it receives work, from what it bears cold and up",
               "it receives no new work within seconds; requests in progress "
               "end in their own time"},
              &Rules::endpoints, &Rules::endpoint_names);
  CompareRows(comparison,
              {"node", "it may keep endpoints' slots and is named to callers",
               "callers are no longer sent to it; its slots lapse"},
              &Rules::nodes, &Rules::node_names);
}

}  // namespace

kernel::Result<std::vector<Change>> CompareRules(const Rules& current,
                                                 const Rules& next) {
  if (next.version <= current.version) {
    return kernel::MakeError(
        kernel::ErrorCode::kConflict, "compare rules",
        "version " + std::to_string(next.version),
        "the version in force is " + std::to_string(current.version) +
            "; publish a higher one, since nodes never go back");
  }
  Comparison comparison{current, next, {}};
  CompareHeaders(comparison);
  CompareKinds(comparison);
  return std::move(comparison.changes);
}

}  // namespace egretladder::rules
