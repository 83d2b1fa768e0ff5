// Questions to endpoints, about their processes and what these keep.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_set>

#include "call_p.h"
#include "page_read_p.h"

namespace egretladder::proxy {

struct Proxy;

/// Asking endpoints which parts of prompts they keep.
struct KeptPartsReader {
  std::unordered_set<std::string> asked;     ///< Endpoints that were asked.
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

// process_question.cc
/// A question to an endpoint which process it is.
struct ProcessQuestion {
  std::string request_id;  ///< The request that needs it; for the log.
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
