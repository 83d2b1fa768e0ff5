#include "egretladder/kernel/hash.h"

#include <openssl/crypto.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <xxhash.h>

#include <array>

namespace egretladder::kernel {

std::uint64_t HashBytes(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t RandomBelow(Random& random, std::uint64_t bound) {
  return bound == 0 ? 0 : random() % bound;
}

double HashToFraction(std::uint64_t hash) {
  // A double represents 53 bits exactly, so the result never rounds up to 1.
  constexpr double kTwoToThe53 = 9007199254740992.0;
  return static_cast<double>(hash >> 11) / kTwoToThe53;
}

double RandomFraction(Random& random) { return HashToFraction(random()); }

std::uint64_t SecureRandom64() {
  std::uint64_t bits = 0;
  RAND_bytes(reinterpret_cast<unsigned char*>(&bits), sizeof bits);
  return bits;
}

std::string Sign(std::string_view key, std::string_view text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(),
       digest.data(), &size);
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  hex.reserve(size * 2);
  for (unsigned int i = 0; i < size; ++i) {
    hex += kDigits[digest[i] >> 4U];
    hex += kDigits[digest[i] & 15U];
  }
  return hex;
}

bool IsSameSignature(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

}  // namespace egretladder::kernel
