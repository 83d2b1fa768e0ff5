#include "egretladder/fleet/fleet.h"

#include <algorithm>
#include <string>
#include <type_traits>

#include "egretladder/kernel/log.h"
#include "fleet_state_p.h"

namespace egretladder::fleet {
namespace {

/// A process whose ticks stood still acts on nothing it knew before: leases and
/// votes go by the clock, and its peers' silence was its own.
void NoticePause(FleetState& state, Time now) {
  const bool paused = now - state.fresh.last_tick > kPauseThreshold;
  state.fresh.last_tick = now;
  if (!paused) return;
  state.fresh.woke = true;
  state.fresh.woke_at = now;
  ResetPeerTimeouts(state.members, now);
  state.next_round = now;
  state.config.read.reading = false;
  state.config.read.next = now;
  kernel::Log(kernel::LogPart::kFleet, kernel::LogLevel::kWarning,
              "The process was paused. It asks its peers before it sends.");
}

bool OthersPublished(const FleetState& state) {
  return std::any_of(state.members.peers.begin(), state.members.peers.end(),
                     [](const auto& entry) { return entry.second.published; });
}

bool ReadLately(const ReadPlan& plan, Time now) {
  return plan.ever_answered && now - plan.answered <= kIsolatedAfter;
}

void ForgetNotices(FleetState& state, Time now) {
  std::erase_if(state.leaving_vms, [&](const auto& entry) {
    return now - entry.second >= kVmNoticeKept;
  });
}

int PreferenceOf(const Member& member, std::string_view zone) {
  const int far = member.zone == zone ? 0 : 1;
  return member.state == MemberState::kAlive ? far : far + 2;
}

}  // namespace

void FleetDelete::operator()(FleetState* state) const { delete state; }

const char* NameOf(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kLeaving:
      return "leaving";
    case MemberState::kGone:
      return "gone";
  }
  return "unknown";
}

FleetPtr StartFleet(const FleetOptions& options, Time now, Actions& out) {
  FleetPtr state(new FleetState);
  state->options = options;
  state->random.seed(options.random_seed);
  Member& self = state->members.self;
  self.node = options.node;
  self.caller_address = options.caller_address;
  self.peer_address = options.peer_address;
  self.zone = options.zone;
  self.incarnation = options.incarnation;
  self.started = options.started;
  state->fresh.last_tick = now;
  state->config.hold_until = now + kAskPeersFor;
  StartRound(*state, now, out);
  ReadPlatform(*state, now, out);
  return state;
}

void OnTick(FleetState& state, Time now, Actions& out) {
  NoticePause(state, now);
  ReleaseHeldBack(state, now, out);
  StartRound(state, now, out);
  ReadPlatform(state, now, out);
  if (state.config.rules == nullptr) return;
  ForgetNotices(state, now);
  UpdateKeeping(state, now, out);
  AskForSlots(state, now, out);
  AnnounceEndpoints(state, now, out);
}

void OnMessage(FleetState& state, const Sender& from, const Message& message,
               Time now, Actions& out) {
  if (const auto* gossip = std::get_if<Gossip>(&message)) {
    TakeGossip(state, from, *gossip, now, out);
    if (state.config.rules != nullptr) AnnounceEndpoints(state, now, out);
  } else if (const auto* ask = std::get_if<RulesAsk>(&message)) {
    const std::string& address = AddressOf(state, from.node);
    if (VersionOf(state) <= ask->have_version || address.empty()) return;
    out.emplace_back(SendMessage{
        address, RulesOffer{VersionOf(state), state.config.rules->text}, true});
  } else if (const auto* offer = std::get_if<RulesOffer>(&message)) {
    TakeText(state, offer->text, "node " + from.node, now, out);
  } else if (state.config.rules == nullptr) {
    return;
  } else if (const auto* asks = std::get_if<SlotAsks>(&message)) {
    TakeAsks(state, from, *asks, now, out);
  } else if (const auto* leases = std::get_if<SlotLeases>(&message)) {
    TakeLeases(state, from.node, *leases, now, out);
  }
}

void ClearSuspect(FleetState& state, std::uint64_t fingerprint) {
  policy::ClearSuspect(state.poison, fingerprint);
}

bool IsSuspect(const FleetState& state, std::uint64_t fingerprint, Time now) {
  return policy::IsSuspect(state.poison, fingerprint, now);
}

void Leave(FleetState& state, Time now, Actions& out) {
  if (state.leaving) return;
  state.leaving = true;
  state.members.self.state = MemberState::kLeaving;
  UpdateKeeping(state, now, out);
  TellAll(state, now, out);
}

rules::RulesPtr RulesOf(const FleetState& state) { return state.config.rules; }

bool KnowledgeIsFresh(const FleetState& state, Time now) {
  if (now - state.fresh.last_tick > kPauseThreshold) return false;
  if (state.members.replaced) return false;
  const bool others = OthersPublished(state);
  if (state.fresh.woke &&
      (others || now - state.fresh.woke_at < kWakeCheckMost)) {
    return false;
  }
  if (!others) return true;
  return HearsAnyone(state.members, now) ||
         ReadLately(state.config.read, now) || ReadLately(state.vm_list, now);
}

FleetView ViewOf(const FleetState& state, Time now) {
  FleetView view;
  view.refused_version = state.config.refused_version;
  view.refused_why = state.config.refused_why;
  if (state.config.rules != nullptr) {
    view.rules_version = state.config.rules->version;
    view.rules_digest = state.config.rules->digest;
    view.rules_in_force_for =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            now - state.config.since);
  }
  view.members.push_back(state.members.self);
  for (const auto& [name, peer] : state.members.peers) {
    view.members.push_back(peer.member);
    view.members.back().state = GetMemberState(peer, now);
  }
  for (const EndpointState& endpoint : state.endpoints) {
    if (endpoint.book.has_value()) ++view.keeper_of;
  }
  return view;
}

std::vector<Member> Where(const FleetState& state, std::string_view zone,
                          std::size_t most, Time now) {
  std::vector<Member> members;
  const rules::Rules* rules = state.config.rules.get();
  const auto leaves = [&](const std::string& name) {
    if (state.leaving_vms.contains(name)) return true;
    const auto node =
        rules == nullptr ? rules::NodeHandle{} : FindNode(*rules, name);
    return IsValid(node) && rules->nodes[node.idx].leaving;
  };
  if (!state.leaving && !state.members.replaced &&
      !leaves(state.members.self.node)) {
    members.push_back(state.members.self);
  }
  for (const auto& [name, peer] : state.members.peers) {
    Member member = peer.member;
    member.state = GetMemberState(peer, now);
    const bool there = member.state == MemberState::kAlive ||
                       member.state == MemberState::kSuspect;
    if (!peer.published || !there || leaves(name)) continue;
    members.push_back(std::move(member));
  }
  std::stable_sort(members.begin(), members.end(),
                   [&](const Member& left, const Member& right) {
                     return PreferenceOf(left, zone) <
                            PreferenceOf(right, zone);
                   });
  if (members.size() > most) members.resize(most);
  return members;
}

}  // namespace egretladder::fleet
