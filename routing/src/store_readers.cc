#include "egretladder/routing/store_readers.h"

#include <algorithm>

#include "egretladder/kernel/hash.h"

namespace egretladder::routing {
namespace {

// Returns how many available nodes come before this one in the hash order, up
// to `kMaxReaderCandidates`.
std::size_t OwnRank(const Members& members) {
  const std::uint64_t own = kernel::HashBytes(members.self.node);
  const auto& candidates = members.reader_candidates;
  const auto rank = std::count_if(
      candidates.begin(), candidates.end(),
      [own](const KnownMember* known) { return known->name_hash > own; });
  return static_cast<std::size_t>(rank);
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
bool IsSilentReader(const Members& members, const KnownMember& known,
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
  const std::size_t rank = OwnRank(members);
  if (rank < kMaxReaders) return true;
  if (rank >= kMaxReaderCandidates) return false;
  const milliseconds max_silence = MaxReaderSilenceFor(rank);
  const auto& candidates = members.reader_candidates;
  const auto active_readers =
      std::count_if(candidates.begin(),
                    candidates.begin() + static_cast<std::ptrdiff_t>(rank),
                    [&](const KnownMember* known) {
                      return !known->member.state.store_troubled &&
                             !IsSilentReader(members, *known, max_silence, now);
                    });
  return static_cast<std::size_t>(active_readers) < kMaxReaders;
}

bool IsEagerReader(const Members& members) {
  const std::uint64_t own = kernel::HashBytes(members.self.node);
  const auto& candidates = members.reader_candidates;
  const auto rank = std::count_if(
      candidates.begin(), candidates.end(), [own](const KnownMember* known) {
        return known->name_hash > own && !known->member.state.store_troubled;
      });
  return static_cast<std::size_t>(rank) < kEagerReaders;
}

bool AreAllReadersTroubled(const Members& members) {
  const auto& candidates = members.reader_candidates;
  return !candidates.empty() &&
         std::all_of(candidates.begin(), candidates.end(),
                     [](const KnownMember* known) {
                       return known->member.state.store_troubled;
                     });
}

std::vector<std::string> StandbyAddresses(const Members& members) {
  const std::size_t own_rank = OwnRank(members);
  const auto& candidates = members.reader_candidates;
  std::vector<std::string> standbys;
  for (std::size_t i = own_rank; i < candidates.size(); ++i) {
    // This node stands between those before and after it.
    const std::size_t rank = i + 1;
    if (rank >= kMaxReaders && rank < kMaxReaderCandidates)
      standbys.push_back(candidates[i]->member.peers);
  }
  return standbys;
}

}  // namespace egretladder::routing
