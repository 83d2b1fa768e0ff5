// Baseline scheduler "strict": requests by tier, then by deadline, to the
// endpoint with the fewest requests in flight. It is a baseline for changes of
// the scheduler "ladder".
#include "egretladder/kernel/registry.h"
#include "scheduler_common_p.h"

namespace egretladder::policy {
namespace {

OrderKey OrderByTier(const BaselineState& state, const Request& request) {
  return {GetClass(state.table, request.cls).tier, request.deadline,
          state.arrivals};
}

constexpr BaselineBehaviour kStrict{OrderByTier, PickLeastInFlight};

std::unique_ptr<SchedulerState> Create(const SchedulerOptions& /*options*/) {
  return CreateBaseline(kStrict);
}

const SchedulerPlugin kPlugin = BaselinePlugin(Create);
const kernel::PluginRegistrar<SchedulerPlugin> kRegistrar("strict", kPlugin);

}  // namespace
}  // namespace egretladder::policy
