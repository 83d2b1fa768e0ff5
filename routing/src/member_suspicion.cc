#include "egretladder/routing/member_suspicion.h"

#include <algorithm>
#include <bit>

namespace egretladder::routing {
namespace {

// Returns the number of times that the fleet doubles from a single node,
// rounded up.
std::uint32_t Doublings(const Members& members) {
  return static_cast<std::uint32_t>(std::bit_width(members.others.size()));
}

KnownMember* FindByAddress(Members& members, const std::string& peer_address) {
  const auto at = members.by_peer_address.find(peer_address);
  return at == members.by_peer_address.end() ? nullptr : at->second;
}

bool IsInTouch(const Members& members, Time now) {
  return now - members.last_exchange_at < kMaxExchangeAnswerTime;
}

// Suspects a member for what this node has seen itself.
void SuspectByItself(Members& members, KnownMember& known, Time now) {
  if (IsSuspected(known)) return;
  SuspectMember(members, known, now);
  // A member that leaves is expected to end.
  known.is_suspicion_private =
      !IsInTouch(members, now) || known.member.state.leaving;
  if (!known.is_suspicion_private) TellAsNews(members, known);
}

void EndPrivateSuspicions(Members& members) {
  std::vector<KnownMember*> suspects = members.suspected;
  suspects.insert(suspects.end(), members.silent.begin(), members.silent.end());
  for (KnownMember* known : suspects) {
    if (known->is_suspicion_private) EndSuspicion(members, *known);
  }
}

}  // namespace

milliseconds SuspicionTime(const Members& members) {
  return kSuspicionTimePerDoubling * Doublings(members);
}

bool IsSuspected(const KnownMember& known) {
  return known.suspected_at != Time{};
}

bool IsPeerSuspected(const Members& members, const std::string& peer_address) {
  const auto at = members.by_peer_address.find(peer_address);
  return at != members.by_peer_address.end() && IsSuspected(*at->second);
}

void OnExchangeAnswered(Members& members, Time now) {
  const bool was_in_touch = IsInTouch(members, now);
  if (now - members.last_exchange_at > kMaxTouchGap)
    members.in_touch_since = now;
  members.last_exchange_at = now;
  if (!was_in_touch) EndPrivateSuspicions(members);
}

void OnPeerMessage(Members& members, const std::string& peer_address,
                   Time now) {
  KnownMember* known = FindByAddress(members, peer_address);
  if (known == nullptr) return;
  known->last_message_at = now;
  EndSuspicion(members, *known);
}

void OnPeerUnreachable(Members& members, const std::string& peer_address,
                       Time now) {
  KnownMember* known = FindByAddress(members, peer_address);
  if (known == nullptr) return;
  known->unreachable = true;
  UpdateLists(members, *known);
  SuspectByItself(members, *known, now);
}

void OnPeerUnanswered(Members& members, const std::string& peer_address,
                      Time now) {
  KnownMember* known = FindByAddress(members, peer_address);
  if (known != nullptr) SuspectByItself(members, *known, now);
}

void SuspectMember(Members& members, KnownMember& known, Time now) {
  if (IsSuspected(known)) return;
  known.suspected_at = now;
  members.suspected.push_back(&known);
  UpdateLists(members, known);
}

void EndSuspicion(Members& members, KnownMember& known) {
  if (!IsSuspected(known) && !known.unreachable) return;
  known.suspected_at = {};
  known.is_suspicion_private = false;
  known.is_silent = false;
  known.unreachable = false;
  std::erase(members.suspected, &known);
  std::erase(members.silent, &known);
  UpdateLists(members, known);
}

void TellAsNews(Members& members, KnownMember& known) {
  if (known.tells_left == 0) members.news.push_back(&known);
  known.tells_left = kMinNewsTells + Doublings(members) / 2;
}

std::vector<std::string> UpdateSilentMembers(Members& members, Time now) {
  std::vector<std::string> silent;
  const milliseconds max_time = SuspicionTime(members);
  std::erase_if(members.suspected, [&](KnownMember* known) {
    if (now - known->suspected_at < max_time) return false;
    known->is_silent = true;
    known->silent_at = now;
    members.silent.push_back(known);
    silent.push_back(known->member.node);
    UpdateLists(members, *known);
    return true;
  });
  return silent;
}

}  // namespace egretladder::routing
