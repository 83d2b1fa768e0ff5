// Versions of an engine's weights.
//
// What two versions write doesn't fit together. An engine states its version,
// and refuses to go on at another one than it is asked for, so that this check
// needs no knowledge of the fleet's.
#pragma once

#include <cstdint>
#include <optional>

namespace egretladder::routing {

/// A version of an engine's weights, as it states it; unset: it states none.
using Weights = std::optional<std::uint64_t>;

/// Returns true if events of the second version may follow events of the first
/// without a mark. Where one isn't stated, nothing shows that they differ.
constexpr bool MayFollow(Weights before, Weights after) {
  return !before || !after || *before == *after;
}

}  // namespace egretladder::routing
