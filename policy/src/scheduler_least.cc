// Baseline scheduler "least": requests in order of arrival, to the endpoint
// with the fewest requests in flight.
#include "egretladder/kernel/registry.h"
#include "scheduler_common_p.h"

namespace egretladder::policy {
namespace {

constexpr BaselineBehaviour kLeast{OrderByArrival, PickLeastInFlight};

std::unique_ptr<SchedulerState> Create(const SchedulerOptions& /*options*/) {
  return CreateBaseline(kLeast);
}

const SchedulerPlugin kPlugin = BaselinePlugin(Create);
const kernel::PluginRegistrar<SchedulerPlugin> kRegistrar("least", kPlugin);

}  // namespace
}  // namespace egretladder::policy
