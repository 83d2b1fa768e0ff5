// Events that are faults, or habits of a service: those of one process don't
// tell which, those of most processes do.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace egretladder::routing {

struct EndpointSet;
/// Hash of a version of an endpoint's software; see software_version.h.
using SoftwareVersion = std::uint64_t;

/// What a process may do often.
enum class OddKind : std::uint8_t {
  kUnreadable,    ///< It sends events that aren't readable.
  kCountsOthers,  ///< Its ids count events that have none.
  kEndsOddly,     ///< Its streams end with an odd event.
};
inline constexpr std::size_t kOddKinds = 3;

/// How often it did so. Both are halved at `kMaxCountedOdd`.
struct OddShare {
  std::uint32_t odd = 0;
  std::uint32_t all = 0;
};
/// Of one process, by `OddKind`.
using OddShares = std::array<OddShare, kOddKinds>;

inline constexpr std::uint32_t kMaxCountedOdd = 4096;

/// Counts one more.
void CountOdd(OddShares& shares, OddKind kind, bool is_odd);

/// What most of a service's processes do.
enum class Habit : std::uint8_t { kUnknown, kNo, kYes };

/// Judges the processes of the service at that version of the software.
Habit JudgeHabit(const EndpointSet& set, const std::string& service,
                 SoftwareVersion version, OddKind kind);

}  // namespace egretladder::routing
