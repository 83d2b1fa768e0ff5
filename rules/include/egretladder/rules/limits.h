// Limits and standard values of the rules document.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace egretladder::rules {

/// Largest document taken: what the configuration service holds as one value.
inline constexpr std::size_t kMaxDocumentBytes = std::size_t{1} << 20U;

/// Largest cap, share or number of slots; far above any real one, so that sums
/// over all rows fit into 32 bits.
inline constexpr std::uint32_t kMaxCount = 1'000'000;

/// Longest target or wait a class may have.
inline constexpr std::chrono::hours kMaxDuration{24};

/// Longest stay in the queue of a class that names none.
inline constexpr std::chrono::milliseconds kDefaultMaxWait{60'000};

/// Region of a zone that names none.
inline constexpr const char* kDefaultRegion = "default";

/// Longest name of a zone, class, endpoint, ...: names travel in messages.
inline constexpr std::size_t kMaxNameLength = 64;

}  // namespace egretladder::rules
