#include <capnp/serialize.h>
#include <kj/exception.h>

#include <algorithm>
#include <cstring>
#include <utility>

#include "egretladder/net/compression.h"
#include "egretladder/net/rpc_connection.h"
#include "news_codec_p.h"

namespace egretladder::proxy {
namespace {

using kernel::LogLevel;
using kernel::LogPart;

void WriteMember(const routing::Member& member,
                 exchange::Member::Builder builder) {
  builder.setNode(member.node);
  builder.setCallers(member.callers);
  builder.setPeers(member.peers);
  builder.setZone(member.zone);
  builder.setRegion(member.region);
  builder.setIncarnation(member.incarnation);
  builder.setHeartbeat(member.heartbeat);
  builder.setLeaving(member.leaving);
  builder.setStoreTroubled(member.store_troubled);
}

routing::Member ReadMember(exchange::Member::Reader reader) {
  routing::Member member;
  member.node = reader.getNode();
  member.callers = reader.getCallers();
  member.peers = reader.getPeers();
  member.zone = reader.getZone();
  member.region = reader.getRegion();
  member.incarnation = reader.getIncarnation();
  member.heartbeat = reader.getHeartbeat();
  member.leaving = reader.getLeaving();
  member.store_troubled = reader.getStoreTroubled();
  return member;
}

void WriteChanges(const routing::Changes& changes,
                  exchange::Changes::Builder builder) {
  builder.setFeed(static_cast<std::uint8_t>(changes.feed));
  builder.setWhole(changes.whole);
  builder.setRevision(changes.revision);
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
}

routing::Changes ReadChanges(exchange::Changes::Reader reader) {
  routing::Changes changes;
  changes.feed = static_cast<routing::Feed>(reader.getFeed());
  changes.whole = reader.getWhole();
  changes.revision = reader.getRevision();
  for (const auto item : reader.getItems()) {
    const auto value = item.getValue();
    changes.items.push_back(
        {item.getKey(),
         std::string(reinterpret_cast<const char*>(value.begin()),
                     value.size()),
         item.getRev(), item.getRemoved()});
  }
  return changes;
}

// Load: many nodes that send to the same endpoints. Without the others' load
// each would count its own part as the whole. In a large fleet it comes too
// rarely to be worth its bytes.
void WriteLoads(Proxy& proxy, exchange::News::Builder news) {
  if (!routing::IsSmallFleet(proxy.members)) return;
  std::vector<const routing::Endpoint*> busy;
  for (const auto& [id, endpoint] : proxy.endpoints.by_id) {
    if (endpoint->in_flight > 0) busy.push_back(endpoint.get());
  }
  auto loads = news.initLoads(static_cast<unsigned>(busy.size()));
  for (unsigned i = 0; i < loads.size(); ++i) {
    double tokens = 0;
    for (const double some : busy[i]->waiting_tokens) tokens += some;
    loads[i].setEndpoint(busy[i]->entry.id);
    loads[i].setInFlight(busy[i]->in_flight);
    loads[i].setWaitingTokens(static_cast<std::uint32_t>(tokens));
  }
}

// Sums up anew what peers said; what is too old no longer counts.
void SumLoads(Proxy& proxy, Time now) {
  for (const auto& [id, endpoint] : proxy.endpoints.by_id) {
    endpoint->peers_in_flight = 0;
    endpoint->peers_waiting_tokens = 0;
  }
  std::erase_if(proxy.peer_loads, [now](const auto& entry) {
    return now - entry.second.told > routing::kPeerLoadRetention;
  });
  for (const auto& [node, told] : proxy.peer_loads) {
    for (const PeerLoads::Load& load : told.loads) {
      const auto at = proxy.endpoints.by_id.find(load.endpoint);
      if (at == proxy.endpoints.by_id.end()) continue;
      at->second->peers_in_flight += load.in_flight;
      at->second->peers_waiting_tokens += load.waiting_tokens;
    }
  }
}

void TakeLoads(Proxy& proxy, const std::string& node,
               exchange::News::Reader news, Time now) {
  // In a large fleet nobody tells, and adding up goes over all endpoints.
  if (!routing::IsSmallFleet(proxy.members)) {
    if (proxy.peer_loads.empty()) return;
    proxy.peer_loads.clear();
    SumLoads(proxy, now);
    return;
  }
  PeerLoads& told = proxy.peer_loads[node];
  told.told = now;
  told.loads.clear();
  for (const auto load : news.getLoads()) {
    told.loads.push_back(
        {load.getEndpoint(), load.getInFlight(), load.getWaitingTokens()});
  }
  SumLoads(proxy, now);
}

std::uint32_t MillisOf(milliseconds age) {
  return static_cast<std::uint32_t>(std::max<std::int64_t>(0, age.count()));
}

void WriteSuspects(const Proxy& proxy, exchange::News::Builder news, Time now) {
  if (proxy.suspects.by_request.empty()) return;
  const auto told = routing::MakeSuspectGossip(proxy.suspects, now);
  auto list = news.initSuspects(static_cast<unsigned>(told.size()));
  for (unsigned i = 0; i < list.size(); ++i) {
    list[i].setRequest(told[i].request);
    list[i].setClearedAgoMs(MillisOf(told[i].cleared_ago));
    auto breaks =
        list[i].initBreaks(static_cast<unsigned>(told[i].breaks.size()));
    for (unsigned j = 0; j < breaks.size(); ++j) {
      breaks[j].setEndpoint(told[i].breaks[j].endpoint);
      breaks[j].setSentAgoMs(MillisOf(told[i].breaks[j].sent_ago));
      breaks[j].setBrokeAgoMs(MillisOf(told[i].breaks[j].broke_ago));
    }
  }
}

void TakeSuspects(Proxy& proxy, exchange::News::Reader news, Time now) {
  for (const auto reader : news.getSuspects()) {
    routing::SuspectGossip told;
    told.request = reader.getRequest();
    told.cleared_ago = milliseconds(reader.getClearedAgoMs());
    for (const auto seen : reader.getBreaks()) {
      told.breaks.push_back({seen.getEndpoint(),
                             milliseconds(seen.getSentAgoMs()),
                             milliseconds(seen.getBrokeAgoMs())});
    }
    routing::ApplySuspectGossip(proxy.suspects, told, now);
  }
}

void WriteMembers(const routing::MemberGossip& told,
                  exchange::News::Builder news) {
  auto members = news.initMembers(static_cast<unsigned>(told.members.size()));
  for (unsigned i = 0; i < members.size(); ++i) {
    WriteMember(told.members[i], members[i]);
  }
  auto member_heartbeats =
      news.initPulses(static_cast<unsigned>(told.member_heartbeats.size()));
  for (unsigned i = 0; i < member_heartbeats.size(); ++i) {
    const routing::MemberHeartbeat& pulse = told.member_heartbeats[i];
    member_heartbeats[i].setNode(pulse.node);
    member_heartbeats[i].setLife(pulse.short_incarnation);
    member_heartbeats[i].setHeartbeat(
        static_cast<std::uint32_t>(pulse.heartbeat));
    member_heartbeats[i].setLeaving(pulse.leaving);
    member_heartbeats[i].setStoreTroubled(pulse.store_troubled);
  }
  auto unknown = news.initUnknown(static_cast<unsigned>(told.unknown.size()));
  for (unsigned i = 0; i < unknown.size(); ++i) {
    unknown.set(i, told.unknown[i]);
  }
}

routing::MemberGossip ReadMembers(exchange::News::Reader news) {
  routing::MemberGossip told;
  for (const auto member : news.getMembers()) {
    told.members.push_back(ReadMember(member));
  }
  for (const auto pulse : news.getPulses()) {
    told.member_heartbeats.push_back({pulse.getNode(), pulse.getLife(),
                                      pulse.getHeartbeat(), pulse.getLeaving(),
                                      pulse.getStoreTroubled()});
  }
  return told;
}

void TakeMembers(Proxy& proxy, const routing::MemberGossip& told, Time now) {
  for (const std::string& node :
       routing::ApplyMemberGossip(proxy.members, told, now)) {
    kernel::LogEvent(LogPart::kFleet, LogLevel::kInfo, "node-there",
                     {{"node", node}});
  }
}

}  // namespace

Progress OwnProgress(const Proxy& proxy) {
  Progress own{};
  for (std::size_t i = 0; i < own.size(); ++i) {
    own[i] =
        routing::GetFeedProgress(proxy.catalog, static_cast<routing::Feed>(i));
  }
  return own;
}

void WriteProgress(const Progress& progress,
                   capnp::List<exchange::Progress>::Builder list) {
  for (unsigned i = 0; i < progress.size(); ++i) {
    list[i].setKnown(progress[i].known);
    list[i].setChanged(progress[i].changed);
  }
}

Progress ReadProgress(capnp::List<exchange::Progress>::Reader list) {
  Progress progress{};
  for (unsigned i = 0; i < list.size() && i < progress.size(); ++i) {
    progress[i] = {list[i].getKnown(), list[i].getChanged()};
  }
  return progress;
}

void WriteNews(Proxy& proxy, const std::vector<std::uint32_t>& unknown,
               exchange::News::Builder news) {
  const Time now = NowOf(proxy);
  WriteMembers(
      routing::MakeMemberGossip(proxy.members, unknown, proxy.random, now),
      news);
  WriteProgress(OwnProgress(proxy), news.initProgress(routing::kFeedCount));
  news.setTightDemand(static_cast<float>(proxy.agreed.mean.tight));
  news.setRestDemand(static_cast<float>(proxy.agreed.mean.rest));
  WriteLoads(proxy, news);
  WriteSuspects(proxy, news, now);
  WriteLimits(proxy, news);
}

PeerState TakeNews(Proxy& proxy, exchange::News::Reader news) {
  const Time now = NowOf(proxy);
  const routing::MemberGossip told = ReadMembers(news);
  TakeMembers(proxy, told, now);
  TakeSuspects(proxy, news, now);
  TakeLimits(proxy, news);
  routing::MergePeerDemand(proxy.agreed,
                           {news.getTightDemand(), news.getRestDemand()});
  proxy.endpoints.tight_fraction = routing::TightFraction(proxy.agreed.mean);
  PeerState peer;
  // The first member is the sender itself.
  if (!told.members.empty()) {
    TakeLoads(proxy, told.members.front().node, news, now);
    peer.peers = told.members.front().peers;
    peer.zone = told.members.front().zone;
  }
  peer.progress = ReadProgress(news.getProgress());
  for (const auto node : news.getUnknown()) peer.unknown.push_back(node);
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
  constexpr std::size_t kMost = kNewsWords * sizeof(capnp::word);
  BOOST_OUTCOME_TRY(bytes, net::Decompress(packed.bytes, kMost));
  auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
  std::memcpy(words.begin(), bytes.data(), words.asBytes().size());
  ReceivedChanges received;
  const auto fault = kj::runCatchingExceptions([&] {
    capnp::FlatArrayMessageReader message(words,
                                          net::RpcReaderOptions(kNewsWords));
    const auto reader = message.getRoot<exchange::Changes>();
    received.changes = ReadChanges(reader);
    received.store_troubled = reader.getStoreTroubled();
  });
  KJ_IF_MAYBE (exception, fault) {
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
