// What a successor document changes, and what that will do.
#include <algorithm>
#include <string>
#include <utility>

#include "egretladder/rules/rules.h"

namespace egretladder::rules {
namespace {

/// Both documents, and the changes found so far.
struct Comparison {
  const Rules& current;
  const Rules& next;
  std::vector<Change> changes;
};

void AddChange(Comparison& all, std::uint32_t line, std::string what,
               std::string effect) {
  all.changes.push_back({line, std::move(what), std::move(effect)});
}

std::string ToText(const std::string& value) { return value; }
std::string ToText(bool value) { return value ? "yes" : "no"; }
std::string ToText(std::uint32_t value) { return std::to_string(value); }
std::string ToText(std::uint8_t value) { return std::to_string(value); }
std::string ToText(std::chrono::milliseconds value) {
  return std::to_string(value.count()) + "ms";
}

/// One rule as it stands in both documents.
struct Pair {
  std::string name;  ///< `zone 'bole'`.
  std::uint32_t line = 0;
};

template <typename Value>
void CompareValue(Comparison& all, const Pair& pair, const char* key,
                  const Value& before, const Value& after, std::string effect) {
  if (before == after) return;
  AddChange(
      all, pair.line,
      pair.name + ": " + key + " " + ToText(before) + " -> " + ToText(after),
      std::move(effect));
}

template <typename Row>
std::string NameOf(const std::vector<Row>& rows, std::uint32_t row) {
  return row < rows.size() ? rows[row].source.name : "none";
}

/// Names, since the two documents may number differently.
template <typename Row, typename HandleType>
std::string NamesOf(const std::vector<Row>& rows,
                    const std::vector<HandleType>& handles) {
  std::vector<std::string> names;
  names.reserve(handles.size());
  for (const auto handle : handles) names.push_back(NameOf(rows, handle.idx));
  std::sort(names.begin(), names.end());
  std::string joined;
  for (const std::string& name : names) {
    joined += (joined.empty() ? "" : ",") + name;
  }
  return joined;
}

std::size_t CountInZone(const Rules& rules, const std::string& zone) {
  const ZoneHandle handle = FindZone(rules, zone);
  return static_cast<std::size_t>(std::count_if(
      rules.endpoints.begin(), rules.endpoints.end(),
      [&](const Endpoint& e) { return e.source.present && e.zone == handle; }));
}

void CompareRow(Comparison& all, const Pair& pair, const Zone& before,
                const Zone& after) {
  const std::string endpoints =
      std::to_string(CountInZone(all.next, after.source.name)) + " endpoints";
  CompareValue(all, pair, "region", before.region, after.region,
               "its nodes and endpoints count for the other region");
  CompareValue(all, pair, "out", before.out, after.out,
               after.out ? endpoints +
                               " in it receive no new work within seconds; "
                               "requests in progress end in their own time"
                         : endpoints +
                               " in it receive work again, from what they "
                               "bear cold and up");
}

void CompareRow(Comparison& all, const Pair& pair, const Target& before,
                const Target& after) {
  CompareValue(all, pair, "base", NameOf(all.current.targets, before.base.idx),
               NameOf(all.next.targets, after.base.idx),
               "engines load the adapter over the other model");
  CompareValue(all, pair, "copies", before.copies, after.copies,
               after.copies > before.copies
                   ? "more engines are ordered to load it, one after another"
                   : "engines that need the room may unload it");
  CompareValue(all, pair, "service", before.kind == TargetKind::kService,
               after.kind == TargetKind::kService,
               "callers reach it by another path");
}

void CompareRow(Comparison& all, const Pair& pair, const Class& before,
                const Class& after) {
  CompareValue(all, pair, "tier", before.tier, after.tier,
               after.tier < before.tier
                   ? "it goes before more classes under load"
                   : "more classes go before it under load; it is shed sooner");
  CompareValue(all, pair, "first_token", before.first_token, after.first_token,
               after.first_token < before.first_token
                   ? "calls that can't begin that soon are refused at once"
                   : "calls may wait longer before they are refused");
  CompareValue(all, pair, "between_tokens", before.between_tokens,
               after.between_tokens, "its attainment is measured against this");
  CompareValue(all, pair, "max_wait", before.max_wait, after.max_wait,
               "the longest stay in the queue changes");
  CompareValue(all, pair, "repeatable", before.repeatable, after.repeatable,
               after.repeatable
                   ? "a failed call may be run again: be sure that it does no "
                     "harm"
                   : "calls need a lane and an idempotency key; those without "
                     "are refused");
  CompareValue(all, pair, "running", before.running, after.running,
               "the class's cap on each node changes; 0 is none");
  CompareValue(all, pair, "waiting", before.waiting, after.waiting,
               "the class's queue on each node changes; 0 is no cap");
}

void CompareRow(Comparison& all, const Pair& pair, const Account& before,
                const Account& after) {
  CompareValue(all, pair, "classes",
               NamesOf(all.current.classes, before.classes),
               NamesOf(all.next.classes, after.classes),
               "calls of a class not listed are refused; those in progress "
               "end");
  CompareValue(all, pair, "running", before.running, after.running,
               "the account's cap on each node changes; 0 is none");
  CompareValue(all, pair, "waiting", before.waiting, after.waiting,
               "the account's queue on each node changes; 0 is no cap");
  CompareValue(all, pair, "share", before.share, after.share,
               "its part among the accounts of a class changes");
}

void CompareRow(Comparison& all, const Pair& pair, const Endpoint& before,
                const Endpoint& after) {
  CompareValue(all, pair, "address", before.address, after.address,
               "new calls go to the other address, from what it bears cold");
  CompareValue(all, pair, "zone", NameOf(all.current.zones, before.zone.idx),
               NameOf(all.next.zones, after.zone.idx),
               "another node may keep its slots; taking a zone out now counts "
               "for the other zone");
  CompareValue(all, pair, "serves", NamesOf(all.current.targets, before.serves),
               NamesOf(all.next.targets, after.serves),
               "calls for a model or service not listed go elsewhere");
  CompareValue(all, pair, "bears", before.max_in_flight, after.max_in_flight,
               after.max_in_flight < before.max_in_flight
                   ? "fewer requests in flight, as those in progress end"
                   : "its slots may grow further, on answers in time");
  CompareValue(all, pair, "cold_bears", before.cold_max_in_flight,
               after.cold_max_in_flight,
               "what it receives right after a start changes");
  CompareValue(all, pair, "holds", before.max_loaded_models,
               after.max_loaded_models, "models are placed anew");
  CompareValue(all, pair, "fencing", before.honours_fencing,
               after.honours_fencing,
               after.honours_fencing
                   ? "orders are sent without a waiting time"
                   : "orders wait until older ones can't arrive any more");
  CompareValue(all, pair, "leaving", before.leaving, after.leaving,
               after.leaving
                   ? "it receives no new work within seconds; requests in "
                     "progress end in their own time"
                   : "it receives work again, from what it bears cold");
}

void CompareRow(Comparison& all, const Pair& pair, const Node& before,
                const Node& after) {
  CompareValue(all, pair, "callers", before.caller_address,
               after.caller_address, "callers learn the address from /where");
  CompareValue(all, pair, "peers", before.peer_address, after.peer_address,
               "other nodes reach it at the other address");
  CompareValue(all, pair, "zone", NameOf(all.current.zones, before.zone.idx),
               NameOf(all.next.zones, after.zone.idx),
               "callers of the other zone are sent to it first");
  CompareValue(all, pair, "leaving", before.leaving, after.leaving,
               after.leaving ? "callers are no longer sent to it"
                             : "callers are sent to it again");
}

/// What adding and removing a rule of a kind does.
struct KindEffects {
  const char* kind;
  const char* added;
  const char* removed;
};

template <typename Row>
const Row* FindPresent(const std::vector<Row>& rows, const NameIndex& index,
                       const std::string& name) {
  const auto at = index.find(name);
  if (at == index.end() || !rows[at->second].source.present) return nullptr;
  return &rows[at->second];
}

template <typename Row>
void CompareRows(Comparison& all, const KindEffects& effects,
                 std::vector<Row> Rules::*rows, NameIndex Rules::*index) {
  for (const Row& after : all.next.*rows) {
    if (!after.source.present) continue;
    const Pair pair{std::string(effects.kind) + " '" + after.source.name + "'",
                    after.source.line};
    const Row* before =
        FindPresent(all.current.*rows, all.current.*index, after.source.name);
    if (before == nullptr) {
      AddChange(all, pair.line, pair.name + ": added", effects.added);
    } else {
      CompareRow(all, pair, *before, after);
    }
  }
  for (const Row& before : all.current.*rows) {
    if (!before.source.present) continue;
    if (FindPresent(all.next.*rows, all.next.*index, before.source.name)) {
      continue;
    }
    AddChange(
        all, 0,
        std::string(effects.kind) + " '" + before.source.name + "': removed",
        effects.removed);
  }
}

void CompareHeaders(Comparison& all) {
  const Pair pair{"headers", 0};
  const char* effect = "callers that send the old header are not recognised";
  const CallerHeaders& before = all.current.headers;
  const CallerHeaders& after = all.next.headers;
  CompareValue(all, pair, "account", before.account, after.account, effect);
  CompareValue(all, pair, "class", before.cls, after.cls, effect);
  CompareValue(all, pair, "timeout", before.timeout, after.timeout, effect);
}

void CompareKinds(Comparison& all) {
  CompareRows(all, {"zone", "endpoints may name it", "none may name it"},
              &Rules::zones, &Rules::zone_names);
  CompareRows(all,
              {"target", "calls for it are taken once an endpoint serves it",
               "calls for it are refused; those in progress end"},
              &Rules::targets, &Rules::target_names);
  CompareRows(all,
              {"class", "accounts that list it may use it",
               "calls of it are refused; those in progress end"},
              &Rules::classes, &Rules::class_names);
  CompareRows(all,
              {"account", "its calls are taken",
               "its calls are refused; those in progress end"},
              &Rules::accounts, &Rules::account_names);
  CompareRows(all,
              {"endpoint", "it receives work, from what it bears cold and up",
               "it receives no new work within seconds; requests in progress "
               "end in their own time"},
              &Rules::endpoints, &Rules::endpoint_names);
  CompareRows(all,
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
  Comparison all{current, next, {}};
  CompareHeaders(all);
  CompareKinds(all);
  return std::move(all.changes);
}

}  // namespace egretladder::rules
