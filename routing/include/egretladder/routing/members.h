// Membership of the fleet: which nodes there are, and which of them callers and
// peers can use.
//
// Nodes find each other through seeds and learn of the others by gossip
// (member_gossip.h). A member counts as available until somebody finds that it
// doesn't answer and nobody refutes that in time (member_suspicion.h). What a
// node sends therefore doesn't grow with the fleet while nothing happens.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "egretladder/kernel/hash.h"
#include "egretladder/kernel/time.h"
#include "egretladder/routing/limits.h"
#include "egretladder/routing/placement.h"

namespace egretladder::routing {

/// Largest size of a small fleet. There every node sends its load and reads the
/// store.
inline constexpr std::size_t kMaxSmallFleetNodes = 16;
/// How long a member counts as new: its record is sent rather than its status.
inline constexpr std::chrono::seconds kNewMemberTime{3};
/// A member that has been silent for this long is forgotten.
inline constexpr std::chrono::seconds kMemberRetention{60};
/// Longest time between two answers of peers after which a node counts as
/// having been in touch all the while. A member that stands still for as long
/// isn't taken for gone yet; see member_suspicion.h.
inline constexpr std::chrono::milliseconds kMaxTouchGap{1000};
/// Nodes that may become readers of the store in a large fleet; see
/// store_readers.h. While nobody can read the store, only these try. If the
/// store rejects a third of the nodes, the probability that all twelve are
/// among them is one in five hundred thousand.
inline constexpr std::size_t kMaxReaderCandidates = 12;
/// Upper bound on the nodes in the directory for one caller.
inline constexpr std::size_t kMaxDirectoryNodes = 64;

/// A set of services, one bit each in the order of the rules. Services beyond
/// the 16th have no bit.
using ServiceBits = std::uint16_t;

/// What a node says of itself and may change while it runs.
struct MemberState {
  bool leaving = false;
  bool store_troubled = false;  ///< It fails to read the platform's store.
  /// Services whose endpoints don't answer its attempts; see service_reach.h.
  ServiceBits unreached = 0;

  bool operator==(const MemberState&) const = default;
};

/// One node, as nodes gossip it.
struct Member {
  std::string node;
  std::string callers;  ///< Address for callers, `IP:port`.
  std::string peers;    ///< Address for other nodes, `IP:port`.
  /// Address for requests that other nodes hand over, `IP:port`; empty: the
  /// node accepts none.
  std::string handovers;
  std::string zone;
  std::string region;
  /// Rises with each start of the process. It follows from the time of day of
  /// the node's machine, and says nothing about when the process started.
  std::uint64_t incarnation = 0;
  /// The latest time at which its process can have started, by this node's
  /// steady clock. Nodes tell each other how long ago that was. The maximum:
  /// not known.
  Time started = Time::max();
  /// Rises with each turn. Only nodes of earlier versions need it: they take a
  /// member whose heartbeat stands still for silent.
  std::uint64_t heartbeat = 0;
  /// Rises when the node's state changes, and when it refutes a suspicion.
  std::uint32_t revision = 0;
  MemberState state;
};

struct KnownMember;

/// Members of one availability zone. The order has no meaning and changes with
/// each use; see `ListPosition`.
struct ZoneMembers {
  std::vector<KnownMember*> available;
  /// Members to exchange gossip with: those that aren't suspected, leaving ones
  /// included.
  std::vector<KnownMember*> contacts;
};

/// Where a member stands in a list.
struct ListPosition {
  bool is_listed = false;
  std::size_t at = 0;
};

/// What this node knows about another one.
struct KnownMember {
  Member member;
  std::uint64_t name_hash = 0;
  Time first_seen_at{};  ///< When its incarnation was first seen.
  /// Last message from the node itself; default: none.
  Time last_message_at{};
  /// Since when it is suspected to be gone; default: it isn't.
  Time suspected_at{};
  /// The suspicion isn't told: this node was probably cut off itself.
  bool is_suspicion_private = false;
  bool is_silent = false;    ///< The suspicion was not refuted in time.
  Time silent_at{};          ///< When that was found.
  bool unreachable = false;  ///< It refused a connection of this node since.
  /// Messages in which what is known of it is still told as news.
  std::uint32_t tells_left = 0;
  ZoneMembers* zone = nullptr;  ///< The lists of its zone.
  ListPosition available;
  ListPosition contact;
};

/// The largest number of available nodes that was seen of late.
struct FleetPeak {
  std::size_t nodes = 1;
  Time seen_at{};
};

/// A node of which peers told without its record.
struct UnknownNode {
  std::uint32_t key = 0;  ///< See `NodeKey`.
  Time heard_at{};
};

/// A view of the fleet, and the number of available nodes that it leaves out.
struct CachedSnapshot {
  FleetSnapshot fleet;
  std::size_t cut_off = 0;
};

/// This node and all nodes that it knows. Lists of pointers refer to `others`.
struct Members {
  Members() = default;
  Members(Members&&) = default;
  Members& operator=(Members&&) = default;
  Members(const Members&) = delete;
  Members& operator=(const Members&) = delete;
  ~Members() = default;

