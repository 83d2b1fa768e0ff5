# Messages between the nodes of a fleet: gossip about members, load and limits,
# and the data of the platform's store. The values are explained in
# routing/members.h and routing/catalog.h.
@0xb7d2f1c04e8a9635;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("egretladder::exchange");

interface Peer {
  # Exchanges gossip: both sides send what they know, in one round trip.
  exchange @0 (news :News) -> (news :News);

  # Returns the changes of a feed after a revision. If `busy` is true, nothing is
  # sent, and another peer may have the changes.
  fetch @1 (feed :UInt8, after :UInt64) -> (busy :Bool, packed :PackedChanges);

  # Announces up to which revisions the sender has the feeds; the changes can be
  # fetched from it.
  announce @2 (peers :Text, zone :Text, progress :List(Progress));

  # Writes which software versions began streams, or keep parts of prompts, to a
  # node that keeps it; and at which steps in doubt streams broke off.
  keepStreams @3 (streams :List(Stream), parts :List(Stream),
                  doubts :List(StepInDoubt));

  # Returns which software version began a stream; 0: the peer doesn't know. If
  # `several` is true, the service was served at several versions of late; `only`
  # is the version if there was one. The peer has known all versions for
  # `knownMs`; 0: it hasn't, or doesn't say. `partVersion` is the version of the
  # endpoints that keep the part; all bits set: they are of several versions.
  # `partAlone`: the peer is a home of the part and has the lists of all endpoints
  # of other versions. `weights` is as in `Stream`.
  # With `confirm`, the peer reads the store's news first; `confirmed` says that
  # it has. `progress` is how far it knows the
  # feeds. `doubt` is set if the stream broke off at a step in doubt.
  findStream @4 (stream :UInt64, service :Text, part :UInt64, confirm :Bool)
      -> (version :UInt64, several :Bool, only :UInt64, knownMs :UInt64,
          partVersion :UInt64, confirmed :Bool, progress :List(Progress),
          partAlone :Bool, weights :UInt64, doubt :StepInDoubt);
}

struct StepInDoubt {
  # As in `Stream`.
  key @0 :UInt64;
  # Ids of the last event that the caller has, and of the one that followed it.
  from @1 :UInt64;
  to @2 :UInt64;
  # Endpoint that sent the latter, and whether it had sent the former too.
  source @3 :Text;
  own @4 :Bool;
}

struct Stream {
  # Hash of the account and of the id of the request that began the stream, or
  # of the service and a part of prompts.
  key @0 :UInt64;
  # Hash of the service and its version.
  version @1 :UInt64;
  # Version of the weights that made its last event known, and one more; 0: not
  # known.
  weights @2 :UInt64;
}

struct PackedChanges {
  # A serialized message with the root `Changes`, compressed with Zstandard and
  # with a checksum.
  bytes @0 :Data;
  # Size of the message before compression, in bytes.
  unpacked @1 :UInt32;
}

struct News {
  members @0 :List(Member);
  # No longer sent.
  retired1 @1 :List(UInt64);
  # No longer sent.
  retired2 @2 :List(Changes);
  loads @3 :List(Load);
  retired4 @4 :Bool;
  # Requests during which connections broke.
  suspects @5 :List(Suspect);
  # States of members that the other side knows.
  pulses @6 :List(Pulse);
  # Nodes of which the sender got a pulse and lacks the description.
  unknown @7 :List(UInt32);
  # How many engines the requests of one node keep busy, for tight streams and
  # for long prompts. Nodes agree on both figures by averaging.
  tightDemand @8 :Float32;
  restDemand @9 :Float32;
  # Up to which revision the sender knows each feed, so that the other side can
  # fetch the changes that it lacks.
  progress @10 :List(Progress);
  # Rate limits that endpoints state.
  limits @11 :List(Limit);
  # The interval between two events that one in fifty exceeds beside long
  # prompts; 0: not known. Nodes agree on it by averaging.
  longPauseMs @12 :Float32;
  # Services whose endpoints fall over if they turn too many requests away.
  brittle @13 :List(Brittle);
  # The sender may have missed news of suspects and wants all of them.
  wantsSuspects @14 :Bool;
  # Keys of the records that the sender has, if it wants all others; otherwise
  # empty.
  known @15 :List(UInt32);
  # Processes of endpoints that live although connections to them broke.
  living @16 :List(Living);
  # Services whose streams have ids that firmly rise by one, as the sender has
  # seen it itself; one bit each in the order of the rules.
  risesByOne @17 :UInt16;
}

