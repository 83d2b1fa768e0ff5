// Hashes, signatures and random numbers. Implemented with xxHash, OpenSSL and
// the standard library.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <string_view>

namespace egretladder::kernel {

/// Returns a 64-bit hash of `bytes` that is the same on every node. Not
/// cryptographic.
std::uint64_t HashBytes(std::string_view bytes, std::uint64_t seed = 0);

/// Maps a 64-bit hash uniformly to the range [0, 1).
double HashToFraction(std::uint64_t hash);

/// A pseudo-random generator. Each component owns one, so that tests can fix
/// its seed.
using Random = std::mt19937_64;

/// Draws an integer from [0, `bound`), or 0 when `bound` is 0. Standard
/// distributions are avoided because their results differ between platforms.
std::uint64_t RandomBelow(Random& random, std::uint64_t bound);

/// Draws a number from [0, 1), the same for one seed on every platform.
double RandomFraction(Random& random);

/// Returns 64 bits of the cryptographic random generator.
std::uint64_t SecureRandom64();

/// Returns the HMAC-SHA256 of `text` under `key` in lower-case hexadecimal.
std::string Sign(std::string_view key, std::string_view text);

/// Compares two signatures in constant time, so that a forger learns nothing
/// from the time that a comparison takes.
bool IsSameSignature(std::string_view left, std::string_view right);

}  // namespace egretladder::kernel
