// Messages between nodes about the software versions that began streams.
#include <algorithm>
#include <memory>
#include <optional>

#include "peers_p.h"

namespace egretladder::proxy {
namespace {

bool IsSameZone(const PeerConnection& peer) { return peer.same_zone; }

// A node of an earlier release doesn't say for how long it has known.
std::optional<Time> KnownSince(std::uint64_t known_ms, Time now) {
  constexpr milliseconds kLongest = 2 * routing::kStreamRetention;
  if (known_ms == 0) return std::nullopt;
  const auto bound = static_cast<std::uint64_t>(kLongest.count());
  return now - milliseconds(std::min(known_ms, bound));
}

VersionAnswer ReadAnswer(const Proxy& proxy,
                         exchange::Peer::FindStreamResults::Reader answer,
                         Time now) {
  constexpr auto kFeed = routing::Feed::kEndpoints;
  const auto progress = ReadProgress(answer.getProgress());
  VersionAnswer read;
  read.version = answer.getVersion();
  read.weights = ReadWeights(answer.getWeights());
  if (answer.hasDoubt()) read.doubt = ReadDoubt(answer.getDoubt());
  read.part_version = answer.getPartVersion();
  read.is_part_alone = answer.getPartAlone();
  read.knowledge.since = KnownSince(answer.getKnownMs(), now);
  read.knowledge.several = answer.getSeveral();
  read.knowledge.only = answer.getOnly();
  read.is_confirmed = answer.getConfirmed();
  read.leads_up_to_own = routing::LeadsUpTo(
      proxy.streams,
      routing::InterpretProgress(proxy.catalog, kFeed,
                                 progress[static_cast<std::size_t>(kFeed)]));
  return read;
}

using KeepStreamsRequest = capnp::Request<exchange::Peer::KeepStreamsParams,
                                          exchange::Peer::KeepStreamsResults>;

void SendRecords(Proxy& proxy, PeerConnection& peer,
                 KeepStreamsRequest& request) {
  CountBytes(proxy, "out", MessageKind::kStreams, IsSameZone(peer),
             request.totalSize().wordCount);
  OnRequestSent(peer, NowOf(proxy));
  const auto on_end = [&proxy, &peer] { OnReplyReceived(peer, NowOf(proxy)); };
  // A node of an earlier release answers that it doesn't know the call.
  peer.tasks.add(request.send().then(
      [on_end](auto&& /*answer*/) { on_end(); },
      [on_end](const kj::Exception& /*error*/) { on_end(); }));
}

}  // namespace

std::uint64_t ToWire(routing::Weights weights) {
  return weights ? *weights + 1 : 0;
}

routing::Weights ReadWeights(std::uint64_t value) {
  if (value == 0) return std::nullopt;
  return value - 1;
}

void FillDoubt(routing::StreamKey stream, const routing::StepInDoubt& doubt,
               exchange::StepInDoubt::Builder to) {
  to.setKey(stream);
  to.setFrom(doubt.from);
  to.setTo(doubt.to);
  to.setSource(doubt.source);
  to.setOwn(doubt.is_own);
}

routing::StepInDoubt ReadDoubt(exchange::StepInDoubt::Reader doubt) {
  return {.from = doubt.getFrom(),
          .to = doubt.getTo(),
          .source = doubt.getSource().cStr(),
          .is_own = doubt.getOwn()};
}

void WriteRecords(Proxy& proxy, const std::string& peer_address,
                  RecordKind kind,
                  std::span<const routing::StreamRecord> records) {
  PeerConnection* peer = GetOrConnectPeer(*proxy.peers, peer_address);
  if (peer == nullptr) return;
  auto request = peer->client.keepStreamsRequest();
  const auto size = static_cast<unsigned>(records.size());
  auto list = kind == RecordKind::kStreams ? request.initStreams(size)
                                           : request.initParts(size);
  for (unsigned i = 0; i < size; ++i) {
    list[i].setKey(records[i].stream);
    list[i].setVersion(records[i].version);
    list[i].setWeights(ToWire(records[i].weights));
  }
  SendRecords(proxy, *peer, request);
}

void WriteDoubt(Proxy& proxy, const std::string& peer_address,
                routing::StreamKey stream, const routing::StepInDoubt& doubt) {
  PeerConnection* peer = GetOrConnectPeer(*proxy.peers, peer_address);
  if (peer == nullptr) return;
  auto request = peer->client.keepStreamsRequest();
  FillDoubt(stream, doubt, request.initDoubts(1)[0]);
  SendRecords(proxy, *peer, request);
}

void AskForVersion(Proxy& proxy, const CallPtr& call,
                   const StreamQuestion& question,
                   const std::string& peer_address) {
  PeerConnection* peer = GetOrConnectPeer(*proxy.peers, peer_address);
  // The question ends by its timeout if no peer answers.
  if (peer == nullptr) return;
  auto request = peer->client.findStreamRequest();
  request.setStream(question.stream);
  request.setPart(question.part);
  request.setService(call->service->name);
  const routing::VersionKnowledge& own = call->version_lookup->knowledge;
  request.setConfirm(!own.several &&
                     (!own.confirmed_since || call->must_confirm));
  CountBytes(proxy, "out", MessageKind::kStreams, IsSameZone(*peer),
             request.totalSize().wordCount);
  OnRequestSent(*peer, NowOf(proxy));
  const std::weak_ptr<VersionLookup> lookup = call->version_lookup;
  peer->tasks.add(request.send().then(
      [&proxy, peer, call, lookup](auto&& answer) {
        const Time now = NowOf(proxy);
        OnReplyReceived(*peer, now);
        OnVersionAnswer(proxy, call, lookup, ReadAnswer(proxy, answer, now));
      },
      [&proxy, peer, call, lookup](const kj::Exception& /*error*/) {
        OnReplyReceived(*peer, NowOf(proxy));
        OnVersionAnswer(proxy, call, lookup, {.is_missing = true});
      }));
}

}  // namespace egretladder::proxy
