// Limits and default values of the rules document.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace egretladder::rules {

/// Maximum size of a document, which is also the maximum size of a value in the
/// configuration service.
inline constexpr std::size_t kMaxDocumentBytes = std::size_t{1} << 20U;

/// Maximum cap, share or number of slots. It is far above any realistic value,
/// and small enough for sums over all rows to fit into 32 bits.
inline constexpr std::uint32_t kMaxCount = 1'000'000;

/// Maximum latency target or waiting time of a class.
inline constexpr std::chrono::hours kMaxDuration{24};

/// Maximum time in the queue for a class that doesn't set `max_wait`.
inline constexpr std::chrono::milliseconds kDefaultMaxWait{60'000};

/// Region of a zone that doesn't set `region`.
inline constexpr const char* kDefaultRegion = "default";

/// Maximum length in bytes of a name of a zone, class, endpoint and so on.
/// Names are sent in messages between nodes.
inline constexpr std::size_t kMaxNameLength = 64;

}  // namespace egretladder::rules
