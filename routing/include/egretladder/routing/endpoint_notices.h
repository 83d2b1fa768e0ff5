// What endpoints state about themselves in their answers: that they are
// leaving, or that they want no requests from this node for some time.
//
// Such a notice comes with the answer, while the endpoint's entry in the store
// may be seconds older, or unreachable. A notice binds the node that received
// it, until the process that gave it is replaced. Which process that is, the
// endpoint is asked: its entry may tell of the one before.
#pragma once

#include <chrono>
#include <string>
#include <string_view>

#include "egretladder/routing/endpoints.h"

namespace egretladder::routing {

/// What one answer states about the endpoint that sent it.
struct EndpointNotice {
  bool leaving = false;
  /// How long the endpoint wants no request from this node, at most
  /// `kMaxEndpointBackoff`; 0: not stated.
  milliseconds backoff{};
};

/// What a notice changed, for the log.
struct NoticeChange {
  bool leaving = false;  ///< The endpoint has not stated before that it leaves.
  /// A backoff began, or now ends later by more than
  /// `kMinLoggedBackoffChange`.
  bool backoff = false;
};

/// Returns the endpoint that gave an answer: the addressed one, unless the
/// answer names another instance or says that it isn't the addressed one. Null:
/// an endpoint that isn't published.
EndpointPtr FindAnsweringEndpoint(const EndpointSet& set,
                                  const EndpointPtr& addressed,
                                  std::string_view instance_id,
                                  bool is_wrong_instance);

/// Applies a notice of the endpoint. An answer without notice revokes nothing:
/// answers overtake each other.
NoticeChange OnNotice(EndpointSet& set, Endpoint& endpoint,
                      const EndpointNotice& notice, Time now);

/// What a notice that came at `now` means from then on.
StandingNotices StandingFrom(const EndpointNotice& notice, Time now);

/// Records that `stated`, a notice which was applied to the endpoint, came from
/// the process that started at `started_unix_ms`. That process is bound by it
/// whenever its entry arrives.
void OnNoticeOrigin(EndpointSet& set, Endpoint& endpoint,
                    const StandingNotices& stated,
                    std::uint64_t started_unix_ms);

/// Keeps what an endpoint that is being removed stated, its limit included: its
/// entry may expire and return while the process runs on. The statements of the
/// last `kMaxRememberedEndpoints` such endpoints are kept.
void RememberRemoved(EndpointSet& set, const Endpoint& endpoint);

/// Gives a new endpoint what its process stated before the entry was removed.
/// Another process under the same id starts with what is known to be its own,
/// and one that doesn't publish when it started without statements.
void RestoreStatements(EndpointSet& set, Endpoint& endpoint);

/// Returns how much longer the endpoint wants no requests; 0: it takes them.
milliseconds RemainingBackoff(const Endpoint& endpoint, Time now);

}  // namespace egretladder::routing
