// Endpoints that this node keeps: election, reports, leases, orders.
#include <algorithm>

#include "egretladder/kernel/log.h"
#include "fleet_state_p.h"

namespace egretladder::fleet {
namespace {

using kernel::Log;
using kernel::LogLevel;
using kernel::LogPart;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

bool CanKeep(const FleetState& state, const EndpointState& endpoint, Time now) {
  return !state.leaving && CanKeep(state.members, endpoint.voters,
                                   endpoint.keeper_state.has_value(), now);
}

/// Returns true if a majority has supported this node without a break since it
/// stopped keeping the endpoint. It lost its mandate only briefly, and its
/// leases may still be in use; a new keeper state would lease the same slots
/// again.
bool HadNoOtherKeeper(const FleetState& state, const EndpointState& endpoint) {
  const auto unbroken = static_cast<std::size_t>(std::count_if(
      endpoint.voters.begin(), endpoint.voters.end(),
      [&](const std::string& voter) {
        return IsSupportedSince(state.members, voter, endpoint.stopped);
      }));
  return unbroken >= MajorityCount(endpoint.voters.size());
}

void StartKeeping(FleetState& state, EndpointHandle handle, Time now) {
  const rules::Endpoint& endpoint_rules = GetEndpointRules(state, handle);
  EndpointState& endpoint = state.endpoints[handle.idx];
  if (endpoint.former_keeper_state.has_value() &&
      HadNoOtherKeeper(state, endpoint)) {
    endpoint.keeper_state = std::move(endpoint.former_keeper_state);
    ResumeKeeperState(*endpoint.keeper_state, endpoint_rules, endpoint.stopped,
                      now);
  } else {
    endpoint.keeper_state.emplace();
    InitKeeperState(*endpoint.keeper_state, endpoint_rules, now);
  }
  endpoint.former_keeper_state.reset();
  EndpointOrders& orders = state.orders.kept[handle];
  orders = {};
  orders.kept_since = now;
  orders.changed = now;
  Log(LogPart::kFleet, LogLevel::kInfo,
      "Started keeping endpoint " + endpoint_rules.source.name + ".");
}

void StopKeeping(FleetState& state, EndpointHandle handle, Time now) {
  EndpointState& endpoint = state.endpoints[handle.idx];
  endpoint.former_keeper_state = std::move(endpoint.keeper_state);
  endpoint.keeper_state.reset();
  endpoint.stopped = now;
  state.orders.kept.erase(handle);
  Log(LogPart::kFleet, LogLevel::kInfo,
      "Stopped keeping endpoint " +
          GetEndpointRules(state, handle).source.name + ".");
}

/// Returns the number of published nodes, including this one, that have not
/// requested slots.
std::uint32_t SilentNodes(const FleetState& state,
                          const KeeperState& keeper_state) {
  const auto asked = [&](const std::string& node) {
    return std::any_of(
        keeper_state.holders.begin(), keeper_state.holders.end(),
        [&](const Holder& holder) { return holder.process.node == node; });
  };
  std::uint32_t silent = asked(state.members.self.node) ? 0 : 1;
  for (const auto& [name, peer] : state.members.peers) {
    if (peer.published && !asked(name)) ++silent;
  }
  return silent;
}

void RequestReport(FleetState& state, EndpointHandle handle, Time now,
                   Actions& out) {
  EndpointState& endpoint = state.endpoints[handle.idx];
  if (!endpoint.has_reports || now < endpoint.keeper_state->next_report) return;
  endpoint.keeper_state->next_report = now + kReportInterval;
  out.emplace_back(ReadReport{handle});
}

/// Returns the models that a recent report shows as loaded at another endpoint
/// that should hold them.
std::vector<rules::TargetHandle> SpareModels(const FleetState& state,
                                             EndpointHandle handle, Time now) {
  std::vector<rules::TargetHandle> spare;
  for (std::uint32_t i = 0; i < state.endpoints.size(); ++i) {
    const EndpointState& other = state.endpoints[i];
    const bool counts = i != handle.idx && other.available &&
                        other.report.has_value() &&
                        now - other.report_at <= kMaxReportAge;
    if (!counts) continue;
    const auto& desired = state.orders.placement[i];
    for (const rules::TargetHandle target : other.report->loaded) {
      const bool stays =
          std::find(desired.begin(), desired.end(), target) != desired.end();
      if (stays) spare.push_back(target);
    }
  }
  return spare;
}

std::size_t CountNodes(const FleetState& state) {
  return state.members.peers.size() + 1;
}

void GiveOrder(FleetState& state, EndpointHandle handle, Time now,
               Actions& out) {
  const EndpointState& endpoint = state.endpoints[handle.idx];
  const bool fresh =
      endpoint.report.has_value() && now - endpoint.report_at <= kMaxReportAge;
  if (!endpoint.available || !fresh) return;
  const rules::Endpoint& endpoint_rules = GetEndpointRules(state, handle);
  OrderInput input;
  input.desired = state.orders.placement[handle.idx];
  input.max_loaded_models = endpoint_rules.max_loaded_models;
  input.honours_fencing = endpoint_rules.honours_fencing;
  input.has_load_budget = now >= state.orders.next_load;
  input.spare = SpareModels(state, handle, now);
  EndpointOrders& orders = state.orders.kept[handle];
  const auto next = DecideOrder(orders, input, now);
  if (!next.has_value()) return;
  orders.open = OpenOrder{next->kind, next->target, now};
  if (next->kind == OrderKind::kLoad) {
    state.orders.next_load = now + ModelLoadInterval(CountNodes(state));
  }
  out.emplace_back(
      OrderEngine{handle, next->kind, next->target, GetRulesVersion(state)});
}

void FillReport(const FleetState& state, const KeeperState& keeper_state,
                SlotLease& lease, Time now) {
  if (!keeper_state.report.has_value()) return;
  const policy::EngineReport& report = *keeper_state.report;
  lease.boot = report.boot;
  lease.running = report.running;
  lease.waiting = report.waiting;
  lease.cache_used_per_mille = static_cast<std::uint32_t>(
      std::clamp(report.cache_used, 0.0, 1.0) * 1000);
  lease.report_age =
      report.age + duration_cast<milliseconds>(now - keeper_state.report_at);
  for (const rules::TargetHandle target : report.loaded) {
    lease.loaded.push_back(state.config.rules->targets[target.idx].source.name);
  }
}

SlotLease MakeLease(const FleetState& state, EndpointHandle handle,
                    std::uint32_t slots, std::uint64_t ask_number, Time now) {
  SlotLease lease;
  lease.endpoint = GetEndpointRules(state, handle).source.name;
  lease.slots = slots;
  lease.left = kLeaseDuration;
  lease.ask_number = ask_number;
  // Until this keeper knows what it has taken over, the total of its
  // predecessor stays valid.
  const KeeperState& keeper_state = *state.endpoints[handle.idx].keeper_state;
  lease.total = keeper_state.ready ? keeper_state.slots.slots : 0;
  FillReport(state, keeper_state, lease, now);
  return lease;
}

}  // namespace

void LogSlots(const FleetState& state, EndpointHandle handle,
              policy::SlotReason reason) {
  if (reason == policy::SlotReason::kUnchanged) return;
  const KeeperState& keeper_state = *state.endpoints[handle.idx].keeper_state;
  Log(LogPart::kFleet, LogLevel::kInfo,
      "Endpoint " + GetEndpointRules(state, handle).source.name + " has " +
          std::to_string(keeper_state.slots.slots) +
          " slots: " + policy::NameOf(reason) + ".");
}

void UpdateKeeping(FleetState& state, Time now, Actions& out) {
  for (std::uint32_t i = 0; i < state.endpoints.size(); ++i) {
    EndpointState& endpoint = state.endpoints[i];
    const bool keeps = endpoint.keeper_state.has_value();
    const bool may = CanKeep(state, endpoint, now);
    if (may && !keeps) StartKeeping(state, {i}, now);
    if (!may && keeps) StopKeeping(state, {i}, now);
    if (!endpoint.keeper_state.has_value()) continue;
    // An engine whose reports can't be read is treated like a service.
    const auto wait = endpoint.has_reports
                          ? kHolderSilenceTimeout + kReportTimeout
                          : kHolderSilenceTimeout;
    if (!endpoint.keeper_state->ready &&
        now - endpoint.keeper_state->kept_since >= wait) {
      AssumeUnattributedCalls(*endpoint.keeper_state,
                              SilentNodes(state, *endpoint.keeper_state));
    }
    RequestReport(state, {i}, now, out);
    GiveOrder(state, {i}, now, out);
  }
}

SlotLease AnswerAsk(FleetState& state, EndpointHandle handle,
                    const Sender& from, std::uint64_t number,
                    const SlotAsk& ask, Time now) {
  KeeperState& keeper_state = *state.endpoints[handle.idx].keeper_state;
  LogSlots(state, handle, ApplyAsk(keeper_state, from, number, ask, now));
  const std::uint32_t slots = GrantSlots(keeper_state, from, now);
  return MakeLease(state, handle, slots, number, now);
}

void HandleAsks(FleetState& state, const Sender& from, const SlotAsks& asks,
                Time now, Actions& out) {
  if (!RecordSender(state.members, from, now)) return;
  SlotLeases leases;
  for (const SlotAsk& ask : asks.asks) {
    const EndpointHandle handle =
        FindEndpoint(*state.config.rules, ask.endpoint);
    if (!IsValid(handle)) continue;
    EndpointState& endpoint = state.endpoints[handle.idx];
    // Checked again for each request: this process may have been paused since
    // its last tick, and another node may keep the endpoint by now.
    if (!endpoint.keeper_state.has_value() || !CanKeep(state, endpoint, now))
      continue;
    const std::uint32_t pool_before = LeasableSlots(*endpoint.keeper_state);
    leases.leases.push_back(
        AnswerAsk(state, handle, from, asks.number, ask, now));
    if (LeasableSlots(*endpoint.keeper_state) < pool_before) {
      ReduceLeases(state, handle, now, out);
    }
  }
  if (leases.leases.empty()) return;
  out.emplace_back(
      SendMessage{FindPeerAddress(state, from.node), std::move(leases), true});
}

void ReduceLeases(FleetState& state, EndpointHandle handle, Time now,
                  Actions& out) {
  EndpointState& endpoint = state.endpoints[handle.idx];
  for (const LeaseReduction& cut :
       FindOverallocatedHolders(*endpoint.keeper_state, now)) {
    SlotLeases leases;
    leases.leases.push_back(
        MakeLease(state, handle, cut.keep.slots, cut.keep.ask_number, now));
    if (cut.process.node == state.members.self.node) {
      ApplyLeases(state, cut.process.node, leases, now, out);
      continue;
    }
    const std::string& address = FindPeerAddress(state, cut.process.node);
    if (!address.empty()) {
      out.emplace_back(SendMessage{address, std::move(leases)});
    }
  }
}

void OnReport(FleetState& state, EndpointHandle handle,
              const policy::EngineReport* report, Time now, Actions& out) {
  if (handle.idx >= state.endpoints.size()) return;
  EndpointState& endpoint = state.endpoints[handle.idx];
  if (report != nullptr) {
    endpoint.report = *report;
    endpoint.report_at = now - report->age;
    out.emplace_back(ReportReceived{handle, *report});
  }
  if (!endpoint.keeper_state.has_value()) return;
  const std::uint32_t pool_before = LeasableSlots(*endpoint.keeper_state);
  LogSlots(state, handle, ApplyReport(*endpoint.keeper_state, report, now));
  if (report != nullptr) {
    ApplyLoadedModels(state.orders.kept[handle], report->loaded, now);
  }
  if (LeasableSlots(*endpoint.keeper_state) < pool_before) {
    ReduceLeases(state, handle, now, out);
  }
}

}  // namespace egretladder::fleet
