// Functions shared by the sources that run attempts.
#pragma once

#include "state_p.h"

namespace egretladder::proxy {

/// Status of an answer by another process than the one that was named.
inline constexpr int kMisdirected = 421;

inline bool IsSuccess(int status) { return status >= 200 && status < 300; }

// attempts.cc
/// Returns a caller's request with other fields. The address is not set.
net::ExchangeRequest MakeForwardedRequest(const net::HttpCallPtr& caller,
                                          net::HttpFields fields);

// attempt_answer.cc
/// Returns true for the statuses by which a node tells callers that a request
/// has not run. An endpoint's answer with such a status is forwarded only if
/// the endpoint also states that it did not run the request.
bool ImpliesNotRun(int status);
/// Keeps the head of the answer that is to be forwarded in the call's attempt.
void KeepAnswerHead(Proxy& proxy, const Call& call,
                    const net::HttpAnswerHead& head,
                    const AnswerMetadata& metadata);
/// Returns the handlers of an answer but for those of its head and of sending.
net::ExchangeHandlers MakeAnswerHandlers(Proxy& proxy, const CallPtr& call);
/// Passes on the events that the attempt holds back, as its answer has ended in
/// good order. Returns false if it has ended the attempt instead.
bool ForwardHeld(Proxy& proxy, const CallPtr& call);
/// Abandons the call's attempt if nothing comes from it for `timeout`.
void StartSilenceTimer(Proxy& proxy, const CallPtr& call, milliseconds timeout);

// event_checks.cc
/// Returns the endpoint or the peer that answers the attempt; for the log.
std::string NameOfSource(const Attempt& attempt);
/// Events that may be passed on.
struct CheckedEvents {
  std::string bytes;        ///< With the comments around them.
  std::uint64_t count = 0;  ///< Number of events.
  bool has_held = false;    ///< One is held back; see routing/event_form.h.
  /// How the attempt ends, of which nothing more may follow; unset: it goes on.
  std::optional<routing::AttemptOutcome> end;
};
/// Returns true if another attempt can go on with the stream. A retry is
/// reserved for it.
bool MayAskNow(Proxy& proxy, Call& call);
/// Returns true if another endpoint can go on with the stream, now or when its
/// client takes it up. A retry is reserved if it can go on now.
bool MayAskElsewhere(Proxy& proxy, Call& call);
/// Returns those events that follow what the caller has, of the bytes that the
/// attempt's splitter returned last.
CheckedEvents CheckEvents(Proxy& proxy, Call& call, std::string_view bytes);
/// Returns the events that the attempt holds back, as its answer has ended in
/// good order, or how it ends if one may be missing there.
CheckedEvents CheckEnd(Proxy& proxy, Call& call);

// answer_ends.cc
/// Returns true if the answer says itself where it ends.
bool IsFramed(const net::HttpAnswerHead& head);
/// Returns true if the attempt's answer, once it has ended, can be known to be
/// whole without another attempt.
bool MayProveEnd(const Attempt& attempt);
/// Returns how the caller learns the end of its stream. Chunks claim that it is
/// complete, so that something must be able to prove that.
net::BodyFraming FramingOf(const Call& call, const Attempt& attempt);
/// Ends the call's attempt, whose answer has ended. Asks the endpoint before
/// that if only the connection ended it.
void OnAnswerEnded(Proxy& proxy, const CallPtr& call, net::AnswerEnd end);

// open_ends.cc
/// Records whether an answer states its own end.
void RecordFraming(Proxy& proxy, const Call& call, bool is_framed);
/// Judges the end of the call's stream, which its process has lived on to.
routing::EndVerdict JudgeEnd(Proxy& proxy, const Call& call);
/// Leaves the end of the call's answer open for another attempt to judge.
void LeaveEndOpen(Proxy& proxy, const CallPtr& call);
/// An attempt has brought an event behind the call's open end, if it has one.
void OnMoreFollows(Proxy& proxy, Call& call);
/// An attempt has brought something behind it that can't be passed on.
void DistrustEnd(Call& call);
/// An attempt has brought nothing behind it, and the stream ends.
void OnNothingFollows(Proxy& proxy, Call& call);

// attempt_end.cc
/// Ends a stream that has begun at the caller, who has all of it.
void FinishStream(Proxy& proxy, const CallPtr& call);
/// Returns the fields of the answer that are forwarded to the caller;
/// hop-by-hop fields are not. A peer that handed the request over also learns
/// the endpoint.
net::HttpFields FieldsToForward(const Call& call, const Attempt& attempt);

// handovers.cc
/// Returns true if the peer answered by itself, and no endpoint.
bool IsPeersOwnAnswer(const Attempt& attempt);
/// Removes the fields that only nodes set.
void RemoveHandoverFields(net::HttpFields& fields);
/// Adds what an answer to a peer says of the endpoint that gave it.
void AddEndpointFields(const Attempt& attempt, net::HttpFields& fields);

}  // namespace egretladder::proxy
