// Compressed bytes between nodes.
#include "egretladder/net/compression.h"

#include <CppUTest/TestHarness.h>

#include <string>

namespace en = egretladder::net;

namespace {

constexpr std::size_t kMost = std::size_t{1} << 20U;

}  // namespace

TEST_GROUP(Compress){std::string Packed(const std::string& bytes){
    auto packed = en::Compress(bytes);
CHECK(packed.has_value());
return packed.value();
}
}
;

TEST(Compress, WhatIsUnpackedIsWhatWasPacked) {
  std::string text;
  for (int i = 0; i < 5000; ++i) text += "route " + std::to_string(i) + "; ";
  const std::string packed = Packed(text);
  CHECK(packed.size() < text.size() / 4);
  CHECK(en::Decompress(packed, kMost).value() == text);
  CHECK(en::Decompress(Packed(""), kMost).value().empty());
}

// Guards against a few bytes of a peer that take all memory.
TEST(Compress, MoreThanAllowedIsRefused) {
  const std::string packed = Packed(std::string(2 * kMost, 'x'));
  CHECK(packed.size() < 10'000);
  CHECK_FALSE(en::Decompress(packed, kMost).has_value());
}

// Guards against rules that were damaged on their way.
TEST(Compress, WhatDoesntMatchItsChecksumIsRefused) {
  const std::string packed = Packed(std::string(100, 'x') + "abcdefgh");
  for (std::size_t i = 0; i < packed.size(); ++i) {
    std::string damaged = packed;
    damaged[i] = static_cast<char>(damaged[i] ^ 0x10);
    auto got = en::Decompress(damaged, kMost);
    CHECK(!got || got.value() == std::string(100, 'x') + "abcdefgh");
    CHECK_FALSE(en::Decompress(packed.substr(0, i), kMost).has_value());
  }
  CHECK_FALSE(en::Decompress("no frame at all", kMost).has_value());
}
