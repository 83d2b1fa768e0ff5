// Messages between nodes, as values. The wire form is
// gateway/schema/peer.capnp. Names stand in place of handles, since nodes
// number differently; times are spans ("left", "age"), since clocks differ.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "egretladder/policy/poison.h"
#include "egretladder/policy/slots.h"

namespace egretladder::fleet {

/// Alive; unheard for a while; leaving by its own word; unheard for long.
enum class MemberState : std::uint8_t { kAlive, kSuspect, kLeaving, kGone };

/// The state as logs and `/status` show it.
const char* NameOf(MemberState state);

/// What one node knows of another.
struct Member {
  std::string node;
  std::string caller_address;
  std::string peer_address;
  std::string zone;
  std::uint64_t incarnation = 0;  ///< Random at start; told apart from an older
                                  ///< process at the same address.
  std::uint64_t started = 0;    ///< Seconds since 1970, to order incarnations.
  std::uint64_t heartbeat = 0;  ///< Raised by the node itself only.
  MemberState state = MemberState::kAlive;
};

/// An endpoint that the platform's VM list shows as leaving.
struct LeavingVm {
  std::string name;
  std::chrono::milliseconds age{};  ///< Since the list was read.
};

/// Heartbeat gossip: a few members, and what is in force here.
struct Gossip {
  std::vector<Member> members;
  std::uint64_t rules_version = 0;
  std::uint64_t rules_digest = 0;
  std::vector<policy::QuarantineNotice> quarantined;
  bool reply_wanted = false;
  std::uint64_t ping = 0;  ///< Number that the reply gives back as `ack`.
  std::uint64_t ack = 0;   ///< Of the message answered; 0: none.
  /// Nodes that the sender counts as gone: its vote for the next keeper.
  std::vector<std::string> gone;
  /// Hash of the published node names; votes count only among equal ones.
  std::uint64_t nodes_digest = 0;
  std::vector<LeavingVm> leaving_vms;
};

/// Asks for the rules, when the peer's gossip showed a higher version.
struct RulesAsk {
  std::uint64_t have_version = 0;
};
/// A whole rules document. The receiver checks it as it does the platform's.
struct RulesOffer {
  std::uint64_t version = 0;
  std::string text;
};

/// How many slots of an endpoint a node has work for.
struct SlotDemand {
  std::uint32_t in_flight = 0;  ///< Calls there.
  std::uint32_t wanted = 0;     ///< For these and for what waits.
  std::uint32_t urgent = 0;     ///< Of `wanted`: for work of the top tier.
};

/// Evidence on an endpoint and the slots wanted; from a node to its keeper.
struct SlotAsk {
  std::string endpoint;
  std::uint32_t in_flight = 0;  ///< Beyond the node's floor.
  std::uint32_t wanted = 0;     ///< Beyond the node's floor.
  std::uint32_t urgent = 0;     ///< Of `wanted`: for work of the top tier.
  /// The endpoint's slots in all, as its keeper last said, and under which
  /// boot: a keeper that takes over goes on from there when the boot is the
  /// same.
  std::uint32_t total = 0;
  std::uint64_t total_boot = 0;
  /// No lease that answers an earlier ask is in use or will be taken any more;
  /// `in_flight` says all that is left of them.
  std::uint64_t live_from = 0;
  bool down = false;  ///< It died or refused connections since the last ask.
  policy::SlotEvidence evidence;
};
/// A lease of slots. Lapses by itself `left` after it was asked for, on the
/// asker's own clock.
struct SlotLease {
  std::string endpoint;
  std::uint32_t slots = 0;
  std::chrono::milliseconds left{};
  std::uint64_t ask_number = 0;
  std::uint32_t total = 0;  ///< Slots of the endpoint, summed over all nodes.
  /// The keeper's last report, so that holders need no stream of their own.
  std::uint64_t boot = 0;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t cache_used_per_mille = 0;
  std::chrono::milliseconds report_age{};
  std::vector<std::string> loaded;
};
/// Several asks in one message; `number` rises with each.
struct SlotAsks {
  std::uint64_t number = 0;
  std::vector<SlotAsk> asks;
};
/// A keeper's answer to `SlotAsks`, all in one message.
struct SlotLeases {
  std::vector<SlotLease> leases;
};

/// What nodes say to each other. Any may be lost, late or doubled.
using Message =
    std::variant<Gossip, RulesAsk, RulesOffer, SlotAsks, SlotLeases>;

/// Which node process sent a message.
struct Sender {
  std::string node;
  std::uint64_t incarnation = 0;
};

}  // namespace egretladder::fleet
