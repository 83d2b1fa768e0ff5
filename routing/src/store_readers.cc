#include "egretladder/routing/store_readers.h"

#include <algorithm>

#include "egretladder/kernel/hash.h"

namespace egretladder::routing {
namespace {

// The other available nodes, by whether the hash order puts them before or
// after this one.
struct RankedNodes {
  std::vector<const KnownMember*> before;
  std::vector<const KnownMember*> after;
};

RankedNodes RankOtherNodes(const Members& members, Time now) {
  const std::uint64_t own = kernel::HashBytes(members.self.node);
  RankedNodes ranked;
  for (const auto& [node, known] : members.others) {
    if (!IsMemberAvailable(members, known, now)) continue;
    auto& group = kernel::HashBytes(node) > own ? ranked.before : ranked.after;
    group.push_back(&known);
  }
  return ranked;
}

// Returns how long readers may be silent before the standby of this rank
// replaces them. The first standby to do so informs the next ones before their
// time comes.
milliseconds MaxReaderSilenceFor(std::size_t rank) {
  return kMaxReaderSilence +
         kStandbyStagger * static_cast<std::int64_t>(rank - kMaxReaders);
}

// Returns true if the reader has been silent for too long. Silence counts only
// after a while, because readers and their standbys must learn of each other
// first.
bool IsSilent(const Members& members, const KnownMember& known,
              milliseconds max_silence, Time now) {
  const Time counted_from =
      std::max(known.first_seen_at, members.started) + kNewMemberTime;
  return now - std::max(known.last_message_at, counted_from) > max_silence;
}

}  // namespace

bool IsReader(const Members& members, Time now) {
  const bool is_young = now - members.started < kMinReaderAge;
  if (is_young && !members.seeds.empty()) return false;
  if (IsSmallFleet(members)) return true;
  const auto before = RankOtherNodes(members, now).before;
  const std::size_t rank = before.size();
  if (rank < kMaxReaders) return true;
  if (rank >= kMaxReaderCandidates) return false;
  const milliseconds max_silence = MaxReaderSilenceFor(rank);
  const auto active_readers = std::count_if(
      before.begin(), before.end(), [&](const KnownMember* known) {
        return !known->member.store_troubled &&
               !IsSilent(members, *known, max_silence, now);
      });
  return static_cast<std::size_t>(active_readers) < kMaxReaders;
}

std::vector<std::string> StandbyAddresses(const Members& members, Time now) {
  RankedNodes ranked = RankOtherNodes(members, now);
  const std::size_t rank = ranked.before.size();
  auto& after = ranked.after;
  std::sort(after.begin(), after.end(),
            [](const KnownMember* left, const KnownMember* right) {
              return kernel::HashBytes(left->member.node) >
                     kernel::HashBytes(right->member.node);
            });
  std::vector<std::string> standbys;
  for (std::size_t i = 0;
       i < after.size() && rank + 1 + i < kMaxReaderCandidates; ++i) {
    if (rank + 1 + i >= kMaxReaders) {
      standbys.push_back(after[i]->member.peers);
    }
  }
  return standbys;
}

}  // namespace egretladder::routing
