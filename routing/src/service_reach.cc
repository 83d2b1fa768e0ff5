#include "egretladder/routing/service_reach.h"

#include <algorithm>
#include <utility>

#include "egretladder/routing/placement.h"

namespace egretladder::routing {
namespace {

void Enter(ServiceReach& reach, ReachState state, Time now) {
  reach.state = state;
  reach.state_since = now;
  reach.in_flight = 0;
  reach.is_unwanted = false;
}

void EnterLost(ServiceReach& reach, Time now) {
  // A link that was lost again soon after it returned is probed less often.
  const bool is_relapse = reach.state == ReachState::kReturning;
  reach.probe_interval =
      is_relapse ? std::min(2 * reach.probe_interval, kMaxReachProbeInterval)
                 : kReachProbeInterval;
  reach.next_probe_at = now + reach.probe_interval;
  Enter(reach, ReachState::kLost, now);
}

void ForgetFailures(ServiceReach& reach) {
  reach.failing_since = {};
  reach.unanswering.clear();
  reach.failures = 0;
}

void EnterReturning(ServiceReach& reach, Time now) {
  ForgetFailures(reach);
  reach.max_in_flight = kInitialReturningInFlight;
  Enter(reach, ReachState::kReturning, now);
}

bool IsUnanswering(const ServiceReach& reach, std::uint64_t endpoint) {
  return std::find(reach.unanswering.begin(), reach.unanswering.end(),
                   endpoint) != reach.unanswering.end();
}

void AddUnanswering(ServiceReach& reach, std::uint64_t endpoint) {
  if (reach.unanswering.size() >= kMinUnansweringEndpoints) return;
  if (!IsUnanswering(reach, endpoint)) reach.unanswering.push_back(endpoint);
}

}  // namespace

const char* NameOf(ReachState state) {
  switch (state) {
    case ReachState::kReached:
      return "reached";
    case ReachState::kLost:
      return "lost";
    case ReachState::kReturning:
      return "returning";
  }
  return "unknown";
}

std::size_t CountTellingEndpoints(const EndpointSet& set,
                                  const std::string& service, Time now) {
  const auto at = set.by_service.find(service);
  if (at == set.by_service.end()) return 0;
  std::size_t count = 0;
  for (const EndpointPtr& endpoint : at->second) {
    // One with a limit hardly gets any attempt.
    if (MaySend(set, *endpoint, now) && endpoint->limit.per_second == 0)
      ++count;
    if (count == kMinUnansweringEndpoints) return count;
  }
  return count > 0 ? count : at->second.size();
}

void OnReachAttemptBegan(ServiceReach& reach) { ++reach.in_flight; }

void OnReachAttemptEnded(ServiceReach& reach, Time sent_at) {
  if (sent_at < reach.state_since) return;
  if (reach.in_flight > 0) --reach.in_flight;
}

bool OnReachAnswered(ServiceReach& reach, Time sent_at, Time now) {
  reach.last_answer_at = now;
  // An answer to an attempt from before the failures says nothing about the
  // links since.
  if (sent_at < reach.failing_since) return false;
  ForgetFailures(reach);
  switch (reach.state) {
    case ReachState::kReached:
      return false;
    case ReachState::kLost:
      EnterReturning(reach, now);
      return true;
    case ReachState::kReturning:
      reach.max_in_flight *= 2;
      if (reach.max_in_flight <= kMaxReturningInFlight) return false;
      Enter(reach, ReachState::kReached, now);
      return true;
  }
  return false;
}

bool OnReachUnanswered(ServiceReach& reach, std::uint64_t endpoint,
                       std::size_t telling, Time sent_at, Time now) {
  if (sent_at < reach.state_since) return false;
  if (reach.state == ReachState::kLost)
    return std::exchange(reach.is_unwanted, false);
  if (reach.failing_since == Time{} || sent_at < reach.failing_since) {
    reach.failing_since = sent_at;
  }
  AddUnanswering(reach, endpoint);
  ++reach.failures;
  const std::size_t enough =
      reach.failures >= kManyUnanswered ? 2 : kMinUnansweringEndpoints;
  const std::size_t needed =
      std::min(std::max<std::size_t>(telling, 1), enough);
  if (reach.unanswering.size() < needed) return false;
  EnterLost(reach, now);
  return true;
}

bool CheckOverdueAttempts(ServiceReach& reach,
                          const std::vector<EndpointPtr>& endpoints,
                          std::size_t telling, Time now) {
  if (reach.state == ReachState::kLost && !reach.is_unwanted) return false;
  for (const EndpointPtr& endpoint : endpoints) {
    if (IsUnanswering(reach, endpoint->name_hash)) continue;
    if (OverdueTime(*endpoint, now).count() == 0) continue;
    const Time sent_at = endpoint->unanswered.begin()->second.placed_at;
    if (sent_at < reach.last_answer_at || now - sent_at < kMinServiceSilence) {
      continue;
    }
    if (OnReachUnanswered(reach, endpoint->name_hash, telling, sent_at, now)) {
      return true;
    }
  }
  return false;
}

bool IsFailing(const ServiceReach& reach) {
  return reach.state != ReachState::kReached || reach.failing_since != Time{};
}

bool MayReach(const ServiceReach& reach, Time now) {
  switch (reach.state) {
    case ReachState::kReached:
      return true;
    case ReachState::kReturning:
      return reach.in_flight < reach.max_in_flight;
    case ReachState::kLost:
      break;
  }
  return now >= reach.next_probe_at;
}

bool TryReach(ServiceReach& reach, const ReachRequest& request, Time now) {
  if (!MayReach(reach, now)) return false;
  if (reach.state != ReachState::kLost) return true;
  if (request.time_left < kMinProbeTimeLeft) return false;
  if (!request.is_repeatable &&
      now < reach.next_probe_at + kRepeatableProbeTime) {
    return false;
  }
  reach.next_probe_at = now + reach.probe_interval;
  return true;
}

void OnReachWanted(ServiceReach& reach, Time now) {
  reach.last_wanted_at = now;
}

bool ForgetUnwantedLoss(ServiceReach& reach, Time now) {
  if (reach.state != ReachState::kLost || reach.is_unwanted ||
      now - std::max(reach.last_wanted_at, reach.next_probe_at) <
          kMaxUnwantedTime) {
    return false;
  }
  reach.is_unwanted = true;
  return true;
}

bool IsUnreached(const ServiceReach& reach) {
  return reach.state == ReachState::kLost && !reach.is_unwanted;
}

}  // namespace egretladder::routing
