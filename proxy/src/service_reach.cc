// Evidence of this node's links to the services, and its log.
#include "egretladder/routing/service_reach.h"

#include <algorithm>

#include "state_p.h"

namespace egretladder::proxy {
namespace {

using kernel::LogLevel;
using kernel::LogPart;
using routing::AttemptOutcome;

bool IsUnanswered(const Attempt& attempt, AttemptOutcome outcome) {
  if (outcome == AttemptOutcome::kNotSent) return true;
  return attempt.head.status == 0 && (outcome == AttemptOutcome::kSilent ||
                                      outcome == AttemptOutcome::kBroken);
}

void LogState(const std::string& service, const routing::ServiceReach& reach,
              std::size_t telling, Time now) {
  const milliseconds answer_age = reach.last_answer_at == Time{}
                                      ? milliseconds(-1)
                                      : Elapsed(reach.last_answer_at, now);
  kernel::LogEvent(LogPart::kEndpoint, LogLevel::kWarning, "service-reach",
                   {{"service", service},
                    {"state", routing::NameOf(reach.state)},
                    {"answer_age_ms", answer_age},
                    {"endpoints", telling}});
}

void OnStateChanged(Proxy& proxy, const std::string& service,
                    const routing::ServiceReach& reach) {
  LogState(
      service, reach,
      routing::CountTellingEndpoints(proxy.endpoints, service, NowOf(proxy)),
      NowOf(proxy));
  if (UpdateUnreached(proxy)) ExchangeWithManyPeers(proxy);
}

// Returns the endpoints at which own attempts wait for a first byte, by
// service.
std::map<std::string, std::vector<routing::EndpointPtr>> FindWaitingEndpoints(
    const Proxy& proxy) {
  std::map<std::string, std::vector<routing::EndpointPtr>> waiting;
  for (const auto& [number, call] : proxy.calls) {
    const Attempt* attempt = call->attempt.get();
    if (attempt == nullptr || !attempt->peer.empty() || attempt->started)
      continue;
    waiting[call->service->name].push_back(attempt->endpoint);
  }
  return waiting;
}

}  // namespace

bool UpdateUnreached(Proxy& proxy) {
  routing::ServiceBits unreached = 0;
  for (const auto& [service, reach] : proxy.reaches) {
    if (!routing::IsUnreached(reach) || proxy.rules == nullptr) continue;
    unreached |= routing::BitOfService(*proxy.rules, service);
  }
  const bool changed = unreached != proxy.members.self.state.unreached;
  proxy.members.self.state.unreached = unreached;
  return changed;
}

void CheckOverdueAttempts(Proxy& proxy) {
  const Time now = NowOf(proxy);
  for (const auto& [service, endpoints] : FindWaitingEndpoints(proxy)) {
    routing::ServiceReach& reach = proxy.reaches[service];
    const std::size_t telling =
        routing::CountTellingEndpoints(proxy.endpoints, service, now);
    if (routing::CheckOverdueAttempts(reach, endpoints, telling, now))
      OnStateChanged(proxy, service, reach);
  }
}

void ForgetUnwantedLosses(Proxy& proxy) {
  for (auto& [service, reach] : proxy.reaches) {
    if (routing::ForgetUnwantedLoss(reach, NowOf(proxy)))
      OnStateChanged(proxy, service, reach);
  }
}

void RecordAttemptBegan(Proxy& proxy, const Call& call) {
  routing::OnReachAttemptBegan(proxy.reaches[call.service->name]);
}

void RecordAttemptEnded(Proxy& proxy, const Call& call,
                        const Attempt& attempt) {
  routing::OnReachAttemptEnded(proxy.reaches[call.service->name],
                               attempt.sent_at);
}

void RecordAnswered(Proxy& proxy, const Call& call) {
  const std::string& service = call.service->name;
  routing::ServiceReach& reach = proxy.reaches[service];
  const Time now = NowOf(proxy);
  if (!routing::OnReachAnswered(reach, call.attempt->sent_at, now)) return;
  OnStateChanged(proxy, service, reach);
}

void RecordUnanswered(Proxy& proxy, Call& call, AttemptOutcome outcome) {
  const Attempt& attempt = *call.attempt;
  if (!IsUnanswered(attempt, outcome)) return;
  // A connection that broke may be that of a request which crashes endpoints,
  // and a peer may not know its earlier crashes yet.
  if (outcome == AttemptOutcome::kSilent) ++call.unanswered;
  const std::string& service = call.service->name;
  routing::ServiceReach& reach = proxy.reaches[service];
  const Time now = NowOf(proxy);
  const std::size_t telling =
      routing::CountTellingEndpoints(proxy.endpoints, service, now);
  if (!routing::OnReachUnanswered(reach, attempt.endpoint->name_hash, telling,
                                  attempt.sent_at, now)) {
    return;
  }
  OnStateChanged(proxy, service, reach);
}

}  // namespace egretladder::proxy
