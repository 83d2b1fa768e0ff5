#include "egretladder/routing/handover.h"

#include <algorithm>

namespace egretladder::routing {
namespace {

bool HasDeclined(const Handovers& handovers, const std::string& peer,
                 ServiceBits service, Time now) {
  const auto at = handovers.declined_at.find({peer, service});
  return at != handovers.declined_at.end() && now - at->second < kDeclinedPause;
}

bool IsCandidate(const Members& members, const KnownMember& known,
                 ServiceBits service) {
  const Member& member = known.member;
  return IsMemberAvailable(known) && !member.handovers.empty() &&
         member.region == members.self.region &&
         (member.state.unreached & service) == 0;
}

bool IsTried(const std::vector<std::string>& tried, const std::string& node) {
  return std::find(tried.begin(), tried.end(), node) != tried.end();
}

std::uint32_t Cost(const Members& members, const Handovers& handovers,
                   const Member& peer) {
  const auto at = handovers.in_flight.find(peer.node);
  const std::uint32_t in_flight =
      at != handovers.in_flight.end() ? at->second : 0;
  const bool is_own_zone = peer.zone == members.self.zone;
  return in_flight + (is_own_zone ? 0 : kOtherZoneHandovers);
}

std::optional<HandoverPeer> FindCheapest(
    const Members& members, const Handovers& handovers,
    const std::vector<const Member*>& peers) {
  const auto best = std::min_element(
      peers.begin(), peers.end(), [&](const Member* left, const Member* right) {
        return Cost(members, handovers, *left) <
               Cost(members, handovers, *right);
      });
  if (best == peers.end()) return std::nullopt;
  return HandoverPeer{(*best)->node, (*best)->handovers};
}

// Moves up to `kHandoverCandidates` random peers of each group, own zone and
// other zones, into the result.
std::vector<const Member*> DrawCandidates(const Members& members,
                                          std::vector<const Member*> peers,
                                          kernel::Random& random) {
  for (std::size_t i = peers.size(); i > 1; --i) {
    std::swap(peers[i - 1], peers[kernel::RandomBelow(random, i)]);
  }
  std::vector<const Member*> drawn;
  for (const bool own_zone : {true, false}) {
    std::size_t count = 0;
    for (const Member* peer : peers) {
      if ((peer->zone == members.self.zone) != own_zone) continue;
      if (count++ == kHandoverCandidates) break;
      drawn.push_back(peer);
    }
  }
  return drawn;
}

}  // namespace

const char* NameOf(HandoverReason reason) {
  switch (reason) {
    case HandoverReason::kNone:
      return "none";
    case HandoverReason::kLost:
      return "lost";
    case HandoverReason::kAllDown:
      return "all-down";
    case HandoverReason::kNotSent:
      return "not-sent";
    case HandoverReason::kUnanswered:
      return "unanswered";
    case HandoverReason::kOtherSenders:
      return "other-senders";
  }
  return "unknown";
}

HandoverReason DecideHandover(const HandoverInput& input) {
  if (!input.may_reach) return HandoverReason::kLost;
  if (input.is_all_down) return HandoverReason::kAllDown;
  if (input.not_sent >= kMaxNotSentBeforeHandover) {
    return HandoverReason::kNotSent;
  }
  // Another endpoint would be asked over the same links.
  if (input.is_failing && input.unanswered > 0) {
    return HandoverReason::kUnanswered;
  }
  return input.is_for_other_senders ? HandoverReason::kOtherSenders
                                    : HandoverReason::kNone;
}

std::optional<HandoverPeer> ChooseHandoverPeer(
    const Members& members, const Handovers& handovers, ServiceBits service,
    const std::vector<std::string>& tried, kernel::Random& random, Time now) {
  if (tried.size() >= kMaxHandoverPeers) return std::nullopt;
  std::vector<const Member*> peers;
  for (const auto& [node, known] : members.others) {
    if (!IsTried(tried, node) && !HasDeclined(handovers, node, service, now) &&
        IsCandidate(members, known, service)) {
      peers.push_back(&known.member);
    }
  }
  return FindCheapest(members, handovers,
                      DrawCandidates(members, std::move(peers), random));
}

std::optional<HandoverPeer> ChooseSenderPeer(
    const Members& members, const Handovers& handovers, ServiceBits service,
    const std::vector<std::string>& tried,
    const std::vector<std::string>& senders, Time now) {
  if (tried.size() >= kMaxHandoverPeers) return std::nullopt;
  std::vector<const Member*> peers;
  for (const std::string& node : senders) {
    const auto known = members.others.find(node);
    if (known == members.others.end() || IsTried(tried, node) ||
        HasDeclined(handovers, node, service, now) ||
        !IsCandidate(members, known->second, service)) {
      continue;
    }
    peers.push_back(&known->second.member);
  }
  return FindCheapest(members, handovers, peers);
}

void OnHandoverBegan(Handovers& handovers, const std::string& peer) {
  ++handovers.in_flight[peer];
}

void OnHandoverEnded(Handovers& handovers, const std::string& peer) {
  const auto at = handovers.in_flight.find(peer);
  if (at == handovers.in_flight.end()) return;
  if (--at->second == 0) handovers.in_flight.erase(at);
}

void OnHandoverDeclined(Handovers& handovers, const std::string& peer,
                        ServiceBits service, Time now) {
  std::erase_if(handovers.declined_at, [now](const auto& entry) {
    return now - entry.second >= kDeclinedPause;
  });
  handovers.declined_at[{peer, service}] = now;
}

}  // namespace egretladder::routing
