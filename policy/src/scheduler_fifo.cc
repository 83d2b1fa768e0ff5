// Baseline scheduler "fifo": requests in order of arrival, endpoints round
// robin.
#include "egretladder/kernel/registry.h"
#include "scheduler_common_p.h"

namespace egretladder::policy {
namespace {

EndpointHandle PickRoundRobin(BaselineState& state, TargetHandle target) {
  const std::vector<EndpointHandle>& servers = GetServers(state.table, target);
  std::uint32_t& cursor = state.cursors[target.idx];
  for (std::size_t attempts = 0; attempts < servers.size(); ++attempts) {
    const EndpointHandle endpoint = servers[cursor++ % servers.size()];
    if (HasFreeSlot(state.table.endpoints[endpoint.idx])) return endpoint;
  }
  return {};
}

constexpr BaselineBehaviour kFifo{OrderByArrival, PickRoundRobin};

std::unique_ptr<SchedulerState> Create(const SchedulerOptions& /*options*/) {
  return CreateBaseline(kFifo);
}

const SchedulerPlugin kPlugin = BaselinePlugin(Create);
const kernel::PluginRegistrar<SchedulerPlugin> kRegistrar("fifo", kPlugin);

}  // namespace
}  // namespace egretladder::policy
