// Limits of the lab, in one place.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace egretladder::lab {

/// Largest body a stand-in or the load tool takes. Rules may be a megabyte, a
/// prompt less.
inline constexpr std::size_t kMaxBodyBytes = std::size_t{4} << 20U;

/// Request names and keys a stand-in remembers. Bounds its memory in a run that
/// was left alone; a run of the demo uses a few thousand.
inline constexpr std::size_t kMaxRememberedKeys = 1'000'000;

/// Waiting watches the platform stand-in holds at once.
inline constexpr std::size_t kMaxWatches = 10'000;

/// Characters of a prompt that count as one token.
inline constexpr std::size_t kCharsPerToken = 4;

/// Tokens of a prompt that are cached or dropped together.
inline constexpr std::uint32_t kTokensPerBlock = 16;

/// A stand-in waits no longer than this for a slow client.
inline constexpr std::chrono::seconds kHttpTimeout{600};

}  // namespace egretladder::lab
