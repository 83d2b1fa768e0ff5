# What nodes that find each other through seeds tell each other. The values are
# in routing/members.h and routing/catalog.h.
@0xb7d2f1c04e8a9635;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("egretladder::exchange");

interface Peer {
  # Both sides tell what they know, in one round trip.
  exchange @0 (news :News) -> (news :News);

  # What the asked node has of a feed beyond a revision. Busy: nothing is sent,
  # another peer may have it.
  fetch @1 (feed :UInt8, after :UInt64) -> (busy :Bool, packed :PackedChanges);

  # The sender has news, which may be fetched from it.
  announce @2 (peers :Text, zone :Text, progress :List(Progress));
}

struct PackedChanges {
  # A message whose root is `Changes`, compressed (Zstandard, with checksum).
  bytes @0 :Data;
  # Size of the message.
  unpacked @1 :UInt32;
}

struct News {
  members @0 :List(Member);
  # Not sent any more.
  retired1 @1 :List(UInt64);
  # Not sent any more.
  retired2 @2 :List(Changes);
  loads @3 :List(Load);
  retired4 @4 :Bool;
  # Requests under which connections broke.
  suspects @5 :List(Suspect);
  # Of members that the other side knows.
  pulses @6 :List(Pulse);
  # Nodes of which the sender heard a pulse and doesn't know who they are.
  unknown @7 :List(UInt32);
  # The sender's figure of how many engines the requests of one node keep busy, on
  # which nodes agree by averaging: tight streams, and long prompts.
  tightDemand @8 :Float32;
  restDemand @9 :Float32;
  # How far the sender knows each feed, so that the other side can fetch what it
  # lacks.
  progress @10 :List(Progress);
  # Limits that endpoints name.
  limits @11 :List(Limit);
}

struct Limit {
  endpoint @0 :Text;
  # Requests a second from all nodes together; 0: it ended.
  perSecond @1 :Float64;
  # Since the endpoint said so.
  namedAgoMs @2 :UInt32;
}

struct Progress {
  # All changes up to here.
  known @0 :UInt64;
  # The last of them.
  changed @1 :UInt64;
}

struct Member {
  node @0 :Text;
  callers @1 :Text;
  peers @2 :Text;
  zone @3 :Text;
  region @4 :Text;
  incarnation @5 :UInt64;
  heartbeat @6 :UInt64;
  leaving @7 :Bool;
  storeTroubled @8 :Bool;
}

struct Pulse {
  # Low half of the hash of the node's name.
  node @0 :UInt32;
  # Low half of its incarnation.
  life @1 :UInt32;
  heartbeat @2 :UInt32;
  leaving @3 :Bool;
  storeTroubled @4 :Bool;
}

struct Changes {
  feed @0 :UInt8;
  whole @1 :Bool;
  revision @2 :UInt64;
  items @3 :List(Item);
  # The sender failed to read the store lately: removals that it tells of may be
  # leases that nobody could renew.
  storeTroubled @4 :Bool;
}

struct Item {
  key @0 :Text;
  value @1 :Data;
  rev @2 :UInt64;
  removed @3 :Bool;
}

struct Suspect {
  request @0 :UInt64;
  breaks @1 :List(Break);
  # Longer than anything is remembered: never.
  clearedAgoMs @2 :UInt32;
}

struct Break {
  endpoint @0 :UInt64;
  sentAgoMs @1 :UInt32;
  brokeAgoMs @2 :UInt32;
}

# Of the sender itself.
struct Load {
  endpoint @0 :Text;
  inFlight @1 :UInt32;
  waitingTokens @2 :UInt32;
}
