// Hashes and random numbers. Sources: xxhash, OpenSSL, the standard library.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <string_view>

namespace egretladder::kernel {

/// Hashes `bytes`; the same on every node.
std::uint64_t HashBytes(std::string_view bytes, std::uint64_t seed = 0);

/// The hash as a part of all hashes, from 0 up to 1.
double HashToFraction(std::uint64_t hash);

/// The random numbers of one owner; tests fix the seed.
using Random = std::mt19937_64;

/// Returns a whole number from 0 to `bound` - 1, the same on every platform.
std::uint64_t RandomBelow(Random& random, std::uint64_t bound);

/// Returns a number from 0 up to 1, the same on every platform.
double RandomFraction(Random& random);

/// Draws 64 bits that can't be guessed.
std::uint64_t SecureRandom64();

/// HMAC-SHA256 of `text` under `key`, in hexadecimal.
std::string Sign(std::string_view key, std::string_view text);

/// Compares in constant time.
bool IsSameSignature(std::string_view left, std::string_view right);

}  // namespace egretladder::kernel
