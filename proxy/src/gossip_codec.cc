// Encodes and decodes gossip messages and packed changes.
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <algorithm>
#include <cstring>
#include <limits>
#include <utility>

#include "egretladder/net/compression.h"
#include "egretladder/net/rpc_connection.h"
#include "egretladder/routing/brittle.h"
#include "gossip_codec_p.h"

namespace egretladder::proxy {
namespace {

using kernel::LogLevel;
using kernel::LogPart;

// The receiver has another time of day, and its own steady clock. Each node
// that passes a record on adds the time for which it has had it.
std::uint32_t ToRunTime(Time started, Time now) {
  const auto age = std::max(Elapsed(started, now), milliseconds(0));
  return static_cast<std::uint32_t>(std::min<std::int64_t>(
      age.count(), std::numeric_limits<std::uint32_t>::max()));
}

void WriteMember(const routing::Member& member, Time now,
                 exchange::Member::Builder builder) {
  builder.setNode(member.node);
  builder.setCallers(member.callers);
  builder.setPeers(member.peers);
  builder.setZone(member.zone);
  builder.setRegion(member.region);
  builder.setIncarnation(member.incarnation);
  builder.setHeartbeat(member.heartbeat);
  builder.setRevision(member.revision);
  builder.setLeaving(member.state.leaving);
  builder.setStoreTroubled(member.state.store_troubled);
  builder.setHandovers(member.handovers);
  builder.setUnreached(member.state.unreached);
  builder.setRanForMs(ToRunTime(member.started, now));
}

routing::Member ReadMember(exchange::Member::Reader reader, Time now) {
  routing::Member member;
  member.node = reader.getNode();
  member.callers = reader.getCallers();
  member.peers = reader.getPeers();
  member.zone = reader.getZone();
  member.region = reader.getRegion();
  member.incarnation = reader.getIncarnation();
  member.heartbeat = reader.getHeartbeat();
  member.revision = reader.getRevision();
  member.state.leaving = reader.getLeaving();
  member.state.store_troubled = reader.getStoreTroubled();
  member.handovers = reader.getHandovers();
  member.state.unreached = reader.getUnreached();
  member.started = now - milliseconds(reader.getRanForMs());
  return member;
}

void WriteChanges(const routing::Changes& changes,
                  exchange::Changes::Builder builder) {
  builder.setFeed(static_cast<std::uint8_t>(changes.feed));
  builder.setWhole(changes.whole);
  builder.setRevision(changes.revision);
  builder.setEra(changes.era);
  auto items = builder.initItems(static_cast<unsigned>(changes.items.size()));
  for (unsigned i = 0; i < items.size(); ++i) {
    const routing::Item& item = changes.items[i];
    items[i].setKey(item.key);
    items[i].setValue(
        kj::arrayPtr(reinterpret_cast<const kj::byte*>(item.value.data()),
                     item.value.size()));
    items[i].setRev(item.rev);
    items[i].setRemoved(item.removed);
  }
  builder.setNamesAllKeys(changes.names_all_keys);
  auto kept_keys =
      builder.initKeptKeys(static_cast<unsigned>(changes.kept_keys.size()));
  for (unsigned i = 0; i < kept_keys.size(); ++i)
    kept_keys.set(i, changes.kept_keys[i]);
  builder.setChanged(changes.changed);
  builder.setUnseenRevision(changes.unseen_revision);
}

routing::Changes ReadChanges(exchange::Changes::Reader reader) {
  routing::Changes changes;
  changes.feed = static_cast<routing::Feed>(reader.getFeed());
  changes.whole = reader.getWhole();
  changes.revision = reader.getRevision();
  changes.era = reader.getEra();
  for (const auto item : reader.getItems()) {
    const auto value = item.getValue();
    changes.items.push_back(
        {item.getKey(),
         std::string(reinterpret_cast<const char*>(value.begin()),
                     value.size()),
         item.getRev(), item.getRemoved()});
  }
  changes.names_all_keys = reader.getNamesAllKeys();
  for (const auto key : reader.getKeptKeys())
    changes.kept_keys.emplace_back(key.cStr(), key.size());
  changes.changed = reader.getChanged();
  changes.unseen_revision = reader.getUnseenRevision();
  return changes;
}

// Writes this node's load at its endpoints. Several nodes send to the same
// endpoints, and without the load of the others each node would take its own
// part for the whole. In a large fleet a peer's load arrives too rarely to be
// worth its size.
void WriteLoads(Proxy& proxy, exchange::News::Builder news) {
  if (!routing::IsSmallFleet(proxy.members)) return;
  std::vector<const routing::Endpoint*> busy_endpoints;
  for (const auto& [id, endpoint] : proxy.endpoints.by_id) {
    if (endpoint->in_flight > 0) busy_endpoints.push_back(endpoint.get());
  }
  auto loads = news.initLoads(static_cast<unsigned>(busy_endpoints.size()));
  for (unsigned i = 0; i < loads.size(); ++i) {
    double tokens = 0;
    for (const double tier_tokens : busy_endpoints[i]->waiting_tokens)
      tokens += tier_tokens;
    loads[i].setEndpoint(busy_endpoints[i]->entry.id);
    loads[i].setInFlight(busy_endpoints[i]->in_flight);
    loads[i].setWaitingTokens(static_cast<std::uint32_t>(tokens));
  }
}

// Recomputes the load of peers at each endpoint from the reports that are not
// older than `kPeerLoadRetention`.
void SumLoads(Proxy& proxy, Time now) {
  for (const auto& [id, endpoint] : proxy.endpoints.by_id) {
    endpoint->peers_in_flight = 0;
    endpoint->peers_waiting_tokens = 0;
  }
  std::erase_if(proxy.peer_loads, [now](const auto& entry) {
    return now - entry.second.received_at > routing::kPeerLoadRetention;
  });
  for (const auto& [node, peer] : proxy.peer_loads) {
    for (const PeerLoads::Load& load : peer.loads) {
      const auto it = proxy.endpoints.by_id.find(load.endpoint);
      if (it == proxy.endpoints.by_id.end()) continue;
      it->second->peers_in_flight += load.in_flight;
      it->second->peers_waiting_tokens += load.waiting_tokens;
    }
  }
}

void ApplyLoads(Proxy& proxy, const std::string& node,
                exchange::News::Reader news, Time now) {
  // In a large fleet no node reports its load, and the sum would iterate over
  // all endpoints in vain.
  if (!routing::IsSmallFleet(proxy.members)) {
    if (proxy.peer_loads.empty()) return;
    proxy.peer_loads.clear();
    SumLoads(proxy, now);
    return;
  }
  PeerLoads& peer = proxy.peer_loads[node];
  peer.received_at = now;
  peer.loads.clear();
  for (const auto load : news.getLoads()) {
    peer.loads.push_back(
        {load.getEndpoint(), load.getInFlight(), load.getWaitingTokens()});
  }
  SumLoads(proxy, now);
}

void WriteBrittle(const Proxy& proxy, exchange::News::Builder news, Time now) {
  if (proxy.endpoints.brittle_services.empty()) return;
  const auto gossip = routing::MakeBrittleGossip(proxy.endpoints, now);
  auto list = news.initBrittle(static_cast<unsigned>(gossip.size()));
  for (unsigned i = 0; i < list.size(); ++i) {
    list[i].setService(gossip[i].service);
    list[i].setTolerance(gossip[i].tolerance);
    list[i].setStatedAgoMs(ToMillis(gossip[i].stated_ago));
    auto refusals =
        list[i].initRefusals(static_cast<unsigned>(gossip[i].refusals.size()));
    for (unsigned j = 0; j < refusals.size(); ++j) {
      refusals[j].setEndpoint(gossip[i].refusals[j].endpoint);
      refusals[j].setAgoMs(ToMillis(gossip[i].refusals[j].ago));
    }
  }
}

void ApplyBrittle(Proxy& proxy, exchange::News::Reader news, Time now) {
  for (const auto reader : news.getBrittle()) {
    routing::BrittleGossip gossip;
    gossip.service = reader.getService();
    gossip.tolerance =
        std::min(reader.getTolerance(), routing::kMaxBrittleTolerance);
    gossip.stated_ago = milliseconds(reader.getStatedAgoMs());
    for (const auto refusal : reader.getRefusals()) {
      gossip.refusals.push_back(
          {refusal.getEndpoint(), milliseconds(refusal.getAgoMs())});
    }
    if (routing::ApplyBrittleGossip(proxy.endpoints, gossip, now))
      LogBrittle(proxy, gossip.service, "peer");
  }
}

void WriteKeys(const std::vector<std::uint32_t>& keys,
               capnp::List<std::uint32_t>::Builder list) {
  for (unsigned i = 0; i < list.size(); ++i) list.set(i, keys[i]);
}

std::vector<std::uint32_t> ReadKeys(capnp::List<std::uint32_t>::Reader list) {
  std::vector<std::uint32_t> keys;
  keys.reserve(list.size());
  for (const std::uint32_t key : list) keys.push_back(key);
  return keys;
}

void WriteMembers(const routing::MemberGossip& gossip, Time now,
                  exchange::News::Builder news) {
  auto members = news.initMembers(static_cast<unsigned>(gossip.members.size()));
  for (unsigned i = 0; i < members.size(); ++i) {
    WriteMember(gossip.members[i], now, members[i]);
  }
  auto statuses =
      news.initPulses(static_cast<unsigned>(gossip.statuses.size()));
  for (unsigned i = 0; i < statuses.size(); ++i) {
    const routing::MemberStatus& status = gossip.statuses[i];
    statuses[i].setNode(status.node);
    statuses[i].setLife(status.short_incarnation);
    statuses[i].setHeartbeat(status.heartbeat);
    statuses[i].setRevision(status.revision);
    statuses[i].setSuspected(status.suspected);
    statuses[i].setLeaving(status.state.leaving);
    statuses[i].setStoreTroubled(status.state.store_troubled);
    statuses[i].setUnreached(status.state.unreached);
  }
  WriteKeys(gossip.unknown,
            news.initUnknown(static_cast<unsigned>(gossip.unknown.size())));
  WriteKeys(gossip.known,
            news.initKnown(static_cast<unsigned>(gossip.known.size())));
}

routing::MemberGossip ReadMembers(exchange::News::Reader news, Time now) {
  routing::MemberGossip gossip;
  for (const auto member : news.getMembers()) {
    gossip.members.push_back(ReadMember(member, now));
  }
  for (const auto status : news.getPulses()) {
    gossip.statuses.push_back(
        {.node = status.getNode(),
         .short_incarnation = status.getLife(),
         .revision = status.getRevision(),
         .heartbeat = status.getHeartbeat(),
         .suspected = status.getSuspected(),
         .state = {status.getLeaving(), status.getStoreTroubled(),
                   status.getUnreached()}});
  }
  gossip.unknown = ReadKeys(news.getUnknown());
  gossip.known = ReadKeys(news.getKnown());
  return gossip;
}

void ApplyMembers(Proxy& proxy, const routing::MemberGossip& gossip, Time now) {
  for (const std::string& node :
       routing::ApplyMemberGossip(proxy.members, gossip, now)) {
    kernel::LogEvent(LogPart::kFleet, LogLevel::kInfo, "node-there",
                     {{"node", node}});
  }
}

// Bits of services are in the order of the sender's rules.
bool HasOwnRules(const Proxy& proxy, const Progress& progress) {
  constexpr auto kRules = static_cast<std::size_t>(routing::Feed::kRules);
  return proxy.rules != nullptr &&
         progress[kRules].version == proxy.rules->version;
}

}  // namespace

Progress OwnProgress(const Proxy& proxy) {
  Progress progress{};
  for (std::size_t i = 0; i < progress.size(); ++i) {
    progress[i] =
        routing::GetFeedProgress(proxy.catalog, static_cast<routing::Feed>(i));
  }
  return progress;
}

void WriteProgress(const Progress& progress,
                   capnp::List<exchange::Progress>::Builder list) {
  for (unsigned i = 0; i < progress.size(); ++i) {
    list[i].setKnown(progress[i].known);
    list[i].setChanged(progress[i].changed);
    list[i].setEra(progress[i].era);
    list[i].setVersion(progress[i].version);
  }
}

Progress ReadProgress(capnp::List<exchange::Progress>::Reader list) {
  Progress progress{};
  for (unsigned i = 0; i < list.size() && i < progress.size(); ++i) {
    progress[i] = {list[i].getKnown(), list[i].getChanged(), list[i].getEra(),
                   list[i].getVersion()};
  }
  return progress;
}

void WriteGossip(Proxy& proxy, const GossipRequest& request,
                 exchange::News::Builder news) {
  const Time now = NowOf(proxy);
  WriteMembers(routing::MakeMemberGossip(proxy.members, request.members,
                                         proxy.random, now),
               now, news);
  WriteProgress(OwnProgress(proxy), news.initProgress(routing::kFeedCount));
  news.setTightDemand(static_cast<float>(proxy.fleet_demand.mean.tight));
  news.setRestDemand(static_cast<float>(proxy.fleet_demand.mean.rest));
  news.setLongPauseMs(static_cast<float>(proxy.endpoints.pauses.ms));
  WriteLoads(proxy, news);
  WriteSuspects(proxy, request.scope, news);
  news.setWantsSuspects(now < proxy.suspects_wanted_until);
  WriteLimits(proxy, news);
  WriteBrittle(proxy, news, now);
  news.setRisesByOne(ServicesThatFirmlyRiseByOne(proxy));
}

PeerState ApplyGossip(Proxy& proxy, exchange::News::Reader news) {
  const Time now = NowOf(proxy);
  routing::MemberGossip gossip = ReadMembers(news, now);
  ApplyMembers(proxy, gossip, now);
  ApplySuspects(proxy, news);
  ApplyLimits(proxy, news);
  ApplyBrittle(proxy, news, now);
  if (HasOwnRules(proxy, ReadProgress(news.getProgress())))
    OnPeerSaysFirmlyByOne(proxy, news.getRisesByOne());
  routing::MergePeerDemand(proxy.fleet_demand,
                           {news.getTightDemand(), news.getRestDemand()});
  routing::MergePeerPauses(proxy.endpoints.pauses, news.getLongPauseMs());
  routing::UpdateSplit(proxy.endpoints, proxy.fleet_demand, now);
  PeerState peer;
  // The first member is the sender itself.
  if (!gossip.members.empty()) {
    ApplyLoads(proxy, gossip.members.front().node, news, now);
    peer.peer_address = gossip.members.front().peers;
    peer.zone = gossip.members.front().zone;
  }
  peer.request.members = {peer.peer_address, true, std::move(gossip.unknown),
                          std::move(gossip.known)};
  peer.progress = ReadProgress(news.getProgress());
  if (news.getWantsSuspects()) peer.request.scope = routing::SuspectScope::kAll;
  return peer;
}

kernel::Result<PackedChanges> PackChanges(const Proxy& proxy,
                                          routing::Feed feed,
                                          std::uint64_t after) {
  capnp::MallocMessageBuilder message;
  auto builder = message.initRoot<exchange::Changes>();
  WriteChanges(routing::ChangesSince(proxy.catalog, feed, after), builder);
  builder.setStoreTroubled(IsStoreTroubled(proxy));
  const auto words = capnp::messageToFlatArray(message);
  const auto bytes = words.asBytes();
  BOOST_OUTCOME_TRY(packed,
                    net::Compress({reinterpret_cast<const char*>(bytes.begin()),
                                   bytes.size()}));
  return PackedChanges{std::move(packed),
                       static_cast<std::uint32_t>(bytes.size())};
}

kernel::Result<ReceivedChanges> UnpackChanges(const PackedChanges& packed,
                                              routing::Feed feed) {
  constexpr std::size_t kMaxBytes = kMaxMessageWords * sizeof(capnp::word);
  BOOST_OUTCOME_TRY(bytes, net::Decompress(packed.bytes, kMaxBytes));
  auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
  std::memcpy(words.begin(), bytes.data(), words.asBytes().size());
  ReceivedChanges received;
  const auto caught = kj::runCatchingExceptions([&] {
    capnp::FlatArrayMessageReader message(
        words, net::RpcReaderOptions(kMaxMessageWords));
    const auto reader = message.getRoot<exchange::Changes>();
    received.changes = ReadChanges(reader);
    received.store_troubled = reader.getStoreTroubled();
  });
  KJ_IF_MAYBE (exception, caught) {
    return kernel::MakeError(kernel::ErrorCode::kInvalidInput,
                             "read changes of a peer", "",
                             exception->getDescription().cStr());
  }
  if (received.changes.feed != feed) {
    return kernel::MakeError(kernel::ErrorCode::kInvalidInput,
                             "read changes of a peer", "",
                             "changes of another feed");
  }
  return received;
}

}  // namespace egretladder::proxy
