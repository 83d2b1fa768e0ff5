// Changes of a feed as they travel between nodes.
#include <CppUTest/TestHarness.h>

#include <string>

#include "egretladder/net/compression.h"
#include "gossip_codec_p.h"

namespace en = egretladder::net;
namespace ep = egretladder::proxy;
namespace er = egretladder::routing;

TEST_GROUP(NewsCodec) {
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
  ep::PackedChanges Packed(std::uint64_t after) {
    return ep::PackChanges(proxy, er::Feed::kEndpoints, after).value();
  }
};

TEST(NewsCodec, APeerReadsWhatWasPacked) {
  const auto whole =
      ep::UnpackChanges(Packed(0), er::Feed::kEndpoints).value();
  CHECK(whole.changes.whole);
  LONGS_EQUAL(9, whole.changes.revision);
  LONGS_EQUAL(1, whole.changes.items.size());
  STRCMP_EQUAL("first", whole.changes.items[0].value.c_str());
  const auto later =
      ep::UnpackChanges(Packed(7), er::Feed::kEndpoints).value();
  CHECK_FALSE(later.changes.whole);
  LONGS_EQUAL(1, later.changes.items.size());
  CHECK(later.changes.items[0].removed);
}

// Guards against bytes of a peer that end the process, or that are taken for
// another feed's.
TEST(NewsCodec, WhatIsNoMessageOfTheFeedIsRefused) {
  CHECK_FALSE(ep::UnpackChanges(Packed(0), er::Feed::kRules).has_value());
  const auto refused = [](const std::string& bytes) {
    const ep::PackedChanges packed{en::Compress(bytes).value(), 0};
    return !ep::UnpackChanges(packed, er::Feed::kEndpoints).has_value();
  };
  CHECK(refused(""));
  CHECK(refused("short"));
  CHECK(refused(std::string(64, '\xff')));
  CHECK_FALSE(ep::UnpackChanges({"no frame", 8}, er::Feed::kEndpoints)
                  .has_value());
}

// Guards against a few bytes that unpack to more than a message may be.
TEST(NewsCodec, MoreThanAMessageIsRefused) {
  const std::string large(ep::kMaxMessageWords * 8 + 8, '\0');
  const ep::PackedChanges packed{en::Compress(large).value(), 0};
  CHECK_FALSE(ep::UnpackChanges(packed, er::Feed::kEndpoints).has_value());
}
