#include "egretladder/routing/store_readers.h"

#include <algorithm>

#include "egretladder/kernel/hash.h"

namespace egretladder::routing {
namespace {

// The other nodes that are there, by whether a hash prefers them to this one.
struct Ranked {
  std::vector<const KnownMember*> before;
  std::vector<const KnownMember*> after;
};

Ranked RankOthers(const Members& members, Time now) {
  const std::uint64_t own = kernel::HashBytes(members.self.node);
  Ranked ranked;
  for (const auto& [node, known] : members.others) {
    if (!IsMemberAvailable(members, known, now)) continue;
    auto& side = kernel::HashBytes(node) > own ? ranked.before : ranked.after;
    side.push_back(&known);
  }
  return ranked;
}

// How long readers may be silent to a standby. The first to take a reader's
// place tells the next ones before their time comes.
milliseconds SilenceAllowedTo(std::size_t rank) {
  return kReaderSilence +
         kReaderStagger * static_cast<std::int64_t>(rank - kReadersMost);
}

// Readers and their standbys need a while to hear of each other.
bool IsSilent(const Members& members, const KnownMember& known,
              milliseconds allowed, Time now) {
  const Time told_from = std::max(known.met, members.started) + kMemberNew;
  return now - std::max(known.heard_itself, told_from) > allowed;
}

}  // namespace

bool IsReader(const Members& members, Time now) {
  const bool young = now - members.started < kReaderLeastAge;
  if (young && !members.seeds.empty()) return false;
  if (IsSmallFleet(members)) return true;
  const auto before = RankOthers(members, now).before;
  const std::size_t rank = before.size();
  if (rank < kReadersMost) return true;
  if (rank >= kReadersAble) return false;
  const milliseconds allowed = SilenceAllowedTo(rank);
  const auto reading = std::count_if(
      before.begin(), before.end(), [&](const KnownMember* known) {
        return !known->member.store_troubled &&
               !IsSilent(members, *known, allowed, now);
      });
  return static_cast<std::size_t>(reading) < kReadersMost;
}

std::vector<std::string> StandbyAddresses(const Members& members, Time now) {
  Ranked ranked = RankOthers(members, now);
  const std::size_t rank = ranked.before.size();
  auto& after = ranked.after;
  std::sort(after.begin(), after.end(),
            [](const KnownMember* left, const KnownMember* right) {
              return kernel::HashBytes(left->member.node) >
                     kernel::HashBytes(right->member.node);
            });
  std::vector<std::string> standbys;
  for (std::size_t i = 0; i < after.size() && rank + 1 + i < kReadersAble;
       ++i) {
    if (rank + 1 + i >= kReadersMost) {
      standbys.push_back(after[i]->member.peers);
    }
  }
  return standbys;
}

}  // namespace egretladder::routing
