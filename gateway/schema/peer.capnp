# Messages between nodes; the values are in fleet/messages.h.
@0xd1b5f0a1c3a94e27;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("egretladder::wire");

interface Peer {
  # Opens a connection: who calls, and who answers. Said once, since most messages
  # are smaller than a name and its call.
  hello @0 (sender :Sender) -> (sender :Sender, inbox :Inbox);
}

interface Inbox {
  # Hands over one message. What the receiver has to say to it at once comes back
  # with the answer, which saves a call of its own.
  deliver @0 (message :Message) -> (replies :List(Message));
}

struct Sender {
  node @0 :Text;
  incarnation @1 :UInt64;
}

struct Message {
  union {
    gossip @0 :Gossip;
    rulesAsk @1 :RulesAsk;
    rulesOffer @2 :RulesOffer;
    slotAsks @3 :SlotAsks;
    slotLeases @4 :SlotLeases;
  }
}

enum MemberState {
  alive @0;
  suspect @1;
  leaving @2;
  gone @3;
}

struct Member {
  node @0 :Text;
  callerAddress @1 :Text;
  peerAddress @2 :Text;
  zone @3 :Text;
  incarnation @4 :UInt64;
  started @5 :UInt64;
  heartbeat @6 :UInt64;
  state @7 :MemberState;
}

struct Quarantined {
  fingerprint @0 :UInt64;
  leftMs @1 :Int64;
  deaths @2 :UInt8;
}

struct LeavingVm {
  name @0 :Text;
  ageMs @1 :Int64;
}

struct Gossip {
  members @0 :List(Member);
  rulesVersion @1 :UInt64;
  rulesDigest @2 :UInt64;
  quarantined @3 :List(Quarantined);
  replyWanted @4 :Bool;
  ping @5 :UInt64;
  ack @6 :UInt64;
  gone @7 :List(Text);
  nodesDigest @8 :UInt64;
  leavingVms @9 :List(LeavingVm);
}

struct RulesAsk {
  haveVersion @0 :UInt64;
}

struct RulesOffer {
  version @0 :UInt64;
  text @1 :Text;
}

struct SlotEvidence {
  inTime @0 :UInt32;
  late @1 :UInt32;
  failed @2 :UInt32;
  boot @3 :UInt64;
}

struct SlotAsk {
  endpoint @0 :Text;
  inFlight @1 :UInt32;
  wanted @2 :UInt32;
  evidence @3 :SlotEvidence;
  total @4 :UInt32;
  down @5 :Bool;
  totalBoot @6 :UInt64;
  liveFrom @7 :UInt64;
  urgent @8 :UInt32;
}

struct SlotAsks {
  number @0 :UInt64;
  asks @1 :List(SlotAsk);
}

struct SlotLease {
  endpoint @0 :Text;
  slots @1 :UInt32;
  leftMs @2 :Int64;
  askNumber @3 :UInt64;
  boot @4 :UInt64;
  running @5 :UInt32;
  waiting @6 :UInt32;
  cacheUsedPerMille @7 :UInt32;
  reportAgeMs @8 :Int64;
  loaded @9 :List(Text);
  total @10 :UInt32;
}

struct SlotLeases {
  leases @0 :List(SlotLease);
}
