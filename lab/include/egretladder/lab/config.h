// Limits of the lab.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace egretladder::lab {

/// Maximum size of a body that a stand-in or the load tool accepts. Rules can
/// have a megabyte, prompts have less.
inline constexpr std::size_t kMaxBodyBytes = std::size_t{4} << 20U;

/// Request names and keys that a stand-in remembers, which bounds its memory in
/// an unattended run. A run of the demo uses a few thousand.
inline constexpr std::size_t kMaxRememberedKeys = 1'000'000;

/// Maximum number of pending watches at the platform stand-in.
inline constexpr std::size_t kMaxWatches = 10'000;

/// Characters per token of a prompt.
inline constexpr std::size_t kCharsPerToken = 4;

/// Tokens per block of the prefix cache.
inline constexpr std::uint32_t kTokensPerBlock = 16;

/// Timeout of a stand-in for a slow client.
inline constexpr std::chrono::seconds kHttpTimeout{600};

}  // namespace egretladder::lab
