// Messages between nodes, as values. Their wire format is defined in
// gateway/schema/peer.capnp. They contain names in place of handles, since
// nodes number objects differently, and durations ("left", "age") in place of
// points in time, since clocks differ.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "egretladder/policy/poison.h"
#include "egretladder/policy/slots.h"

namespace egretladder::fleet {

/// State of a member: alive, not heard for a while (suspect), leaving by its
/// own announcement, or not heard for long (gone).
enum class MemberState : std::uint8_t { kAlive, kSuspect, kLeaving, kGone };

/// Returns the state's name as logs and `/status` show it.
const char* NameOf(MemberState state);

/// One node's knowledge of another.
struct Member {
  std::string node;
  std::string caller_address;
  std::string peer_address;
  std::string zone;
  /// Random number chosen at start. Distinguishes the process from an older one
  /// at the same address.
  std::uint64_t incarnation = 0;
  std::uint64_t started = 0;  ///< Unix time in seconds; orders incarnations.
  /// Counter that only the node itself increments.
  std::uint64_t heartbeat = 0;
  MemberState state = MemberState::kAlive;
};

/// An endpoint that the platform's VM list shows as leaving.
struct LeavingVm {
  std::string name;
  std::chrono::milliseconds age{};  ///< Time since the list was read.
};

/// Heartbeat gossip: a few members, and the rules version that the sender has
/// in force.
struct Gossip {
  std::vector<Member> members;
  std::uint64_t rules_version = 0;
  std::uint64_t rules_digest = 0;
  std::vector<policy::QuarantineNotice> quarantined;
  bool reply_wanted = false;
  std::uint64_t ping = 0;  ///< Number that the reply returns as `ack`.
  /// Number of the ping that this message answers; 0: none.
  std::uint64_t ack = 0;
  /// Nodes that the sender counts as gone: its vote for the next keeper.
  std::vector<std::string> gone;
  /// Hash of the published node names. Votes count only between nodes with
  /// equal hashes.
  std::uint64_t nodes_digest = 0;
  std::vector<LeavingVm> leaving_vms;
};

/// Requests the rules after a peer's gossip showed a higher version.
struct RulesAsk {
  std::uint64_t have_version = 0;
};
/// A complete rules document. The receiver validates it like one from the
/// platform.
struct RulesOffer {
  std::uint64_t version = 0;
  std::string text;
};

/// Number of slots of an endpoint for which a node has work.
struct SlotDemand {
  std::uint32_t in_flight = 0;  ///< Calls in flight at the endpoint.
  /// Slots for the calls in flight and for waiting requests.
  std::uint32_t wanted = 0;
  /// The part of `wanted` that is for work of the top tier.
  std::uint32_t urgent = 0;
};

/// Request for slots of one endpoint, with evidence of its health; sent by a
/// node to the endpoint's keeper.
struct SlotAsk {
  std::string endpoint;
  std::uint32_t in_flight = 0;  ///< Beyond the node's lease-free slots.
  std::uint32_t wanted = 0;     ///< Beyond the node's lease-free slots.
  /// The part of `wanted` that is for work of the top tier.
  std::uint32_t urgent = 0;
  /// The endpoint's total slots that its keeper last reported, and the boot to
  /// which they belong. A keeper that takes over continues from this total if
  /// the boot is the same.
  std::uint32_t total = 0;
  std::uint64_t total_boot = 0;
  /// Number of the first request whose lease may still be used or applied.
  /// `in_flight` covers everything that remains of earlier leases.
  std::uint64_t live_from = 0;
  bool down = false;  ///< The endpoint died or refused connections since the
                      ///< last request.
  policy::SlotEvidence evidence;
};
/// A lease of slots. It lapses `left` after it was requested, by the clock of
/// the requesting node.
struct SlotLease {
  std::string endpoint;
  std::uint32_t slots = 0;
  std::chrono::milliseconds left{};
  std::uint64_t ask_number = 0;
  std::uint32_t total = 0;  ///< Slots of the endpoint over all nodes.
  /// Content of the keeper's last report, so that holders don't have to read
  /// reports themselves.
  std::uint64_t boot = 0;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t cache_used_per_mille = 0;
  std::chrono::milliseconds report_age{};
  std::vector<std::string> loaded;
};
/// Several requests for slots in one message; `number` increases with each
/// message.
struct SlotAsks {
  std::uint64_t number = 0;
  std::vector<SlotAsk> asks;
};
/// A keeper's answer to `SlotAsks`, in one message.
struct SlotLeases {
  std::vector<SlotLease> leases;
};

/// Any message between nodes. Each may be lost, delayed or duplicated.
using Message =
    std::variant<Gossip, RulesAsk, RulesOffer, SlotAsks, SlotLeases>;

/// The node process that sent a message.
struct Sender {
  std::string node;
  std::uint64_t incarnation = 0;
};

}  // namespace egretladder::fleet
