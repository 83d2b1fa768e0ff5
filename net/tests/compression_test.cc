// Compression of data that nodes send each other.
#include "egretladder/net/compression.h"

#include <CppUTest/TestHarness.h>

#include <string>

namespace en = egretladder::net;

namespace {

constexpr std::size_t kMaxBytes = std::size_t{1} << 20U;

std::string MakeCompressed(const std::string& bytes) {
  auto compressed = en::Compress(bytes);
  CHECK(compressed.has_value());
  return compressed.value();
}

}  // namespace

TEST_GROUP(Compress){};

TEST(Compress, DecompressRestoresTheBytes) {
  std::string text;
  for (int i = 0; i < 5000; ++i) text += "route " + std::to_string(i) + "; ";
  const std::string compressed = MakeCompressed(text);
  CHECK(compressed.size() < text.size() / 4);
  CHECK(en::Decompress(compressed, kMaxBytes).value() == text);
  CHECK(en::Decompress(MakeCompressed(""), kMaxBytes).value().empty());
}

// Guards against a small message of a peer that would use up all memory when
// decompressed.
TEST(Compress, OversizedContentIsRefused) {
  const std::string compressed =
      MakeCompressed(std::string(2 * kMaxBytes, 'x'));
  CHECK(compressed.size() < 10'000);
  CHECK_FALSE(en::Decompress(compressed, kMaxBytes).has_value());
}

// Guards against rules that were corrupted in transit.
TEST(Compress, CorruptedDataIsRefused) {
  const std::string compressed =
      MakeCompressed(std::string(100, 'x') + "abcdefgh");
  for (std::size_t i = 0; i < compressed.size(); ++i) {
    std::string corrupted = compressed;
    corrupted[i] = static_cast<char>(corrupted[i] ^ 0x10);
    auto restored = en::Decompress(corrupted, kMaxBytes);
    CHECK(!restored || restored.value() == std::string(100, 'x') + "abcdefgh");
    CHECK_FALSE(en::Decompress(compressed.substr(0, i), kMaxBytes).has_value());
  }
  CHECK_FALSE(en::Decompress("no frame at all", kMaxBytes).has_value());
}
