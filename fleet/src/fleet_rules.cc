// Reading the rules, holding them back at start, and passing them on.
#include <algorithm>

#include "egretladder/kernel/log.h"
#include "fleet_state_p.h"

namespace egretladder::fleet {
namespace {

using kernel::Log;
using kernel::LogLevel;
using kernel::LogPart;

bool HasOtherPublishedNodes(const rules::Rules& rules,
                            const std::string& self) {
  return std::any_of(rules.nodes.begin(), rules.nodes.end(),
                     [&](const rules::Node& node) {
                       return node.source.present && node.source.name != self;
                     });
}

/// Returns true while a starting node with seeds waits to hear from a peer. The
/// platform may serve old data, and a version that was replaced must not come
/// into force again.
bool WaitsForPeers(const FleetState& state, Time now) {
  return state.config.rules == nullptr && !state.options.seeds.empty() &&
         now < state.config.hold_until && !HasRecentContact(state.members, now);
}

}  // namespace

std::uint64_t GetRulesVersion(const FleetState& state) {
  return state.config.rules == nullptr ? 0 : state.config.rules->version;
}

ReadPace GetReadPace(const FleetState& state, Time now) {
  if (state.config.rules == nullptr) return ReadPace::kAlone;
  const bool others =
      HasOtherPublishedNodes(*state.config.rules, state.members.self.node);
  if (others && !HasRecentContact(state.members, now)) return ReadPace::kAlone;
  return IsReader(*state.config.rules, state.members.self.node)
             ? ReadPace::kWatch
             : ReadPace::kRare;
}

void ApplyRulesText(FleetState& state, const std::string& text,
                    std::string_view source, Time now, Actions& out) {
  const std::uint64_t refused_before = state.config.refused_version;
  switch (ApplyDocument(state.config, text, source, now)) {
    case DocumentResult::kNothingNew:
    case DocumentResult::kRefusedAgain:
      return;
    case DocumentResult::kRefused:
      out.emplace_back(
          RulesRefused{state.config.refused_version, state.config.refused_why});
      return;
    case DocumentResult::kInForce:
      break;
  }
  if (refused_before != 0 && refused_before <= GetRulesVersion(state)) {
    state.config.refused_version = 0;
    state.config.refused_digest = 0;
    state.config.refused_why.clear();
  }
  Log(LogPart::kFleet, LogLevel::kInfo,
      "Rules version " + std::to_string(GetRulesVersion(state)) +
          " in force, from " + std::string(source) + ".");
  ApplyRules(state, now);
  out.emplace_back(RulesInForce{state.config.rules});
  AnnounceEndpoints(state, now, out);
  GossipToRandomPeers(state, now, out);
}

void ReleaseHeldBack(FleetState& state, Time now, Actions& out) {
  if (!state.config.has_held_document || WaitsForPeers(state, now)) return;
  state.config.has_held_document = false;
  const std::string text = std::move(state.config.held_document);
  state.config.held_document.clear();
  ApplyRulesText(state, text, "platform", now, out);
}

void ReadPlatform(FleetState& state, Time now, Actions& out) {
  const ReadPace pace = GetReadPace(state, now);
  // A node that was isolated during its watch can't tell whether the connection
  // still exists.
  if (pace == ReadPace::kAlone && state.config.read.reading &&
      now - state.config.read.began >= kIsolationTimeout) {
    state.config.read.reading = false;
    state.config.read.next = std::min(state.config.read.next, now);
  }
  if (BeginRead(state.config.read, now)) {
    const std::uint64_t known = GetRulesVersion(state);
    out.emplace_back(
        ReadRulesDocument{known, known != 0 && pace == ReadPace::kWatch});
  }
  if (state.config.rules != nullptr && BeginRead(state.vm_list, now)) {
    out.emplace_back(ReadVmList{});
  }
}

void OnRulesDocument(FleetState& state, const std::string* text, Time now,
                     Actions& out) {
  const ReadPace pace = GetReadPace(state, now);
  const std::uint64_t before = GetRulesVersion(state);
  if (text != nullptr && !text->empty()) {
    if (WaitsForPeers(state, now)) {
      state.config.held_document = *text;
      state.config.has_held_document = true;
    } else {
      ApplyRulesText(state, *text, "platform", now, out);
    }
  }
  if (text != nullptr) {
    state.fresh.is_resuming =
        state.fresh.is_resuming && now <= state.fresh.resumed_at;
  }
  // Without this pause, a service that answers a watch at once with a known
  // version would be called in a tight loop.
  const bool at_once = now - state.config.read.began < kInitialReadBackoff;
  const bool brought_nothing_new = at_once && text != nullptr &&
                                   GetRulesVersion(state) == before &&
                                   !state.config.has_held_document;
  EndRead(state.config.read, text != nullptr,
          brought_nothing_new ? std::max(RulesReadInterval(pace, state.random),
                                         kInitialReadBackoff)
                              : RulesReadInterval(pace, state.random),
          state.random, now);
}

void OnVmList(FleetState& state, const std::vector<VmEntry>* vms, Time now,
              Actions& out) {
  EndRead(state.vm_list, vms != nullptr,
          VmListReadInterval(GetReadPace(state, now), state.random),
          state.random, now);
  if (vms == nullptr) return;
  for (const VmEntry& vm : *vms) {
    if (vm.leaving) {
      state.leaving_vms[vm.name] = now;
    } else {
      state.leaving_vms.erase(vm.name);
    }
  }
  if (state.config.rules != nullptr) AnnounceEndpoints(state, now, out);
}

}  // namespace egretladder::fleet
