// The rules that were in force at this node until recently.
//
// A node may hand a request over that it accepted by rules which have been
// replaced since. Judged by newer rules, a stream whose route or key was taken
// away meanwhile would be broken off in the middle, while it goes on at any
// node that need not hand it over. A peer therefore judges the request by the
// rules by which it was accepted.
#pragma once

#include <cstdint>
#include <deque>

#include "egretladder/kernel/time.h"
#include "egretladder/routing/route_table.h"

namespace egretladder::routing {

using kernel::Time;

/// Rules that were replaced.
struct RetiredRules {
  RouteTablePtr table;
  Time retired_at{};
};

/// The rules that were replaced of late, oldest first.
struct RulesHistory {
  std::deque<RetiredRules> retired;
};

/// Remembers rules that are replaced now, in place of those that no request in
/// progress can need any more.
void Retire(RulesHistory& history, RouteTablePtr table, Time now);
/// Returns the rules of that version; null if they aren't remembered.
RouteTablePtr FindRules(const RulesHistory& history, std::uint64_t version,
                        Time now);

}  // namespace egretladder::routing
