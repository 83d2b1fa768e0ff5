// Ends of answers: whether an answer is whole, and what it means.
//
// An answer with neither a length nor chunks ends with its connection, and so
// does one whose process ends: its kernel closes its connections in good order.
// The process that answered is therefore asked whether it lives on. If it does,
// it has closed the connection itself: the whole answer, or one cut short. See
// routing/stream_ends.h for streams. Other answers count as whole then, as
// they may end so and can only be asked for anew.
//
// Where the process can't be known, a stream that can resume is proven by
// another attempt: an endpoint that is asked for what follows the last event
// and has nothing left ends at once. If its answer has no framing either, two
// endpoints have ended in good order after the same event, and the address of
// the second one still answers. That is no proof against a process that is
// replaced at once: the next one answers for it.
#include <memory>
#include <string>
#include <utility>

#include "attempts_p.h"

namespace egretladder::proxy {
namespace {

using routing::AttemptOutcome;
using routing::EndVerdict;
using routing::ProcessCheckResult;

constexpr int kMinServerError = 500;

// An endpoint refuses by one status to take another one's requests, and to go
// on with events of other weights.
AttemptOutcome ClassifyMisdirected(const Attempt& attempt) {
  const AnswerMetadata& metadata = attempt.metadata;
  const bool is_named = !metadata.instance_id.empty();
  const bool is_the_one =
      is_named ? metadata.instance_id == attempt.endpoint->entry.id
               : metadata.weights != attempt.expected_weights;
  return attempt.expected_weights && is_the_one
             ? AttemptOutcome::kOtherWeights
             : AttemptOutcome::kWrongInstance;
}

AttemptOutcome ClassifyWholeAnswer(const Attempt& attempt) {
  const int status = attempt.head.status;
  if (attempt.metadata.not_run && attempt.is_named &&
      net::IsRefusalStatus(status)) {
    return status == kMisdirected ? ClassifyMisdirected(attempt)
                                  : AttemptOutcome::kFull;
  }
  if (IsSuccess(status)) {
    return attempt.is_vouched ? AttemptOutcome::kSucceeded
                              : AttemptOutcome::kBadAnswer;
  }
  if (ImpliesNotRun(status) || attempt.metadata.encoded) {
    return AttemptOutcome::kBadAnswer;
  }
  // Endpoints name the request that they answer. Another server at the address
  // may refuse all requests, faster than endpoints answer them.
  if (status < kMinServerError && attempt.metadata.id.empty())
    return AttemptOutcome::kBadAnswer;
  return status >= kMinServerError ? AttemptOutcome::kFailed
                                   : AttemptOutcome::kSucceeded;
}

// Returns the outcome of a whole answer. Once the caller has events, it is no
// answer for the caller: a peer that refuses by itself has sent the request
// nowhere, and what an endpoint answers takes the place of the stream's rest.
AttemptOutcome ClassifyAnswer(const Call& call) {
  const Attempt& attempt = *call.attempt;
  const AttemptOutcome outcome = attempt.peer.empty()
                                     ? ClassifyWholeAnswer(attempt)
                                     : ClassifyPeerAnswer(attempt);
  if (outcome != AttemptOutcome::kSucceeded || !call.caller->begun())
    return outcome;
  return IsPeersOwnAnswer(attempt) ? AttemptOutcome::kRefused
                                   : AttemptOutcome::kUnfit;
}

// Some attempt or request has brought events of the stream.
bool HasBegun(const Call& call) {
  return call.events > 0 || !call.metadata.last_event_id.empty();
}

// Something answers at the endpoint's address after the end of its answer. A
// peer passes an end on in good order only if it has found that.
bool IsAnsweredAfterEnd(const Attempt& attempt) {
  return attempt.has_lived_on || attempt.is_beyond_proof ||
         !attempt.peer.empty();
}

bool CountsAsWhole(Proxy& proxy, const Call& call) {
  if (!call.attempt->has_lived_on) return false;
  const EndVerdict verdict = JudgeEnd(proxy, call);
  return verdict == EndVerdict::kWhole ||
         (verdict == EndVerdict::kSample && !HasRetryForSample(proxy, call));
}

AttemptOutcome ClassifyStream(Proxy& proxy, const Call& call) {
  const Attempt& attempt = *call.attempt;
  if (!attempt.splitter.incomplete_event.empty() || !HasBegun(call))
    return AttemptOutcome::kBroken;
  // It ended among events that the caller has, or says nothing of this stream.
  const bool is_joined =
      attempt.run ? !attempt.run->is_behind : FitsStream(proxy, call);
  if (!is_joined) return AttemptOutcome::kUnjoined;
  if (routing::IsEndRefuted(call.position, attempt.run))
    return AttemptOutcome::kUnjoined;
  if (attempt.is_end_proven || CountsAsWhole(proxy, call))
    return AttemptOutcome::kSucceeded;
  if (attempt.splitter.events > 0) return AttemptOutcome::kUnproven;
  // Without an event, it is rather an endpoint that ended before its first one.
  if (!call.route->resumable || !IsAnsweredAfterEnd(attempt))
    return AttemptOutcome::kBroken;
  if (attempt.has_lived_on) return AttemptOutcome::kUnproven;
  const std::string& open_after = call.open_end.after;
  if (!open_after.empty() && open_after == call.position.last_id) {
    return JudgeEnd(proxy, call) == EndVerdict::kWhole
               ? AttemptOutcome::kSucceeded
               : AttemptOutcome::kUnproven;
  }
  return call.events > 0 ? AttemptOutcome::kBroken : AttemptOutcome::kUnproven;
}

void AskWhetherWhole(Proxy& proxy, const CallPtr& call);

// Returns the outcome of an answer that has ended.
AttemptOutcome ClassifyEnd(Proxy& proxy, const Call& call) {
  if (call.attempt->is_event_stream) return ClassifyStream(proxy, call);
  const AttemptOutcome outcome = ClassifyAnswer(call);
  const bool is_unproven =
      outcome == AttemptOutcome::kSucceeded && !call.attempt->is_end_proven;
  return is_unproven ? AttemptOutcome::kUnproven : outcome;
}

// An endpoint that leaves out what it is asked for has nothing left, either.
// Where somebody else can be asked, its end without an event is no proof that a
// stream is whole which another one has broken off.
bool IsEndInDoubt(Proxy& proxy, Call& call) {
  const Attempt& attempt = *call.attempt;
  const bool is_alone = attempt.is_end_proven && attempt.splitter.events == 0 &&
                        attempt.peer.empty() && !call.handed_over &&
                        call.open_end.after != call.position.last_id;
  if (!is_alone) return false;
  routing::StreamPosition position = call.position;
  const routing::IdRise rise = RiseOfIds(proxy, call);
  const bool can_be_asked_for =
      routing::PutEndInDoubt(position, attempt.endpoint->entry.id, rise);
  if (!can_be_asked_for) return false;
  // Where ids have shown nothing yet, the client isn't made to ask.
  const bool may_ask = routing::RisesByOne(rise) ? MayAskElsewhere(proxy, call)
                                                 : MayAskNow(proxy, call);
  if (!may_ask) return false;
  call.position = std::move(position);
  return true;
}

void EndAnswer(Proxy& proxy, const CallPtr& call) {
  AttemptOutcome outcome = ClassifyEnd(proxy, *call);
  const bool is_whole_stream =
      call->attempt->is_event_stream && outcome == AttemptOutcome::kSucceeded;
  if (is_whole_stream && IsEndInDoubt(proxy, *call))
    outcome = AttemptOutcome::kUnjoined;
  const bool is_broken = outcome == AttemptOutcome::kBroken;
  if (call->attempt->is_event_stream) {
    if (outcome == AttemptOutcome::kUnproven) LeaveEndOpen(proxy, call);
    if (outcome == AttemptOutcome::kSucceeded) OnNothingFollows(proxy, *call);
  }
  EndAttempt(proxy, call, outcome,
             is_broken ? "the stream ended inside an event" : "");
}

// The process of the entry started after the request was sent: another one has
// answered it. This node has learned of it since, or it states a start that is
// later even if its clock is ahead.
bool HasStartedSince(const Proxy& proxy, const Attempt& attempt) {
  const routing::Endpoint& endpoint = *attempt.endpoint;
  const routing::UnixTime sent =
      UnixNow(proxy) - Elapsed(attempt.first_byte_sent_at, NowOf(proxy));
  return endpoint.known_since > attempt.first_byte_sent_at ||
         routing::UnixTime(endpoint.entry.started_unix_ms) >
             sent + routing::kMaxClockDifference;
}

void CountAnswer(Proxy& proxy, ProcessCheckResult result) {
  IncrementCounter(proxy, "egretladder_answer_ends_asked_total",
                   "Endpoints asked whether their process lives on after the "
                   "end of a connection has ended an answer, by result.",
                   std::string("result=\"") + routing::NameOf(result) + "\"");
}

void OnLivedOn(Attempt& attempt, bool has_lived_on) {
  attempt.has_lived_on = has_lived_on && attempt.is_event_stream;
  attempt.is_end_proven = has_lived_on && !attempt.is_event_stream;
}

void OnProcessTold(Proxy& proxy, const CallPtr& call,
                   ProcessCheckResult result) {
  CountAnswer(proxy, result);
  Attempt& attempt = *call->attempt;
  switch (result) {
    case ProcessCheckResult::kSame:
      OnLivedOn(attempt, !HasStartedSince(proxy, attempt));
      break;
    case ProcessCheckResult::kReplaced:
    case ProcessCheckResult::kNoAnswer:
      EndAttempt(proxy, call, AttemptOutcome::kBroken,
                 "the answer ended with its process");
      return;
    case ProcessCheckResult::kLost:
      // Endpoints reset connections beyond those that they take.
      if (attempt.end_questions < kMaxProcessChecks) {
        AskWhetherWhole(proxy, call);
        return;
      }
      break;
    case ProcessCheckResult::kUnclear:
      attempt.is_beyond_proof = true;
      break;
    case ProcessCheckResult::kSilent:
      break;
  }
  EndAnswer(proxy, call);
}

void OnSpareTold(Proxy& proxy, const CallPtr& call) {
  Attempt& attempt = *call->attempt;
  const bool lives = NumberOfSpare(proxy, *attempt.endpoint) == attempt.spare;
  CountAnswer(
      proxy, lives ? ProcessCheckResult::kSame : ProcessCheckResult::kNoAnswer);
  if (!lives) {
    EndAttempt(proxy, call, AttemptOutcome::kBroken,
               "the answer ended with its process");
    return;
  }
  // A head alone shows no more than that something answers.
  attempt.has_lived_on = attempt.splitter.events > 0;
  attempt.is_beyond_proof = !attempt.has_lived_on;
  EndAnswer(proxy, call);
}

// The endpoint's spare connection was open before the request was sent. If it
// still answers, the process that served the stream has ended it.
void AskBySpare(Proxy& proxy, const CallPtr& call) {
  call->silence_timer = {};
  Attempt& attempt = *call->attempt;
  ++attempt.end_questions;
  const auto if_waiting = [weak_call = std::weak_ptr<Call>(call),
                           number = attempt.number](const auto& act) {
    const auto locked = weak_call.lock();
    if (locked == nullptr || locked->attempt == nullptr) return;
    if (locked->attempt->number == number) act(locked);
  };
  // Silence is no end of a process.
  attempt.end_timer =
      kernel::RunAfter(*proxy.loop, kEndQuestionTimeout, [&proxy, if_waiting] {
        if_waiting([&proxy](const CallPtr& waiting) {
          CountAnswer(proxy, ProcessCheckResult::kSilent);
          EndAnswer(proxy, waiting);
        });
      });
  AskSpare(proxy, *attempt.endpoint, [&proxy, if_waiting] {
    if_waiting(
        [&proxy](const CallPtr& waiting) { OnSpareTold(proxy, waiting); });
  });
}

// A request that can't be sent again has nothing to lose by waiting.
milliseconds PatienceOf(const Call& call) {
  return routing::IsRouteRepeatable(*call.route) ? kProcessCheckTimeout
                                                 : kEndQuestionTimeout;
}

void AskWhetherWhole(Proxy& proxy, const CallPtr& call) {
  call->silence_timer = {};
  Attempt& attempt = *call->attempt;
  ++attempt.end_questions;
  attempt.end_question = AskForProcess(
      proxy, attempt.endpoint, {call->metadata.id, PatienceOf(*call)},
      [&proxy, weak_call = std::weak_ptr<Call>(call),
       number = attempt.number](ProcessCheckResult result) {
        const auto locked = weak_call.lock();
        if (locked == nullptr || locked->attempt == nullptr) return;
        if (locked->attempt->number != number) return;
        OnProcessTold(proxy, locked, result);
      });
}

// Returns true if the answer would count as whole, were its end proven. Without
// a start, a refused connection shows that the process of a stream has ended.
bool IsWorthAsking(const Call& call) {
  const Attempt& attempt = *call.attempt;
  if (!attempt.peer.empty()) return false;
  if (!attempt.is_event_stream) {
    return MayProveEnd(attempt) &&
           ClassifyAnswer(call) == AttemptOutcome::kSucceeded;
  }
  return attempt.splitter.incomplete_event.empty() && HasBegun(call);
}

}  // namespace

bool IsFramed(const net::HttpAnswerHead& head) {
  return net::CountFields(head.fields, "Content-Length") > 0 ||
         net::CountFields(head.fields, "Transfer-Encoding") > 0;
}

bool MayProveEnd(const Attempt& attempt) {
  if (IsFramed(attempt.head)) return true;
  return attempt.peer.empty() && !attempt.is_beyond_proof &&
         (attempt.endpoint->entry.started_unix_ms != 0 || attempt.spare != 0);
}

net::BodyFraming FramingOf(const Call& call, const Attempt& attempt) {
  const bool can_ask_for_rest = call.route->resumable && !call.handed_over &&
                                !call.position.last_id.empty();
  return can_ask_for_rest || MayProveEnd(attempt) ? net::BodyFraming::kChunked
                                                  : net::BodyFraming::kNone;
}

void OnAnswerEnded(Proxy& proxy, const CallPtr& call, net::AnswerEnd end) {
  const bool is_framed = end == net::AnswerEnd::kFraming;
  call->attempt->has_lived_on = is_framed && call->attempt->is_unframed_at_peer;
  call->attempt->is_end_proven = is_framed && !call->attempt->has_lived_on;
  const bool is_whole = call->attempt->splitter.incomplete_event.empty();
  if (is_whole && !ForwardHeld(proxy, call)) return;
  if (end == net::AnswerEnd::kConnection && IsWorthAsking(*call)) {
    if (call->attempt->spare != 0) {
      AskBySpare(proxy, call);
    } else {
      AskWhetherWhole(proxy, call);
    }
  } else {
    EndAnswer(proxy, call);
  }
}

}  // namespace egretladder::proxy
