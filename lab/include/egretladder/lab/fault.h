// Faults that a control call puts on a stand-in. Seeded, so that the same run
// meets the same faults.
#pragma once

#include <cstdint>
#include <string>

#include "egretladder/kernel/error.h"
#include "egretladder/kernel/hash.h"

namespace egretladder::lab {

/// What goes wrong.
enum class FaultKind : std::uint8_t {
  kNone,
  kSlow,         ///< Everything takes `factor` times as long.
  kCrash,        ///< The process exits at once.
  kCold,         ///< An engine loses what made it fast.
  kGarbage,      ///< Answers bytes that are no answer.
  kHalf,         ///< Breaks off in the middle of the answer.
  kHang,         ///< Takes the request and never answers.
  kWrongLength,  ///< Announces more bytes than it sends.
};

/// A fault, how strong it is and how many requests meet it.
struct Fault {
  FaultKind kind = FaultKind::kNone;
  double factor = 1;  ///< Of `kSlow`.
  double share = 1;   ///< Of the requests that meet the fault, 0 to 1.
};

/// The faults of one stand-in.
struct FaultState {
  Fault fault;
  kernel::Random random;
};

/// Reads `{"fault":"slow","factor":5,"share":0.2}`. Fails with `kInvalidInput`.
kernel::Result<Fault> ReadFault(const std::string& json);

/// Draws whether the next request meets the fault, and which.
FaultKind DrawFault(FaultState& state);

}  // namespace egretladder::lab
