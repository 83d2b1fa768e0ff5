// Endpoints that this node keeps: whether it may, reports, leases, orders.
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
                                   endpoint.book.has_value(), now);
}

/// True when a majority has supported this node without a break since it
/// stopped: it lost its mandate for a moment only, and what it leased before is
/// still out. A fresh book would lease the same slots again.
bool NobodyElseKept(const FleetState& state, const EndpointState& endpoint) {
  const auto unbroken = static_cast<std::size_t>(std::count_if(
      endpoint.voters.begin(), endpoint.voters.end(),
      [&](const std::string& voter) {
        return SupportedSince(state.members, voter, endpoint.stopped);
      }));
  return unbroken >= MajorityOf(endpoint.voters.size());
}

void StartKeeping(FleetState& state, EndpointHandle handle, Time now) {
  const rules::Endpoint& row = RowOf(state, handle);
  EndpointState& endpoint = state.endpoints[handle.idx];
  if (endpoint.former.has_value() && NobodyElseKept(state, endpoint)) {
    endpoint.book = std::move(endpoint.former);
    ResumeKeeperState(*endpoint.book, row, endpoint.stopped, now);
  } else {
    endpoint.book.emplace();
    InitKeeperState(*endpoint.book, row, now);
  }
  endpoint.former.reset();
  EndpointOrders& orders = state.orders.kept[handle];
  orders = {};
  orders.kept_since = now;
  orders.changed = now;
  Log(LogPart::kFleet, LogLevel::kInfo,
      "Keeps endpoint " + row.source.name + ".");
}

void StopKeeping(FleetState& state, EndpointHandle handle, Time now) {
  EndpointState& endpoint = state.endpoints[handle.idx];
  endpoint.former = std::move(endpoint.book);
  endpoint.book.reset();
  endpoint.stopped = now;
  state.orders.kept.erase(handle);
  Log(LogPart::kFleet, LogLevel::kInfo,
      "Keeps endpoint " + RowOf(state, handle).source.name + " no longer.");
}

/// Published nodes, this one among them, without an ask in the book.
std::uint32_t SilentNodes(const FleetState& state, const KeeperState& book) {
  const auto asked = [&](const std::string& node) {
    return std::any_of(
        book.holders.begin(), book.holders.end(),
        [&](const Holder& holder) { return holder.process.node == node; });
  };
  std::uint32_t silent = asked(state.members.self.node) ? 0 : 1;
  for (const auto& [name, peer] : state.members.peers) {
    if (peer.published && !asked(name)) ++silent;
  }
  return silent;
}

void AskReport(FleetState& state, EndpointHandle handle, Time now,
               Actions& out) {
  EndpointState& endpoint = state.endpoints[handle.idx];
  if (!endpoint.has_reports || now < endpoint.book->next_report) return;
  endpoint.book->next_report = now + kReportEvery;
  out.emplace_back(ReadReport{handle});
}

