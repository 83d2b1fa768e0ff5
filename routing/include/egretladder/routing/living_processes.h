// Remembers until when the processes of endpoints are known to have lived.
//
// A connection may break although the process at its other end lives on, when
// a path fails or an endpoint gives an answer up. A process that states the
// same start afterwards was not crashed. Nodes gossip it, because they gossip
// the breaks as well: one that has been taken back must not come back.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "egretladder/kernel/time.h"
#include "egretladder/routing/limits.h"

namespace egretladder::routing {

/// How long a process is remembered; as long as a break counts.
inline constexpr milliseconds kLivingRetention{120'000};
/// Processes remembered, about 60 bytes each.
inline constexpr std::size_t kMaxLivingProcesses = 1024;
/// How late gossip may be: a break of which a peer tells may seem to be so much
/// later than the answer of the process that lived on after it.
inline constexpr milliseconds kMaxLivingDelay{500};
/// What peers tell is news if it is so much later than what is known. Ages grow
/// by the transfer time, and gossip that circulates must come to rest.
inline constexpr milliseconds kMinLivingNews{150};
/// How long a process is gossiped after it was last heard of.
inline constexpr milliseconds kLivingGossipTime{3000};
/// Processes sent in one exchange, 16 bytes each: the latest ones.
inline constexpr std::size_t kMaxLivingPerExchange = 32;
/// Processes sent to a node that may have missed news.
inline constexpr std::size_t kMaxLivingForJoining = 256;

/// Until when a process is known to have lived.
struct LivingProcess {
  kernel::Time heard{};    ///< As this node was told by itself.
  kernel::Time told{};     ///< As peers were.
  kernel::Time changed{};  ///< Last news.
};
/// By hash of the endpoint's process.
using LivingProcesses = std::unordered_map<std::uint64_t, LivingProcess>;

/// Records that the process answered a question that was asked then.
void OnProcessHeard(LivingProcesses& living, std::uint64_t process,
                    kernel::Time asked_at, kernel::Time now);
/// Returns true if the process lived on after a connection to it broke. What
/// this node saw breaks is excused by what it heard itself alone, as the times
/// of peers are late: the process may have crashed after it answered them.
bool HasLivedOn(const LivingProcesses& living, std::uint64_t process,
                kernel::Time broke, bool seen_here);

/// A living process, as nodes gossip it. It holds an age, because clocks
/// differ.
struct LivingGossip {
  std::uint64_t process = 0;
  milliseconds lived_ago{};
};
/// Returns the processes for a peer, the latest first.
std::vector<LivingGossip> MakeLivingGossip(const LivingProcesses& living,
                                           bool is_all, kernel::Time now);
/// Applies a process from a peer. Returns true if it is news.
bool MergeLivingGossip(LivingProcesses& living, const LivingGossip& gossip,
                       kernel::Time now);
/// Drops processes that weren't heard of within `kLivingRetention`.
void ForgetLiving(LivingProcesses& living, kernel::Time now);

}  // namespace egretladder::routing
