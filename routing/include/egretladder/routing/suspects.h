// Requests that crash the endpoints that run them.
//
// What goes wrong: a request crashes each endpoint that begins to run it, and
// is sent again, by this node or by its caller at another one; one body takes
// down the endpoints of a service one after the other. It shows as connections
// that break at one endpoint after the next and never an answer. Requests that
// ran beside it break as well, and so do those on endpoints that fail together
// for another cause: an answer clears a request, and breaks side by side count
// as one.
//
// Nodes tell each other what broke, since callers go to another node.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "egretladder/kernel/time.h"
#include "egretladder/routing/limits.h"

namespace egretladder::routing {

using kernel::Time;

/// A connection that broke while it carried the request.
struct Break {
  std::uint64_t endpoint = 0;  ///< Hash of its id.
  Time sent{};
  Time broke{};
};

/// What is known of one request, as a hash of path, account and body.
struct Suspect {
  std::vector<Break> breaks;  ///< The last one of each endpoint.
  Time cleared{};             ///< Got an answer then; earlier breaks are void.
  Time changed{};             ///< By news that peers may not have.
};

/// All suspects of one node.
struct Suspects {
  std::unordered_map<std::uint64_t, Suspect> by_request;
};

/// A connection broke under the request, at `seen.broke`.
void OnConnectionBroke(Suspects& suspects, std::uint64_t request,
                       const Break& seen);
/// An endpoint ran the request to its end, well or badly.
void OnRequestRan(Suspects& suspects, std::uint64_t request, Time now);

/// How much longer the request gets no endpoint; 0: it may be sent.
milliseconds RemainingHoldTime(const Suspects& suspects, std::uint64_t request,
                               Time now);

/// One suspect as nodes tell each other, by age, since clocks differ.
struct ToldBreak {
  std::uint64_t endpoint = 0;
  milliseconds sent_ago{};
  milliseconds broke_ago{};
};
struct SuspectGossip {
  std::uint64_t request = 0;
  std::vector<ToldBreak> breaks;
  milliseconds cleared_ago{};  ///< `kNeverCleared`: it never was.
};
/// Larger than any age that is told.
inline constexpr milliseconds kNeverCleared = 2 * kSuspectKept;

/// Those that changed within `kSuspectTold`, the newest first.
std::vector<SuspectGossip> MakeSuspectGossip(const Suspects& suspects,
                                             Time now);
/// Takes in what a peer told. The same news again change nothing, in any order.
void ApplySuspectGossip(Suspects& suspects, const SuspectGossip& told,
                        Time now);
/// Drops what is older than `kSuspectKept`.
void ForgetSuspects(Suspects& suspects, Time now);

}  // namespace egretladder::routing
