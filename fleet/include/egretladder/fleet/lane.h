// At-most-once execution of calls that are not repeatable, without a store.
//
// A lane is a signed token that names one incarnation of one node; only that
// process may run the calls with the lane. docs/design/lanes.md shows why no
// two nodes can run the same key.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "egretladder/kernel/error.h"
#include "egretladder/kernel/time.h"

namespace egretladder::fleet {

using kernel::Time;

/// A lane as sent in the `Egretladder-Lane` header.
struct Lane {
  std::string node;
  std::uint64_t incarnation = 0;
  std::uint64_t number = 0;
  /// Time since the owner's start, on its clock.
  std::chrono::milliseconds expires{};
  /// Signature by the owner, which alone can verify it.
  std::string signature;
};

/// Returns the header's text; `DecodeLane` is its inverse.
std::string Encode(const Lane& lane);
/// Parses the header's text. Fails with `kInvalidInput` on anything that
/// `Encode` doesn't produce.
kernel::Result<Lane> DecodeLane(std::string_view text);

/// The complete answer of a call, kept until its lane has expired.
struct StoredAnswer {
  int status = 0;
  std::string content_type;
  std::string body;
};

/// Identifies one waiting caller of a key.
using WaiterId = std::uint64_t;

/// The alternatives of `LaneDecision`.
struct RunCall {};   ///< The call was recorded and must be run now.
struct JoinCall {};  ///< The call is in progress; this caller gets its answer.
struct RepeatAnswer {  ///< The call has run; this is its answer.
  std::shared_ptr<const StoredAnswer> answer;
};
struct OutcomeUnknown {};  ///< The call was sent and its answer was lost.
/// Why a call with a lane is refused.
enum class LaneRefusal : std::uint8_t {
  kExpired,    ///< The lane has expired; whether the call ran is unknown.
  kForged,     ///< The signature is not the owner's.
  kKeyBurned,  ///< A caller was told "not run"; the key never runs.
  kOtherBody,  ///< The key was used before with another body.
  kTableFull,  ///< The table is full. The call was not recorded and not run.
};
/// The call is refused and not run by this request.
struct RefuseCall {
  LaneRefusal why = LaneRefusal::kExpired;
  /// True only if the key certainly has not run and never will.
  bool not_run = false;
};
/// The owner's decision on one call of a key.
using LaneDecision =
    std::variant<RunCall, JoinCall, RepeatAnswer, OutcomeUnknown, RefuseCall>;

/// Returns the reason as logs and error answers show it.
const char* NameOf(LaneRefusal why);

struct LanesState;
/// Deleter that lets `LanesPtr` own an incomplete type.
struct LanesDelete {
  void operator()(LanesState* state) const;
};
/// Owns the lanes of one incarnation and the keys recorded for them.
using LanesPtr = std::unique_ptr<LanesState, LanesDelete>;

/// Creates the state of one incarnation, whose lanes are signed with `secret`.
LanesPtr StartLanes(std::string node, std::uint64_t incarnation,
                    std::string secret, Time now);

/// Returns a new signed lane for a caller of `GET /where`.
Lane IssueLane(LanesState& state, Time now);

/// Returns true if this incarnation issued `lane`.
bool OwnsLane(const LanesState& state, const Lane& lane);

/// Records the key of a call, or returns what became of an earlier call with
/// the same key. A lane of another owner is refused as forged.
LaneDecision BeginCall(LanesState& state, const Lane& lane,
                       const std::string& key, std::uint64_t body_hash,
                       WaiterId waiter, Time now);

/// Returns true if the call may be sent, and marks it as sent. Call it right
/// before the first byte is sent, after any pause. Returns false if the lane
/// has expired or the key was refused meanwhile. Returns true at most once,
/// unless `MarkUnsent` was called in between.
bool MaySend(LanesState& state, const Lane& lane, const std::string& key,
             Time now);
/// Records that the attempt admitted by `MaySend` certainly did not run,
/// because the connection was refused or the endpoint rejected it before
/// running it. Another attempt may then be sent. Returns false if the key is
/// not in progress.
bool MarkUnsent(LanesState& state, const Lane& lane, const std::string& key);

/// Records the answer of a call and returns the waiters that get it.
std::vector<WaiterId> FinishCall(LanesState& state, const Lane& lane,
                                 const std::string& key, StoredAnswer answer,
                                 Time now);
/// Records that the call was sent and its answer was lost; returns the waiters.
std::vector<WaiterId> MarkOutcomeUnknown(LanesState& state, const Lane& lane,
                                         const std::string& key, Time now);
/// Records that the call was never sent and never will be. Returns the waiters,
/// which may be told that it was not run.
std::vector<WaiterId> MarkNotRun(LanesState& state, const Lane& lane,
                                 const std::string& key, Time now);

/// Removes the keys of expired lanes. Call it at least every
/// `kLaneSweepInterval`.
void SweepLanes(LanesState& state, Time now);

/// Number of keys in the table and the bytes that they take.
struct LanesView {
  std::size_t keys = 0;
  std::size_t bytes = 0;
};
/// Returns the current size of the key table.
LanesView ViewOf(const LanesState& state);

/// Maximum interval between two calls of `SweepLanes`.
inline constexpr std::chrono::milliseconds kLaneSweepInterval{1000};

}  // namespace egretladder::fleet