/// Models that another endpoint, whose place they are, shows as loaded.
std::vector<rules::TargetHandle> SpareModels(const FleetState& state,
                                             EndpointHandle handle, Time now) {
  std::vector<rules::TargetHandle> spare;
  for (std::uint32_t i = 0; i < state.endpoints.size(); ++i) {
    const EndpointState& other = state.endpoints[i];
    const bool counts = i != handle.idx && other.available &&
                        other.report.has_value() &&
                        now - other.report_at <= kReportFresh;
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

std::size_t NodesCount(const FleetState& state) {
  return state.members.peers.size() + 1;
}

void GiveOrder(FleetState& state, EndpointHandle handle, Time now,
               Actions& out) {
  const EndpointState& endpoint = state.endpoints[handle.idx];
  const bool fresh =
      endpoint.report.has_value() && now - endpoint.report_at <= kReportFresh;
  if (!endpoint.available || !fresh) return;
  const rules::Endpoint& row = RowOf(state, handle);
  OrderInput input;
  input.desired = state.orders.placement[handle.idx];
  input.max_loaded_models = row.max_loaded_models;
  input.honours_fencing = row.honours_fencing;
  input.has_load_budget = now >= state.orders.next_load;
  input.spare = SpareModels(state, handle, now);
  EndpointOrders& orders = state.orders.kept[handle];
  const auto next = DecideOrder(orders, input, now);
  if (!next.has_value()) return;
  orders.open = OpenOrder{next->kind, next->target, now};
  if (next->kind == OrderKind::kLoad) {
    state.orders.next_load = now + ModelLoadInterval(NodesCount(state));
  }
  out.emplace_back(
      OrderEngine{handle, next->kind, next->target, VersionOf(state)});
}

void FillReport(const FleetState& state, const KeeperState& book,
                SlotLease& lease, Time now) {
  if (!book.report.has_value()) return;
  const policy::EngineReport& report = *book.report;
  lease.boot = report.boot;
  lease.running = report.running;
  lease.waiting = report.waiting;
  lease.cache_used_per_mille = static_cast<std::uint32_t>(
      std::clamp(report.cache_used, 0.0, 1.0) * 1000);
  lease.report_age =
      report.age + duration_cast<milliseconds>(now - book.report_at);
  for (const rules::TargetHandle target : report.loaded) {
    lease.loaded.push_back(state.config.rules->targets[target.idx].source.name);
  }
}

SlotLease MakeLease(const FleetState& state, EndpointHandle handle,
                    std::uint32_t slots, std::uint64_t ask_number, Time now) {
  SlotLease lease;
  lease.endpoint = RowOf(state, handle).source.name;
  lease.slots = slots;
  lease.left = kLeaseDuration;
  lease.ask_number = ask_number;
  // Until the keeper knows what it took over, what a former one said counts.
  const KeeperState& book = *state.endpoints[handle.idx].book;
  lease.total = book.ready ? book.slots.slots : 0;
  FillReport(state, book, lease, now);
  return lease;
}

}  // namespace

void LogSlots(const FleetState& state, EndpointHandle handle,
              policy::SlotReason reason) {
  if (reason == policy::SlotReason::kUnchanged) return;
  const KeeperState& book = *state.endpoints[handle.idx].book;
  Log(LogPart::kFleet, LogLevel::kInfo,
      "Endpoint " + RowOf(state, handle).source.name + " has " +
          std::to_string(book.slots.slots) +
          " slots: " + policy::NameOf(reason) + ".");
}

void UpdateKeeping(FleetState& state, Time now, Actions& out) {
  for (std::uint32_t i = 0; i < state.endpoints.size(); ++i) {
    EndpointState& endpoint = state.endpoints[i];
    const bool keeps = endpoint.book.has_value();
    const bool may = CanKeep(state, endpoint, now);
    if (may && !keeps) StartKeeping(state, {i}, now);
    if (!may && keeps) StopKeeping(state, {i}, now);
    if (!endpoint.book.has_value()) continue;
    // An engine whose reports can't be read is treated like a service.
    const auto wait =
        endpoint.has_reports ? kHolderSilent + kReportLost : kHolderSilent;
    if (!endpoint.book->ready && now - endpoint.book->opened >= wait) {
      SuspectStrangers(*endpoint.book, SilentNodes(state, *endpoint.book));
    }
    AskReport(state, {i}, now, out);
    GiveOrder(state, {i}, now, out);
  }
}

SlotLease AnswerAsk(FleetState& state, EndpointHandle handle,
                    const Sender& from, std::uint64_t number,
                    const SlotAsk& ask, Time now) {
  KeeperState& book = *state.endpoints[handle.idx].book;
  LogSlots(state, handle, ApplyAsk(book, from, number, ask, now));
  const std::uint32_t slots = GrantSlots(book, from, now);
  return MakeLease(state, handle, slots, number, now);
}

void TakeAsks(FleetState& state, const Sender& from, const SlotAsks& asks,
              Time now, Actions& out) {
  if (!RecordSender(state.members, from, now)) return;
  SlotLeases leases;
  for (const SlotAsk& ask : asks.asks) {
    const EndpointHandle handle =
        FindEndpoint(*state.config.rules, ask.endpoint);
    if (!IsValid(handle)) continue;
    EndpointState& endpoint = state.endpoints[handle.idx];
    // Judged anew for each ask: this process may have been paused since its
    // last tick, and another node may keep the endpoint by now.
    if (!endpoint.book.has_value() || !CanKeep(state, endpoint, now)) continue;
    const std::uint32_t pool_before = LeasableSlots(*endpoint.book);
    leases.leases.push_back(
        AnswerAsk(state, handle, from, asks.number, ask, now));
    if (LeasableSlots(*endpoint.book) < pool_before) {
      CutHolders(state, handle, now, out);
    }
  }
  if (leases.leases.empty()) return;
  out.emplace_back(
      SendMessage{AddressOf(state, from.node), std::move(leases), true});
}

void CutHolders(FleetState& state, EndpointHandle handle, Time now,
                Actions& out) {
  EndpointState& endpoint = state.endpoints[handle.idx];
  for (const Cut& cut : HoldersToCut(*endpoint.book, now)) {
    SlotLeases leases;
    leases.leases.push_back(
        MakeLease(state, handle, cut.keep.slots, cut.keep.ask_number, now));
    if (cut.process.node == state.members.self.node) {
      TakeLeases(state, cut.process.node, leases, now, out);
      continue;
    }
    const std::string& address = AddressOf(state, cut.process.node);
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
  if (!endpoint.book.has_value()) return;
  const std::uint32_t pool_before = LeasableSlots(*endpoint.book);
  LogSlots(state, handle, ApplyReport(*endpoint.book, report, now));
  if (report != nullptr) {
    ApplyLoadedModels(state.orders.kept[handle], report->loaded, now);
  }
  if (LeasableSlots(*endpoint.book) < pool_before) {
    CutHolders(state, handle, now, out);
  }
}

}  // namespace egretladder::fleet
