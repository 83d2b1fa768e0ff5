// Encoding of the changes of a feed that nodes send each other.
#include <CppUTest/TestHarness.h>
#include <capnp/message.h>

#include <string>

#include "egretladder/net/compression.h"
#include "gossip_codec_p.h"

namespace ek = egretladder::kernel;
namespace en = egretladder::net;
namespace ep = egretladder::proxy;
namespace er = egretladder::routing;

TEST_GROUP(GossipCodec) {
  ep::Proxy proxy;
  er::Time now = er::Time{} + std::chrono::hours(1);

  void setup() override {
    er::Apply(proxy.catalog,
              {er::Feed::kEndpoints,
               true,
               7,
               {{"a", "first", 3}, {"b", "second", 5}}},
              now);
    er::Apply(proxy.catalog,
              {er::Feed::kEndpoints, false, 9, {{"b", "", 8, true}}}, now);
  }
  ep::PackedChanges PackEndpointChanges(std::uint64_t after) {
    return ep::PackChanges(proxy, er::Feed::kEndpoints, after).value();
  }
};

TEST(GossipCodec, PackedChangesCanBeUnpacked) {
  const auto full =
      ep::UnpackChanges(PackEndpointChanges(0), er::Feed::kEndpoints).value();
  CHECK(full.changes.whole);
  LONGS_EQUAL(9, full.changes.revision);
  LONGS_EQUAL(1, full.changes.items.size());
  STRCMP_EQUAL("first", full.changes.items[0].value.c_str());
  const auto delta =
      ep::UnpackChanges(PackEndpointChanges(7), er::Feed::kEndpoints).value();
  CHECK_FALSE(delta.changes.whole);
  LONGS_EQUAL(1, delta.changes.items.size());
  CHECK(delta.changes.items[0].removed);
}

// Guards against removals before a list that are lost between nodes.
TEST(GossipCodec, KeysThatAreKeptCanBeUnpacked) {
  const auto received =
      ep::UnpackChanges(PackEndpointChanges(5), er::Feed::kEndpoints).value();
  CHECK_FALSE(received.changes.whole);
  CHECK(received.changes.names_all_keys);
  LONGS_EQUAL(1, received.changes.kept_keys.size());
  STRCMP_EQUAL("a", received.changes.kept_keys[0].c_str());
  LONGS_EQUAL(8, received.changes.changed);
  LONGS_EQUAL(7, received.changes.unseen_revision);
}

// Guards against input from a peer that ends the process or is applied to the
// wrong feed.
TEST(GossipCodec, InvalidMessageIsRejected) {
  CHECK_FALSE(
      ep::UnpackChanges(PackEndpointChanges(0), er::Feed::kRules).has_value());
  const auto is_rejected = [](const std::string& bytes) {
    const ep::PackedChanges packed{en::Compress(bytes).value(), 0};
    return !ep::UnpackChanges(packed, er::Feed::kEndpoints).has_value();
  };
  CHECK(is_rejected(""));
  CHECK(is_rejected("short"));
  CHECK(is_rejected(std::string(64, '\xff')));
  CHECK_FALSE(
      ep::UnpackChanges({"no frame", 8}, er::Feed::kEndpoints).has_value());
}

// Guards against small input that decompresses to more than the maximum size of
// a message.
TEST(GossipCodec, OversizedMessageIsRejected) {
  const std::string large(ep::kMaxMessageWords * 8 + 8, '\0');
  const ep::PackedChanges packed{en::Compress(large).value(), 0};
  CHECK_FALSE(ep::UnpackChanges(packed, er::Feed::kEndpoints).has_value());
}

// Guards against a member that counts as started when its record came, though
// two nodes have passed it on and the second one has kept it for a while.
TEST(GossipCodec, ARecordThatIsPassedOnKeepsItsAge) {
  ek::Loop loop = ek::CreateLoop();
  constexpr std::chrono::seconds kAge{60};
  constexpr std::chrono::seconds kKept{7};
  const auto pass_on = [&loop](ep::Proxy& from, ep::Proxy& to) {
    from.loop = to.loop = &loop;
    capnp::MallocMessageBuilder message;
    auto news = message.initRoot<egretladder::exchange::News>();
    ep::WriteGossip(from, {}, news);
    ep::ApplyGossip(to, news.asReader());
  };
  ep::Proxy first;
  first.loop = &loop;
  const er::Time start = ep::NowOf(first);
  er::Member self;
  self.node = "n1";
  self.incarnation = 1;
  first.members = er::MakeMembers(self, {}, start - kAge);
  ep::Proxy second;
  self.node = "n2";
  second.members = er::MakeMembers(self, {}, start - kAge);
  pass_on(first, second);
  er::KnownMember& known = second.members.others.at("n1");
  known.member.started -= kKept;
  ep::Proxy third;
  self.node = "n3";
  third.members = er::MakeMembers(self, {}, start);
  pass_on(second, third);
  const er::Time told = third.members.others.at("n1").member.started;
  CHECK(told >= start - kAge - kKept);
  CHECK(told <= ep::NowOf(third) - kAge - kKept + std::chrono::milliseconds(2));
}

// Guards against nodes that disagree on whether the engines are split.
TEST(GossipCodec, TheEstimatedPauseIsSentToPeers) {
  ek::Loop loop = ek::CreateLoop();
  proxy.loop = &loop;
  proxy.endpoints.pauses.ms = 180;
  capnp::MallocMessageBuilder message;
  auto news = message.initRoot<egretladder::exchange::News>();
  ep::WriteGossip(proxy, {}, news);
  ep::Proxy peer;
  peer.loop = proxy.loop;
  ep::ApplyGossip(peer, news.asReader());
  DOUBLES_EQUAL(180, peer.endpoints.pauses.ms, 0);
}
