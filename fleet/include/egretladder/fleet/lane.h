// At most once for calls that may not be repeated, without a store.
//
// A lane names one incarnation of one node; only it may run the lane's calls.
// docs/design/lanes.md argues why no two nodes can run one key.
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

/// A lane as it travels in the `Egretladder-Lane` header.
struct Lane {
  std::string node;
  std::uint64_t incarnation = 0;
  std::uint64_t number = 0;
  std::chrono::milliseconds expires{};  ///< On the owner's clock, since start.
  std::string signature;                ///< By the owner; only it can check it.
};

/// The header's text; `DecodeLane` reads it back.
std::string Encode(const Lane& lane);
/// Fails with `kInvalidInput` on anything that `Encode` does not make.
kernel::Result<Lane> DecodeLane(std::string_view text);

/// The complete answer of a call, kept until its lane expires.
struct StoredAnswer {
  int status = 0;
  std::string content_type;
  std::string body;
};

/// Numbers one waiting caller of a key.
using WaiterId = std::uint64_t;

/// What the owner does with a call.
struct RunCall {};     ///< Recorded; run it now.
struct JoinCall {};    ///< It runs already; this caller gets its answer.
struct RepeatAnswer {  ///< It ran; here is its answer.
  std::shared_ptr<const StoredAnswer> answer;
};
struct OutcomeUnknown {};  ///< It was sent and its answer was lost.
/// Why a call with a lane is refused.
enum class LaneRefusal : std::uint8_t {
  kExpired,    ///< Never recorded after expiry: "unknown", not "not run".
  kForged,     ///< The signature is not the owner's.
  kKeyBurned,  ///< It was said to be "not run"; it never will.
  kOtherBody,  ///< The key came before with another body.
  kTableFull,  ///< Not recorded, so not run.
};
/// It is not run by this call.
struct RefuseCall {
  LaneRefusal why = LaneRefusal::kExpired;
  bool not_run = false;  ///< True only when that is certain.
};
/// The owner's word on one call of a key.
using LaneDecision =
    std::variant<RunCall, JoinCall, RepeatAnswer, OutcomeUnknown, RefuseCall>;

/// The reason as logs and error answers show it.
const char* NameOf(LaneRefusal why);

struct LanesState;
/// Lets `LanesPtr` own a type that only the sources know.
struct LanesDelete {
  void operator()(LanesState* state) const;
};
/// Owns the lanes of one incarnation and the keys they hold.
using LanesPtr = std::unique_ptr<LanesState, LanesDelete>;

/// `secret` signs this incarnation's lanes.
LanesPtr StartLanes(std::string node, std::uint64_t incarnation,
                    std::string secret, Time now);

/// A new signed lane, for callers of `GET /where`.
Lane IssueLane(LanesState& state, Time now);

/// True when `lane` is this incarnation's own.
bool OwnsLane(const LanesState& state, const Lane& lane);

/// Records the key, or says what became of it. Only for an own lane.
LaneDecision BeginCall(LanesState& state, const Lane& lane,
                       const std::string& key, std::uint64_t body_hash,
                       WaiterId waiter, Time now);

/// Asked right before the first byte goes out, after any pause: false when the
/// lane has expired or the key is burned meanwhile; then it must not be sent.
/// True at most once, unless `MarkUnsent` came between.
bool MaySend(LanesState& state, const Lane& lane, const std::string& key,
             Time now);
/// The attempt that `MaySend` let go certainly did not run (refused connection,
/// refused unrun by the endpoint): another attempt may be sent. False when the
/// key is not in progress.
bool MarkUnsent(LanesState& state, const Lane& lane, const std::string& key);

/// The call ended with an answer; returns the waiters that get it.
std::vector<WaiterId> FinishCall(LanesState& state, const Lane& lane,
                                 const std::string& key, StoredAnswer answer,
                                 Time now);
/// The call was sent and its answer is lost; returns the waiters.
std::vector<WaiterId> MarkOutcomeUnknown(LanesState& state, const Lane& lane,
                                         const std::string& key, Time now);
/// The call was certainly never sent and never will be; returns the waiters,
/// which may be told "not run".
std::vector<WaiterId> MarkNotRun(LanesState& state, const Lane& lane,
                                 const std::string& key, Time now);

/// Forgets keys of expired lanes. Call at `kLaneSweep`.
void SweepLanes(LanesState& state, Time now);

/// Keys held and bytes they take.
struct LanesView {
  std::size_t keys = 0;
  std::size_t bytes = 0;
};
/// What the keys take now.
LanesView ViewOf(const LanesState& state);

/// Longest pause between two calls of `SweepLanes`.
inline constexpr std::chrono::milliseconds kLaneSweepInterval{1000};

}  // namespace egretladder::fleet
