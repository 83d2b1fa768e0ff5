#include "egretladder/routing/rules_history.h"

#include <algorithm>
#include <utility>

#include "egretladder/routing/limits.h"

namespace egretladder::routing {

void Retire(RulesHistory& history, RouteTablePtr table, Time now) {
  auto& retired = history.retired;
  std::erase_if(retired, [now](const RetiredRules& rules) {
    return now - rules.retired_at >= kRetiredRulesRetention;
  });
  if (retired.size() >= kMaxRetiredRules) retired.pop_front();
  retired.push_back({std::move(table), now});
}

RouteTablePtr FindRules(const RulesHistory& history, std::uint64_t version,
                        Time now) {
  const auto at =
      std::find_if(history.retired.begin(), history.retired.end(),
                   [version, now](const RetiredRules& rules) {
                     return rules.table->version == version &&
                            now - rules.retired_at < kRetiredRulesRetention;
                   });
  return at != history.retired.end() ? at->table : nullptr;
}

}  // namespace egretladder::routing
