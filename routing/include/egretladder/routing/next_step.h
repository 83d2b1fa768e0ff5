// Decides what follows when an attempt at an endpoint has ended: another
// attempt, the endpoint's answer, or an error that says whether the request
// may have run.
//
// A broken connection doesn't show whether the endpoint ran the request.
// Guessing would run non-idempotent work twice, or tell a caller "not run" of
// work that ran, so that it sends the work again. The outcome is therefore kept
// in three values: certainly not run, unknown, answered.
#pragma once

#include <cstdint>

#include "egretladder/kernel/time.h"
#include "egretladder/routing/route_table.h"

namespace egretladder::routing {

using kernel::Time;

/// How an attempt ended.
enum class AttemptOutcome : std::uint8_t {
  kNotSent,        ///< No connection, so no byte was sent.
  kWithheld,       ///< Not sent: the endpoint takes no requests any more.
  kFull,           ///< The endpoint reported that it did not run the request.
  kWrongInstance,  ///< Another process has the address; not run.
  kOtherWeights,   ///< It has other weights than the stream's; not run.
  kDeclined,       ///< The peer didn't take the handed over request; not run.
  kRefused,        ///< The peer refused the request for its caller; not run.
  kBroken,         ///< The connection broke before a complete answer; unknown.
  kBadAnswer,      ///< The answer can't be forwarded; outcome unknown.
  kSilent,         ///< Timed out waiting for the answer; outcome unknown.
  kFailed,         ///< Complete answer that reports an endpoint failure.
  kUnfit,          ///< Complete answer in place of the rest of a stream.
  kIncomplete,     ///< It has left out an event of the stream.
  kUnjoined,       ///< Its events don't follow those that the caller has.
  /// The connection ended an answer without a length, and nothing tells whether
  /// it is complete.
  kUnproven,
  kSucceeded,  ///< Complete answer.
};
/// Returns the outcome's name in logs.
const char* NameOf(AttemptOutcome outcome);

/// Returns true if the endpoint certainly did not run the request.
bool IsNotRun(AttemptOutcome outcome);

/// What to do with a request after an attempt.
enum class NextStep : std::uint8_t {
  kSendAgain,  ///< Send the complete request to another endpoint.
  kResume,     ///< Continue the stream after the last event the caller got.
  /// Ask the same endpoint for what follows that event, as no other one may be
  /// asked. If nothing does, the stream is whole.
  kAskAgain,
  /// Forward the endpoint's answer to the caller, an unproven one without
  /// framing, so that the caller knows as much as this node.
  kPassOn,
  kEndStream,  ///< End the stream, of which the caller has all.
  kRefuse,     ///< Answer 503: the request did not run and will not.
  kUnknown,    ///< Answer 502: the request may have run.
  /// Close the connection, so that the partial answer that the caller already
  /// has is recognized as incomplete.
  kBreakOff,
};
/// Returns the step's name in logs.
const char* NameOf(NextStep step);

/// What the next step depends on.
struct NextStepInput {
  AttemptOutcome end = AttemptOutcome::kBroken;
  bool is_repeatable = false;      ///< `IsRouteRepeatable` of the route.
  bool resumable = false;          ///< The stream can resume elsewhere.
  bool is_answer_started = false;  ///< The caller has part of an answer.
  /// The attempt's answer is a part of that one, the rest of a stream.
  bool continues_answer = false;
  /// The endpoint could have proven that an unproven answer is complete.
  bool may_be_proven = false;
  bool is_framed = false;  ///< The answer that the caller has part of.
  /// What the caller has counts as the whole stream unless another attempt
  /// brings more.
  bool is_end_trusted = false;
  bool is_handed_over = false;     ///< A peer decides about further attempts.
  bool is_own_attempt = true;      ///< This node made it, and not a peer.
  std::uint32_t attempts = 1;      ///< Attempts that the route allows.
  std::uint32_t may_have_run = 0;  ///< Attempts so far that may have run.
  std::uint32_t not_run = 0;       ///< Attempts so far that endpoints rejected.
  std::uint32_t not_sent = 0;  ///< Attempts so far of which no byte was sent.
  std::uint32_t other_weights = 0;  ///< Attempts so far refused for these.
  bool has_time_left = true;        ///< The request's deadline has not passed.
};

/// Attempts rejected by endpoints before the request itself is rejected. Each
/// attempt goes to another endpoint, and a higher bound would let one request
/// try every endpoint of a full fleet.
inline constexpr std::uint32_t kMaxNotRunAttempts = 3;
/// Attempts without a byte sent before the request is rejected. A refused
/// connection costs the endpoint nothing and takes a millisecond. With a third
/// of the endpoints gone, one request in 6,000 meets eight refusals in a row,
/// and one in 27 meets three.
inline constexpr std::uint32_t kMaxNotSentAttempts = 8;

/// Attempts that endpoints of other weights refuse before the request itself is
/// rejected. Each shows this node an endpoint's weights, so that few follow.
inline constexpr std::uint32_t kMaxOtherWeightsAttempts = 8;

/// Attempts by which an endpoint is asked for what follows its own end of a
/// stream, beyond the attempts that the route allows: these count endpoints.
inline constexpr std::uint32_t kMaxRepeatedAsks = 1;

/// Decides the next step. Once the caller has part of an answer, that is never
/// a second answer. For `kSendAgain` and `kResume` the caller still has to take
/// a retry from the retry budget, as for `kAskAgain`; if none is left, it calls
/// this function again with `has_time_left` set to false.
NextStep DecideNextStep(const NextStepInput& input);

}  // namespace egretladder::routing
