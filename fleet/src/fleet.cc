#include "egretladder/fleet/fleet.h"

#include <algorithm>
#include <string>
#include <utility>

#include "egretladder/fleet/limits.h"
#include "egretladder/kernel/log.h"

namespace egretladder::fleet {

struct FleetState {
  FleetOptions options;
  rules::RulesPtr rules;
  Time rules_since{};
  Time last_tick{};
  Time next_read{};
  bool reading = false;
  bool leaving = false;
  std::uint64_t refused_version = 0;
  std::string refused_why;
  std::vector<bool> available;
  std::vector<std::uint32_t> slots;
};

namespace {

bool TakesWork(const rules::Rules& rules, const rules::Endpoint& endpoint) {
  return endpoint.source.present && !endpoint.leaving &&
         !rules.zones[endpoint.zone.idx].out;
}

std::uint32_t PublishedNodes(const rules::Rules& rules) {
  std::uint32_t count = 0;
  for (const rules::Node& node : rules.nodes) {
    if (node.source.present && !node.leaving) ++count;
  }
  return std::max(count, 1U);
}

void AnnounceEndpoints(FleetState& state, Actions& out) {
  const rules::Rules& rules = *state.rules;
  const std::uint32_t nodes = PublishedNodes(rules);
  state.available.resize(rules.endpoints.size());
  state.slots.resize(rules.endpoints.size());
  for (std::uint32_t i = 0; i < rules.endpoints.size(); ++i) {
    const bool takes = TakesWork(rules, rules.endpoints[i]);
    const std::uint32_t slots =
        takes ? std::max(rules.endpoints[i].bears / nodes, 1U) : 0;
    if (slots != state.slots[i]) {
      state.slots[i] = slots;
      out.emplace_back(
          SlotsChanged{EndpointHandle{i}, slots, policy::SlotReason::kStarted});
    }
    if (takes != state.available[i]) {
      state.available[i] = takes;
      out.emplace_back(AvailableChanged{EndpointHandle{i}, takes});
    }
  }
}

void Refuse(FleetState& state, std::uint64_t version, std::string why,
            Actions& out) {
  state.refused_version = version;
  state.refused_why = why;
  out.emplace_back(RulesRefused{version, std::move(why)});
}

void TakeRules(FleetState& state, const std::string& text, Time now,
               Actions& out) {
  auto read = rules::ReadRules(text, "rules", state.rules.get());
  if (!read) {
    Refuse(state, 0, kernel::Describe(read.error()), out);
    return;
  }
  rules::RulesPtr next = std::move(read).value();
  if (state.rules != nullptr && next->version <= state.rules->version) return;
  state.rules = std::move(next);
  state.rules_since = now;
  out.emplace_back(RulesInForce{state.rules});
  AnnounceEndpoints(state, out);
}

Member MemberOf(const rules::Rules& rules, const rules::Node& node) {
  Member member;
  member.node = node.source.name;
  member.caller_address = node.caller_address;
  member.peer_address = node.peer_address;
  member.zone = rules.zones[node.zone.idx].source.name;
  if (node.leaving) member.state = MemberState::kLeaving;
  return member;
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
  state->last_tick = now;
  state->reading = true;
  out.emplace_back(ReadRulesDocument{});
  return state;
}

void OnTick(FleetState& state, Time now, Actions& out) {
  state.last_tick = now;
  if (state.reading || now < state.next_read) return;
  state.reading = true;
  const std::uint64_t known = state.rules == nullptr ? 0 : state.rules->version;
  out.emplace_back(ReadRulesDocument{known, known != 0});
}

void OnMessage(FleetState& /*state*/, const Sender& /*from*/,
               const Message& /*message*/, Time /*now*/, Actions& /*out*/) {}

void OnRulesDocument(FleetState& state, const std::string* text, Time now,
                     Actions& out) {
  state.reading = false;
  state.next_read = now + kRulesRetry;
  if (text != nullptr && !text->empty()) TakeRules(state, *text, now, out);
}

void OnVmList(FleetState& /*state*/, const std::vector<VmEntry>* /*vms*/,
              Time /*now*/, Actions& /*out*/) {}

void OnReport(FleetState& /*state*/, EndpointHandle endpoint,
              const policy::EngineReport* report, Time /*now*/, Actions& out) {
  if (report != nullptr) out.emplace_back(ReportSeen{endpoint, *report});
}

void OnEvidence(FleetState& /*state*/, EndpointHandle /*endpoint*/,
                const policy::SlotEvidence& /*evidence*/,
                std::uint32_t /*in_flight*/, std::uint32_t /*wanted*/,
                Time /*now*/) {}

void OnEndpointDied(FleetState& /*state*/, EndpointHandle /*endpoint*/,
                    const std::vector<std::uint64_t>& /*running*/, Time /*now*/,
                    Actions& /*out*/) {}

void OnRanWell(FleetState& /*state*/, std::uint64_t /*fingerprint*/) {}

void Leave(FleetState& state, Time /*now*/, Actions& /*out*/) {
  state.leaving = true;
}

rules::RulesPtr RulesOf(const FleetState& state) { return state.rules; }

bool KnowledgeIsFresh(const FleetState& state, Time now) {
  return now - state.last_tick <= kFreshFor;
}

FleetView ViewOf(const FleetState& state, Time now) {
  FleetView view;
  view.refused_version = state.refused_version;
  view.refused_why = state.refused_why;
  if (state.rules == nullptr) return view;
  view.rules_version = state.rules->version;
  view.rules_digest = state.rules->digest;
  view.rules_in_force_for =
      std::chrono::duration_cast<std::chrono::milliseconds>(now -
                                                            state.rules_since);
  view.members =
      Where(state, state.options.zone, state.rules->nodes.size(), now);
  return view;
}

std::vector<Member> Where(const FleetState& state, std::string_view zone,
                          std::size_t most, Time /*now*/) {
  std::vector<Member> members;
  if (state.rules == nullptr) return members;
  for (const rules::Node& node : state.rules->nodes) {
    const bool self = node.source.name == state.options.node;
    if (!node.source.present || node.leaving || (self && state.leaving)) {
      continue;
    }
    members.push_back(MemberOf(*state.rules, node));
  }
  std::stable_partition(members.begin(), members.end(),
                        [&](const Member& m) { return m.zone == zone; });
  if (members.size() > most) members.resize(most);
  return members;
}

}  // namespace egretladder::fleet