  Member self;
  MemberState told_state;  ///< State of this node at its last revision.
  std::vector<std::string> seeds;
  bool is_listening = true;  ///< This node accepts connections of callers.
  std::map<std::string, KnownMember> others;               ///< By node name.
  std::unordered_map<std::uint32_t, KnownMember*> by_key;  ///< See `NodeKey`.
  std::unordered_map<std::string, KnownMember*> by_peer_address;
  std::vector<KnownMember*> news;       ///< Those with `tells_left`.
  std::vector<KnownMember*> suspected;  ///< Those that aren't silent yet.
  std::vector<KnownMember*> silent;
  std::map<std::string, ZoneMembers, std::less<>> zones;  ///< By name.
  std::size_t available_count = 0;                        ///< Of all zones.
  std::size_t contact_count = 0;                          ///< Of all zones.
  Time started{};
  Time last_learned_at{};  ///< When a node was last added, or this one started.
  Time last_exchange_at{};  ///< Last time a peer answered; default: never.
  /// Since when the gaps between such times were below `kMaxTouchGap`.
  Time in_touch_since{};
  /// Since when this node has known most of the fleet; the maximum: it doesn't.
  Time majority_since = Time::max();
  FleetPeak recent_peak;  ///< Within `kFleetSizeRetention`.
  FleetPeak long_peak;    ///< Within `kRetryFleetRetention`.
  std::vector<UnknownNode> unknown;
  ServiceBits all_services = 0;  ///< Of the rules in force.
  /// The available members with the highest name hashes, the highest first; see
  /// store_readers.h.
  std::vector<const KnownMember*> reader_candidates;
  /// By the services that the nodes must reach. Made anew after a change.
  std::map<ServiceBits, CachedSnapshot> snapshots;
  std::uint64_t last_snapshot_number = 0;
};

/// Returns a membership that holds this node alone.
Members MakeMembers(const Member& self, const std::vector<std::string>& seeds,
                    Time now);

/// Returns the key by which messages name a node: the low half of the hash of
/// its name.
std::uint32_t NodeKey(const std::string& node);

/// Adds a member of which nothing was known, or replaces one whose process has
/// started anew.
KnownMember& PutMember(Members& members, const Member& member, Time now);

/// Updates the lists after the member's state, or whether it is suspected, has
/// changed.
void UpdateLists(Members& members, KnownMember& known);

/// Moves a random member from the part of the list that begins at `first` to
/// `first`, and returns it.
KnownMember* DrawAvailable(std::vector<KnownMember*>& list, std::size_t first,
                           kernel::Random& random);

/// Raises this node's revision if its state has changed.
void UpdateOwnRevision(Members& members);

/// Updates since when this node has known most of the fleet. Called at each
/// tick.
void UpdateMajority(Members& members, Time now);

/// Returns true if callers can use the member: it isn't leaving, unreachable or
/// silent.
bool IsMemberAvailable(const KnownMember& known);

/// Returns true if callers can use more than half of the other known nodes.
bool DoMostOthersStay(const Members& members);

/// Returns true if the fleet is small; see `kMaxSmallFleetNodes`.
bool IsSmallFleet(const Members& members);

/// Returns the bit of a service; 0 if it has none.
ServiceBits BitOfService(const RouteTable& rules, const std::string& service);
/// Returns the bits of all services.
ServiceBits BitsOfAllServices(const RouteTable& rules);
/// Returns true if the node reaches no service of the rules in force.
bool IsCutOff(const Members& members, const Member& member);

/// Returns the caller addresses of the available nodes, for a caller in `zone`.
/// Nodes that are cut off are left out unless all are. If no node is available,
/// the result is this node's address while it listens, and empty otherwise.
std::vector<std::string> DirectoryFor(Members& members, std::string_view zone,
                                      kernel::Random& random);

/// Returns the peer addresses of up to `max_count` random available members.
std::vector<std::string> SamplePeers(Members& members, std::size_t max_count,
                                     kernel::Random& random);

/// Returns the number of nodes among which shared limits are divided; see
/// `GetFleetSnapshot`.
std::size_t EstimateFleetSize(Members& members, Time now);

/// Returns the number of nodes among which the retry slack is divided. Unlike
/// other limits it is of little use in a calm fleet, so that a larger number
/// costs little, and the parts of a fleet that is split for an hour must not
/// use it once each.
std::size_t CountRetrySharers(Members& members, Time now);

/// Returns what this node knows about the fleet. After a start, in a network
/// partition and after losses of nodes, the fleet counts as large as it was
/// last known to be. The result holds until the members change.
const FleetSnapshot& GetFleetSnapshot(Members& members, Time now);
/// The same without the nodes that don't reach one of the `services`: they send
/// nothing there, and their part of shared limits would be lost.
const FleetSnapshot& GetFleetSnapshot(Members& members, ServiceBits services,
                                      Time now);

/// Forgets members that have been silent for `kMemberRetention`. Returns their
/// names.
std::vector<std::string> ForgetMembers(Members& members, Time now);

}  // namespace egretladder::routing
