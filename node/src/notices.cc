// What endpoints state about themselves in their answers: that they are
// leaving, or that they want no calls from this node for some time. A statement
// holds for the process that made it.
#include <algorithm>

#include "egretladder/node/limits.h"
#include "state_p.h"

namespace egretladder::node {
namespace {

void ApplyNotice(NodeState& state, EndpointHandle endpoint,
                 const EndpointNotice& notice, Time now, Actions& out) {
  const rules::RulesPtr rules = fleet::RulesOf(*state.fleet);
  if (rules == nullptr || endpoint.idx >= state.endpoints.size()) return;
  EndpointRecord& record = state.endpoints[endpoint.idx];
  const bool took_work = TakesWork(record, now);
  if (notice.leaving) record.said_leaving = true;
  if (notice.backoff.count() > 0) {
    const auto backoff = std::min<std::chrono::milliseconds>(
        notice.backoff, kMaxEndpointBackoff);
    record.backoff_until = std::max(record.backoff_until, now + backoff);
    state.next_backoff_end =
        std::min(state.next_backoff_end, record.backoff_until);
  }
  record.address = rules->endpoints[endpoint.idx].address;
  if (took_work && !TakesWork(record, now)) {
    ReportAvailability(state, endpoint,
                       notice.leaving ? "said_leaving" : "backs_off", now, out);
    ApplyScheduler(state, now, out);
  }
}

}  // namespace

bool TakesWork(const EndpointRecord& endpoint, Time now) {
  return endpoint.available && !endpoint.said_leaving &&
         now >= endpoint.backoff_until;
}

void ReportAvailability(NodeState& state, EndpointHandle endpoint,
                        const char* why, Time now, Actions& out) {
  EmitPlacementDecision(state, endpoint, "available", why, out);
  state.scheduler->on_available(*state.scheduler_state, endpoint,
                                TakesWork(state.endpoints[endpoint.idx], now),
                                now, state.scheduler_actions);
}

void ForgetNotice(NodeState& state, EndpointHandle endpoint, Time now,
                  Actions& out) {
  EndpointRecord& record = state.endpoints[endpoint.idx];
  const bool took_work = TakesWork(record, now);
  record.said_leaving = false;
  record.backoff_until = {};
  if (!took_work && TakesWork(record, now)) {
    ReportAvailability(state, endpoint, "new_process", now, out);
  }
}

void ForgetMovedEndpoints(NodeState& state, const rules::Rules& rules, Time now,
                          Actions& out) {
  for (std::uint32_t i = 0; i < state.endpoints.size(); ++i) {
    const EndpointRecord& record = state.endpoints[i];
    const bool has_notice =
        record.said_leaving || record.backoff_until != Time{};
    if (has_notice && record.address != rules.endpoints[i].address) {
      ForgetNotice(state, EndpointHandle{i}, now, out);
    }
  }
}

void EndBackoffs(NodeState& state, Time now, Actions& out) {
  if (now < state.next_backoff_end) return;
  state.next_backoff_end = Time::max();
  for (std::uint32_t i = 0; i < state.endpoints.size(); ++i) {
    EndpointRecord& record = state.endpoints[i];
    if (record.backoff_until == Time{}) continue;
    if (now < record.backoff_until) {
      state.next_backoff_end =
          std::min(state.next_backoff_end, record.backoff_until);
      continue;
    }
    record.backoff_until = {};
    if (TakesWork(record, now)) {
      ReportAvailability(state, EndpointHandle{i}, "backoff_over", now, out);
    }
  }
}

std::chrono::milliseconds TimeToBackoffEnd(const NodeState& state,
                                           rules::TargetHandle target,
                                           Time now) {
  const rules::RulesPtr rules = fleet::RulesOf(*state.fleet);
  Time first_end = Time::max();
  for (std::uint32_t i = 0; i < state.endpoints.size(); ++i) {
    const EndpointRecord& record = state.endpoints[i];
    const bool backs_off =
        record.available && !record.said_leaving && now < record.backoff_until;
    if (backs_off && rules::Serves(rules->endpoints[i], target)) {
      first_end = std::min(first_end, record.backoff_until);
    }
  }
  if (first_end == Time::max()) return {};
  return std::chrono::ceil<std::chrono::milliseconds>(first_end - now);
}

void OnNotice(NodeState& state, CallId call, std::uint8_t attempt,
              const EndpointNotice& notice, Time now, Actions& out) {
  const CallRecord* record = FindAttempt(state, call, attempt);
  if (record != nullptr) ApplyNotice(state, record->endpoint, notice, now, out);
}

void OnReportNotice(NodeState& state, EndpointHandle endpoint,
                    const EndpointNotice& notice, Time now, Actions& out) {
  ApplyNotice(state, endpoint, notice, now, out);
}

}  // namespace egretladder::node