struct Living {
  # Hash of the process, as in `Break.endpoint`.
  process @0 :UInt64;
  # Time since it is known to have lived.
  livedAgoMs @1 :UInt32;
}

struct Brittle {
  service @0 :Text;
  # Requests that an endpoint can turn away in a second.
  tolerance @1 :UInt32;
  # Time since an endpoint stated it.
  statedAgoMs @2 :UInt32;
  # Endpoints that turned requests of the sender away of late.
  refusals @3 :List(Refusal);
}

struct Refusal {
  endpoint @0 :Text;
  agoMs @1 :UInt32;
}

struct Limit {
  endpoint @0 :Text;
  # Requests per second from all nodes together; 0: the limit ended.
  perSecond @1 :Float64;
  # Time since the endpoint stated the limit.
  namedAgoMs @2 :UInt32;
}

struct Progress {
  # The sender knows all changes up to this revision.
  known @0 :UInt64;
  # Revision of the last of these changes.
  changed @1 :UInt64;
  # Era of the store in which these revisions count; 0: not known.
  era @2 :UInt64;
  # Version of the newest rules that the sender knows.
  version @3 :UInt64;
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
  # Address for requests that other nodes hand over; empty: none are accepted.
  handovers @9 :Text;
  # Services that the node doesn't reach, one bit each in the order of the rules.
  unreached @10 :UInt16;
  # Rises when the node's state changes, and when it refutes a suspicion.
  revision @11 :UInt32;
  # How long its process has run, in milliseconds; 0: not known.
  ranForMs @12 :UInt32;
}

struct Pulse {
  # Low half of the hash of the node's name.
  node @0 :UInt32;
  # Low half of the node's incarnation.
  life @1 :UInt32;
  heartbeat @2 :UInt32;
  leaving @3 :Bool;
  storeTroubled @4 :Bool;
  # As in `Member`.
  unreached @5 :UInt16;
  revision @6 :UInt32;
  # The sender suspects that the node is gone.
  suspected @7 :Bool;
}

struct Changes {
  feed @0 :UInt8;
  whole @1 :Bool;
  revision @2 :UInt64;
  items @3 :List(Item);
  # The sender recently failed to read the store, so that removals among the
  # changes may be leases that could not be renewed.
  storeTroubled @4 :Bool;
  # As in `Progress`.
  era @5 :UInt64;
  # Items that neither `items` nor `keptKeys` names are removed. Those of
  # `keptKeys` are as the receiver knows them.
  namesAllKeys @6 :Bool;
  keptKeys @7 :List(Text);
  # Of a list of all items or keys: as in `Progress`; 0: not known.
  changed @8 :UInt64;
  # The sender may lack removals up to this revision.
  unseenRevision @9 :UInt64;
}

struct Item {
  key @0 :Text;
  value @1 :Data;
  rev @2 :UInt64;
  removed @3 :Bool;
}

struct Suspect {
  # Key of a request, or of a part of prompts.
  key @0 :UInt64;
  breaks @1 :List(Break);
  # Time since the request was last cleared. Longer than suspects are remembered:
  # it never was.
  clearedAgoMs @2 :UInt32;
  # Time since the last crash of a request that is held back, longer if it
  # isn't.
  heldAgoMs @3 :UInt32 = 0xffffffff;
  # A part is held back although it had succeeded before its crashes.
  heldDespiteSuccess @4 :Bool;
  # Probes of a held part that didn't succeed so far.
  failedProbes @5 :UInt8;
  # Time since the last crash of a hold that ended because crashes were none,
  # longer than suspects are remembered if there was no such hold.
  releasedAgoMs @6 :UInt32 = 0xffffffff;
}

struct Break {
  endpoint @0 :UInt64;
  sentAgoMs @1 :UInt32;
  brokeAgoMs @2 :UInt32;
  # Low half of the key of the request.
  request @3 :UInt32;
}

# The sender's load at one endpoint.
struct Load {
  endpoint @0 :Text;
  inFlight @1 :UInt32;
  waitingTokens @2 :UInt32;
}
