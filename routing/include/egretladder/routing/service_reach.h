// Tells a node that lost its links to the endpoints of a service from single
// endpoints that fail.
//
// A node judges each endpoint by its own attempts. If its links to all
// endpoints are lost, the endpoints look down one by one, and each request is
// sent to several of them in vain before it is refused, while other nodes are
// answered by the same endpoints. Attempts that fail in a row at several
// endpoints show the loss within one connect timeout. Bytes on connections that
// were opened before don't refute it: they may live on while new ones fail.
//
// The node returns to a service by one request at a time, and then by steps,
// because a link that comes and goes would otherwise cost each caller a
// timeout.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "egretladder/kernel/time.h"
#include "egretladder/routing/endpoints.h"
#include "egretladder/routing/limits.h"

namespace egretladder::routing {

using kernel::Time;

/// Whether a node's attempts at the endpoints of a service are answered.
enum class ReachState : std::uint8_t {
  kReached,
  kLost,       ///< No attempt is answered; one probes from time to time.
  kReturning,  ///< A probe was answered; a growing number of requests is sent.
};
/// Returns the state's name in logs.
const char* NameOf(ReachState state);

/// What a node's own attempts show of its links to one service.
struct ServiceReach {
  ReachState state = ReachState::kReached;
  Time state_since{};     ///< Default: since the start.
  Time last_answer_at{};  ///< Last answer to an attempt; default: never.
  /// When the first of the attempts that failed in a row was sent; default:
  /// the last attempt was answered.
  Time failing_since{};
  /// Hashes of the ids of the endpoints at which they failed, without
  /// repetition, `kMinUnansweringEndpoints` at most.
  std::vector<std::uint64_t> unanswering;
  std::uint32_t failures = 0;  ///< Attempts that failed in a row.
  Time next_probe_at{};        ///< While lost.
  Time last_wanted_at{};       ///< Last request for the service while lost.
  bool is_unwanted = false;    ///< No request came for long; see `IsUnreached`.
  milliseconds probe_interval{};  ///< While lost.
  std::uint32_t in_flight = 0;    ///< Attempts that began since `state_since`.
  std::uint32_t max_in_flight = 0;  ///< While returning.
};

/// Returns the number of the service's endpoints at which an attempt can show
/// whether the service is reached, up to `kMinUnansweringEndpoints`. If it has
/// none, all its endpoints count.
std::size_t CountTellingEndpoints(const EndpointSet& set,
                                  const std::string& service, Time now);

/// Records that an attempt began.
void OnReachAttemptBegan(ServiceReach& reach);
/// Records that an attempt sent at `sent_at` ended or was cancelled.
void OnReachAttemptEnded(ServiceReach& reach, Time sent_at);
/// Records that an attempt sent at `sent_at` was answered. Returns true if the
/// state changed.
bool OnReachAnswered(ServiceReach& reach, Time sent_at, Time now);
/// Records that an attempt sent at `sent_at` to the endpoint with that hash
/// ended without any answer. `telling` is the result of
/// `CountTellingEndpoints`. Returns true if the state changed.
bool OnReachUnanswered(ServiceReach& reach, std::uint64_t endpoint,
                       std::size_t telling, Time sent_at, Time now);

/// Counts attempts that still wait at the endpoints as failures, if they are
/// overdue and no attempt was answered since they were sent. `telling` is the
/// result of `CountTellingEndpoints`. Returns true if the state changed.
bool CheckOverdueAttempts(ServiceReach& reach,
                          const std::vector<EndpointPtr>& endpoints,
                          std::size_t telling, Time now);

/// A request that a node may send over links that may be lost.
struct ReachRequest {
  milliseconds time_left{};
  bool is_repeatable = false;  ///< Without an answer it can be sent again.
};

/// Returns true if this node may send the request to an endpoint of the service
/// itself. While the service is lost, this is true for one request in each
/// probe interval, which begins with the call. A request that isn't repeatable
/// would be lost as a probe, and waits for `kRepeatableProbeTime`.
bool TryReach(ServiceReach& reach, const ReachRequest& request, Time now);

/// Returns true if the last attempts at the service failed, which need not be
/// enough for a loss.
bool IsFailing(const ServiceReach& reach);
/// Returns what `TryReach` would for a repeatable request, without beginning a
/// probe interval.
bool MayReach(const ServiceReach& reach, Time now);
/// Records that a request for the service came, whether or not it may probe.
void OnReachWanted(ServiceReach& reach, Time now);
/// Records that no request has come for `kMaxUnwantedTime` for a lost service.
/// Returns true if that is news.
bool ForgetUnwantedLoss(ServiceReach& reach, Time now);
/// Returns true if peers are to know that this node doesn't reach the service.
/// Without requests it can't know: callers have to come again, of whose
/// requests the first one probes.
bool IsUnreached(const ServiceReach& reach);

}  // namespace egretladder::routing
