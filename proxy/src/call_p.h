// A request of a caller, and its attempts.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "egretladder/kernel/loop.h"
#include "egretladder/kernel/metrics.h"
#include "egretladder/net/event_splitter.h"
#include "egretladder/net/http_client.h"
#include "egretladder/net/http_server.h"
#include "egretladder/proxy/dialect.h"
#include "egretladder/routing/event_form.h"
#include "egretladder/routing/event_order.h"
#include "egretladder/routing/next_step.h"
#include "egretladder/routing/placement.h"
#include "egretladder/routing/stream_records.h"
#include "egretladder/routing/version_evidence.h"
#include "page_read_p.h"

namespace egretladder::proxy {

using kernel::Time;

/// Histograms of one class of calls.
struct ClassMetrics {
  kernel::HistogramHandle first_event;    ///< Arrival to first byte.
  kernel::HistogramHandle whole_answer;   ///< Arrival to end of the call.
  kernel::HistogramHandle waited;         ///< Arrival to each attempt.
  kernel::HistogramHandle longest_pause;  ///< Between two events of a stream.
};

/// Whether the process that gets a request is known to be the one of its
/// endpoint's entry.
enum class ProcessProof : std::uint8_t {
  kProven,
  kUnstated,  ///< It doesn't say when it started.
  kUnheard,   ///< It was asked in vain.
};

/// One attempt of a call, at an endpoint or by a peer to which the request is
/// handed over.
struct Attempt {
  std::uint64_t number = 0;
  /// Null if a peer makes the attempt. Then it is the endpoint that the peer's
  /// answer names, if this node knows it.
  routing::EndpointPtr endpoint;
  std::string peer;  ///< Name of the peer; empty: this node makes the attempt.
  ProcessProof proof = ProcessProof::kProven;
  bool declined = false;    ///< The peer did not take the request.
  bool is_refused = false;  ///< Its connection was refused.
  routing::Placement placement;
  /// Version of the software that answers, as far as this node knows.
  routing::SoftwareVersion version = routing::kUnknownVersion;
  /// Weights that made its last event, as its answer states.
  routing::Weights weights;
  routing::Weights expected_weights;  ///< That its request names.
  net::HttpExchangePtr exchange;
  Time sent_at{};
  bool request_sent = false;  ///< The first byte of the request was sent.
  Time first_byte_sent_at{};  ///< Default: it was not sent.
  bool started = false;       ///< The endpoint answered or sent an event.
  /// The answer is a stream whose events are forwarded as they arrive.
  bool is_event_stream = false;
  /// The endpoint went on with its answer for `kMinProvenAnswerTime`.
  bool is_prompt_proven = false;
  Time first_event_at{};                 ///< Default: none came yet.
  Time last_event_at{};                  ///< Default: none came yet.
  Time pace_sample_start{};              ///< Start of the current pace sample.
  std::uint64_t pace_sample_events = 0;  ///< Events in that sample so far.
  net::HttpAnswerHead head;
  std::size_t head_bytes = 0;  ///< Memory of its fields.
  AnswerMetadata metadata;
  bool is_named = false;  ///< The answer bears the id of the request.
  /// If the answer is a success, it is the endpoint's own and belongs to the
  /// request.
  bool is_vouched = false;
  /// Its framing, or what became of its process where that is enough, has shown
  /// that the answer is whole.
  bool is_end_proven = false;
  /// Its process has lived on, and ended the answer itself.
  bool has_lived_on = false;
  /// A peer passes on the stream of an endpoint that doesn't state its end, and
  /// ends it itself once the endpoint's process has lived on.
  bool is_unframed_at_peer = false;
  /// The endpoint answers questions for its process, and doesn't say which it
  /// is, like a plain service without reports.
  bool is_beyond_proof = false;
  /// Number of the endpoint's spare connection when the request was sent; 0:
  /// there was none.
  std::uint64_t spare = 0;
  /// Set while the endpoint is asked whether its process has lived on after the
  /// connection ended the answer.
  PageReadPtr end_question;
  /// Set while that is asked on the endpoint's spare connection.
  kernel::EventWatcher end_timer;
  std::uint32_t end_questions = 0;  ///< Questions of that kind so far.
  std::string body;                 ///< Body of an answer that is not a stream.
  /// Bytes of the answer that are kept, as `Proxy::buffered_bytes` counts them.
  std::size_t buffered_bytes = 0;
  net::EventSplitter splitter;
  /// Set from the stream's first event of this attempt on.
  std::optional<routing::StreamRun> run;
  routing::HeldEvents held;  ///< Its last events, until the next one.
  std::string held_bytes;    ///< Of these.
  bool is_misorder_logged =
      false;  ///< An event that doesn't follow was logged.
};

/// An end of a stream that its answer didn't state, until another attempt says
/// whether more follows.
struct OpenEnd {
  std::string after;  ///< Id of the last event; empty: there is no such end.
  /// Whose process has ended the answer and lives on; null: not known.
  routing::EndpointPtr endpoint;
  bool is_trusted = false;  ///< It counts as whole if nobody says otherwise.
  std::uint32_t empty_runs = 0;  ///< Runs that ended there without an event.
  kernel::EventWatcher timer;    ///< Ends the wait for a trusted one.
};

/// A question for the version that began a stream.
struct StreamQuestion {
  routing::StreamKey stream = 0;
  /// The part of its prompt that belongs to it alone; 0: it has none.
  routing::PartKey part = 0;
};

/// What a peer answers to that question.
struct VersionAnswer {
  routing::SoftwareVersion version = routing::kUnknownVersion;
  routing::Weights weights;
  /// The step in doubt at which the stream broke off last.
  std::optional<routing::StepInDoubt> doubt;
  /// Version of the endpoints that keep its part.
  routing::SoftwareVersion part_version = routing::kUnknownVersion;
  bool is_part_alone = false;  ///< No endpoint of another version keeps it.
  routing::VersionKnowledge knowledge;  ///< Of the stream's service.
  bool is_confirmed = false;            ///< The peer has read the store since.
  /// What the peer knows ends no earlier than what this node knows begins.
  bool leads_up_to_own = false;
  bool is_missing = false;  ///< The peer gave none.
};

/// A question to peers about the version that began a stream.
struct VersionLookup {
  std::size_t unanswered = 0;  ///< Peers that were asked and haven't answered.
  bool is_own_confirmed = false;  ///< What this node knew when it asked them.
  routing::VersionKnowledge knowledge;  ///< Of this node and those that answer.
  routing::SoftwareVersion version = routing::kUnknownVersion;
  bool is_begin_doubted = false;  ///< A node knows the stream only as such.
  routing::Weights weights;
  std::optional<routing::StepInDoubt> doubt;
  routing::SoftwareVersion part_version = routing::kUnknownVersion;
  /// A node knows that no endpoint of another version keeps the part.
  bool is_part_alone = false;
  kernel::EventWatcher timer;  ///< Ends the question, or asks it again.
};

/// A question to an endpoint before an attempt, whether its process is the one
/// that wrote its entry.
struct ProcessCheck {
  routing::Placement placement;  ///< Of the attempt that waits for it.
  PageReadPtr question;
  kernel::EventWatcher timer;  ///< Of the question for a witness.
};

/// An endpoint that was asked for its process in vain.
struct UnidentifiedEndpoint {
  routing::EndpointPtr endpoint;
  routing::ProcessCheckResult result;
};

/// One request of a caller.
struct Call {
  std::uint64_t number = 0;
  net::HttpCallPtr caller;
  RequestMetadata metadata;
  routing::RouteTablePtr table;  ///< The rules in force when it arrived.
  const routing::Route* route = nullptr;
  const routing::ClientAccount* account = nullptr;  ///< Null: none.
  const routing::Service* service = nullptr;
  const ClassMetrics* class_metrics = nullptr;
  routing::Demand demand;
  Time arrived_at{};
  Time deadline{};
  /// Endpoints of the attempts that may have run.
  std::vector<routing::EndpointPtr> tried_endpoints;
  /// Endpoints that were asked before an attempt and didn't say that their
  /// process wrote their entry, once for each question.
  std::vector<UnidentifiedEndpoint> unidentified_endpoints;
  std::vector<std::string> tried_peers;  ///< Peers of all handovers.
  /// A peer handed the request over. It is not handed over again.
  bool handed_over = false;
  std::uint32_t max_attempts = 1;        ///< Attempts that may run.
  std::uint32_t may_have_run = 0;        ///< Attempts that may have run.
  std::uint32_t not_run = 0;             ///< Attempts that endpoints refused.
  std::uint32_t not_sent = 0;            ///< Attempts without a byte sent.
  std::uint32_t other_weights = 0;       ///< Attempts refused for these.
  std::uint32_t delivered_attempts = 0;  ///< All but those not sent.
  std::uint32_t unanswered = 0;          ///< Own attempts that timed out.
  /// How the last delivered attempt ended. The next one is a retry.
  std::optional<routing::AttemptOutcome> retry_cause;
  Time retry_decided_at{};      ///< When that attempt ended.
  bool retry_reserved = false;  ///< The retry budget has one for this call.
  std::unique_ptr<Attempt> attempt;  ///< The current attempt, if any.
  /// What the caller has of a stream, with what it had before this request.
  routing::StreamPosition position;
  routing::StreamForms forms;  ///< Of its events.
  std::uint64_t events = 0;    ///< Events sent to the caller.
  OpenEnd open_end;
  /// Earliest time at which a stream that it takes up can have begun.
  Time earliest_begin{};
  /// The store was read, or could not be, since it arrived.
  bool has_caught_up = false;
  /// Peers are asked to read the store before they tell of its stream.
  bool must_confirm = false;
  /// Its stream began at a process that nothing had proven.
  bool is_begin_doubted = false;
  Time begin_awaited_since{};  ///< By the next attempt; default: by none.
  /// Version that began the stream, also that of a stream which it takes up.
  routing::SoftwareVersion version = routing::kUnknownVersion;
  /// Weights that made the last event that the caller has.
  routing::Weights weights;
  Time first_event_at{};
  Time last_event_at{};
  milliseconds longest_pause{};  ///< Between two events sent to the caller.
  bool waiting = false;          ///< It is in `Proxy::waiting_calls`.
  Time waiting_since{};          ///< When it last began to need an endpoint.
  kernel::EventWatcher deadline_timer;
  /// Fires when the endpoint has sent nothing for too long.
  kernel::EventWatcher silence_timer;
  std::size_t body_bytes = 0;
  std::size_t request_bytes = 0;  ///< Memory of the request.
  std::uint64_t fingerprint = 0;  ///< See `GetFingerprint`; 0: not computed.
  std::vector<std::uint64_t> suspect_keys;  ///< See `GetSuspectKeys`.
  /// Set while peers are asked for the version of the stream that it takes up.
  std::shared_ptr<VersionLookup> version_lookup;
  /// A peer that was asked for the version of its stream gave no answer.
  bool is_version_answer_missing = false;
  /// Set while an endpoint is asked for its process before an attempt.
  std::unique_ptr<ProcessCheck> process_check;
  int refusal_status = 0;  ///< Status of this node's own refusal; 0: none.
  bool succeeded = false;  ///< The caller got a successful answer.
};
using CallPtr = std::shared_ptr<Call>;

}  // namespace egretladder::proxy
