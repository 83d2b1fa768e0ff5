// Questions to endpoints, about their processes and what these keep.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "call_p.h"
#include "page_read_p.h"

namespace egretladder::proxy {

struct Proxy;

/// Asking endpoints which parts of prompts they keep.
struct KeptPartsReader {
  /// When processes that were asked may be asked again, by their lists; max:
  /// they have answered, or are being asked.
  std::unordered_map<std::uint64_t, Time> ask_at;
  std::map<std::string, PageReadPtr> reads;  ///< In progress, by endpoint.
};

/// A question to an endpoint which process has given a notice.
struct NoticeCheck {
  routing::EndpointPtr endpoint;
  routing::StandingNotices stated;
  /// When the first of the requests was sent whose answers gave it.
  Time requested_at{};
  PageReadPtr read;
};

/// A question to an endpoint whether its process lives on after a connection to
/// it broke.
struct BreakQuestion {
  routing::EndpointPtr endpoint;
  std::uint64_t process = 0;  ///< Hash of the process when it broke.
  Time asked_at{};
  /// The process answered once; this question tells whether it was about to
  /// end.
  bool is_second = false;
  bool is_outdated = false;    ///< Another one broke after it was asked.
  PageReadPtr read;            ///< Null: the second one isn't due yet.
  kernel::EventWatcher timer;  ///< Asks the second one.
};

/// A connection to an endpoint beside those of its requests. Its process has
/// lived on while the connection answers, whichever process that is.
struct Spare {
  using Waiter = std::function<void()>;
  /// Tells it from earlier ones to the endpoint; 0: it isn't open.
  std::uint64_t number = 0;
  std::string address;
  Time opened_at{};             ///< When the endpoint first answered on it.
  Time heard_at{};              ///< When the endpoint last answered on it.
  Time used_at{};               ///< When an answer last needed it.
  Time unavailable_until{};     ///< The endpoint keeps none open.
  PageReadPtr read;             ///< The question that is under way, if any.
  std::vector<Waiter> waiting;  ///< For its answer.
  std::vector<Waiter> queued;   ///< For that of the next one.
};

// spares.cc
/// Returns true if the endpoint of a stream has to have a spare connection, and
/// has none: nothing but that can tell that its process lived on to the end.
bool NeedsSpare(const Proxy& proxy, const Call& call,
                const routing::Endpoint& endpoint);
/// Opens one. `on_end` is called when it is open, or can't be had.
void OpenSpare(Proxy& proxy, const routing::Endpoint& endpoint,
               Spare::Waiter on_end);
/// Returns the number of the endpoint's open one; 0: there is none.
std::uint64_t NumberOfSpare(const Proxy& proxy,
                            const routing::Endpoint& endpoint);
/// Asks the endpoint for an answer on its spare connection. `on_end` is called
/// once the answer to a question has come that was asked from now on, or the
/// connection is lost, or keeps silent.
void AskSpare(Proxy& proxy, const routing::Endpoint& endpoint,
              Spare::Waiter on_end);
/// Returns since when the endpoint's process answers on its open one.
Time AnswersSince(const Proxy& proxy, const routing::Endpoint& endpoint);
/// Keeps the connections open that answers in progress need, and closes those
/// that none has needed for long. Called at each tick.
void KeepSpares(Proxy& proxy);

// process_question.cc
/// A question to an endpoint which process it is.
struct ProcessQuestion {
  /// The request that needs it, and that may follow on the connection.
  std::string request_id;
  milliseconds timeout{};
};
/// Asks the endpoint whether its process is the one that wrote its entry.
/// Destroying the result cancels the question.
PageReadPtr AskForProcess(
    Proxy& proxy, const routing::EndpointPtr& endpoint,
    const ProcessQuestion& question,
    std::function<void(routing::ProcessCheckResult)> on_answer);

// break_questions.cc
/// Asks the endpoint of an attempt whose connection broke whether its process
/// lives on, if that break or another one there counts against anything.
void AskAfterBreak(Proxy& proxy, const Attempt& attempt);

// process_checks.cc
/// Starts the attempt. If its version must be known, the endpoint is first
/// asked whether its process is the one that wrote its entry.
void StartCheckedAttempt(Proxy& proxy, const CallPtr& call,
                         const routing::Placement& placement);

// process_witness.cc
/// Finds out by the endpoint's spare connection whether its process, which
/// states no start, is the one of its entry. That may take `kMaxEntryDelay` at
/// an endpoint that this node has just met. `on_end` isn't called once the
/// call's process check has ended.
void AskForWitness(Proxy& proxy, const CallPtr& call,
                   std::function<void(routing::ProcessCheckResult)> on_end);

// kept_parts.cc
/// Asks endpoints which parts of prompts they keep, if no node is left that
/// knows at which versions streams began. Called at each tick.
void AskForKeptPartsIfNeeded(Proxy& proxy);

// notice_origins.cc
/// Asks the endpoint which process answered the attempt with the notice
/// `stated`, and binds that process by it when it is known.
void AskForNoticeOrigin(Proxy& proxy, const Attempt& attempt,
                        const routing::EndpointPtr& endpoint,
                        const routing::StandingNotices& stated);

}  // namespace egretladder::proxy
