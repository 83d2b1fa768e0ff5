// Asks endpoints whether their processes live on after connections to them
// broke.
//
// Breaks count against requests as crashes do. Those at a process that states
// the same start afterwards were none. It is asked once more a moment later,
// since a process that is about to end may still answer.
#include <utility>

#include "attempts_p.h"

namespace egretladder::proxy {
namespace {

using kernel::LogLevel;
using kernel::LogPart;
using routing::ProcessCheckResult;

// A process that is late, or whose answer is lost, may live on.
bool HasEnded(ProcessCheckResult result) {
  return result == ProcessCheckResult::kReplaced ||
         result == ProcessCheckResult::kNoAnswer;
}

void Ask(Proxy& proxy, BreakQuestion question);

void AskSecondLater(Proxy& proxy, BreakQuestion question) {
  const std::string id = question.endpoint->entry.id;
  question.read = nullptr;
  question.is_second = true;
  question.timer =
      kernel::RunAfter(*proxy.loop, kSecondBreakQuestionDelay, [&proxy, id] {
        BreakQuestion due = std::move(proxy.break_questions.at(id));
        proxy.break_questions.erase(id);
        Ask(proxy, std::move(due));
      });
  proxy.break_questions.insert_or_assign(id, std::move(question));
}

void OnAnswer(Proxy& proxy, const std::string& id, ProcessCheckResult result) {
  const auto node = proxy.break_questions.extract(id);
  BreakQuestion& question = node.mapped();
  const Time now = NowOf(proxy);
  const bool lives = result == ProcessCheckResult::kSame;
  kernel::LogEvent(LogPart::kEndpoint, LogLevel::kInfo, "asked-after-break",
                   {{"endpoint", id},
                    {"result", routing::NameOf(result)},
                    {"lives", lives},
                    {"second", question.is_second},
                    {"ms", Elapsed(question.asked_at, now)}});
  if (lives) {
    routing::OnProcessLivedOn(proxy.suspects, question.process,
                              question.asked_at, now);
  } else if (question.is_second && HasEnded(result)) {
    routing::OnProcessEnded(proxy.suspects, question.process, now);
  }
  if (question.is_outdated) {
    question.is_second = false;
    Ask(proxy, std::move(question));
  } else if (lives && !question.is_second) {
    AskSecondLater(proxy, std::move(question));
  }
}

void Ask(Proxy& proxy, BreakQuestion question) {
  const std::string id = question.endpoint->entry.id;
  question.is_outdated = false;
  question.timer = {};
  question.asked_at = NowOf(proxy);
  question.read = AskForProcess(
      proxy, question.endpoint, {"", kBreakQuestionTimeout},
      [&proxy, id](ProcessCheckResult result) { OnAnswer(proxy, id, result); });
  proxy.break_questions.insert_or_assign(id, std::move(question));
}

}  // namespace

void AskAfterBreak(Proxy& proxy, const Attempt& attempt) {
  const routing::EndpointEntry& entry = attempt.endpoint->entry;
  if (entry.started_unix_ms == 0) return;
  const std::uint64_t process = HashOfProcess(entry);
  if (!routing::HasBreakAt(proxy.suspects, process)) return;
  const auto at = proxy.break_questions.find(entry.id);
  const bool is_being_asked = at != proxy.break_questions.end() &&
                              at->second.read != nullptr &&
                              at->second.process == process;
  if (is_being_asked) {
    at->second.is_outdated = true;
    return;
  }
  const bool is_full = proxy.break_questions.size() >= kMaxBreakQuestions;
  if (at == proxy.break_questions.end() && is_full) return;
  BreakQuestion question;
  question.endpoint = attempt.endpoint;
  question.process = process;
  Ask(proxy, std::move(question));
}

}  // namespace egretladder::proxy
