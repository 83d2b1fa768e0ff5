// Faults that a control call injects into a stand-in. They are seeded, so that
// runs can be repeated.
#pragma once

#include <cstdint>
#include <string>

#include "egretladder/kernel/error.h"
#include "egretladder/kernel/hash.h"

namespace egretladder::lab {

/// Kinds of faults.
enum class FaultKind : std::uint8_t {
  kNone,
  kSlow,         ///< Everything takes `factor` times as long.
  kCrash,        ///< The process exits at once.
  kCold,         ///< An engine becomes cold.
  kGarbage,      ///< Answers with invalid bytes.
  kHalf,         ///< Breaks off in the middle of an answer.
  kHang,         ///< Accepts requests and never answers.
  kWrongLength,  ///< Announces more bytes than it sends.
  kLeaving,      ///< States in all its answers that it leaves.
  /// Refuses calls and asks for `factor` seconds without any.
  kBusy,
};

/// A fault, its strength and the share of affected requests.
struct Fault {
  FaultKind kind = FaultKind::kNone;
  double factor = 1;  ///< For `kSlow` and `kBusy`.
  double share = 1;   ///< Share of affected requests, 0 to 1.
};

/// The faults of one stand-in.
struct FaultState {
  Fault fault;
  kernel::Random random;
};

/// Parses `{"fault":"slow","factor":5,"share":0.2}`. Fails with
/// `kInvalidInput`.
kernel::Result<Fault> ReadFault(const std::string& json);

/// Returns the fault that affects the next request.
FaultKind DrawFault(FaultState& state);

}  // namespace egretladder::lab
