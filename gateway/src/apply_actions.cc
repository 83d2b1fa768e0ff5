#include <string>
#include <utility>

#include "egretladder/kernel/log.h"
#include "gateway_p.h"

namespace egretladder::gateway {
namespace {

using kernel::LogLevel;
using kernel::LogPart;

CallerCall* FindCall(Gateway& gateway, CallId id) {
  const auto at = gateway.calls.find(id);
  return at == gateway.calls.end() ? nullptr : at->second.get();
}

void CountOutcome(CallerCall& call, Outcome outcome) {
  Gateway& gateway = *call.gateway;
  const ClassMetrics& of =
      MetricsOfClass(gateway.call_metrics, gateway.metrics,
                     node::RulesOf(*gateway.node).get(), call.cls);
  kernel::Increment(gateway.metrics,
                    of.outcomes[static_cast<std::size_t>(outcome)]);
}

void AnswerWithError(Gateway& gateway, const node::AnswerError& answer) {
  CallerCall* call = FindCall(gateway, answer.call);
  if (call == nullptr) return;
  if (call->caller != nullptr) {
    CountOutcome(*call, answer.ran == node::RunStatus::kDidNotRun
                            ? Outcome::kNotRun
                            : Outcome::kUnknown);
  }
  const char* code = node::NameOf(answer.code);
  AnswerCallError(*call, {node::HttpStatusFor(answer.code), code,
                          answer.detail.empty() ? code : answer.detail,
                          node::NameOf(answer.ran), answer.retry_after});
  ForgetIfDone(*call);
}

void AnswerFromStore(Gateway& gateway, const node::AnswerStored& stored) {
  CallerCall* call = FindCall(gateway, stored.call);
  if (call == nullptr || !stored.answer) return;
  if (call->caller != nullptr) CountOutcome(*call, Outcome::kServed);
  HttpHeaders headers;
  if (!stored.answer->content_type.empty()) {
    headers.push_back({"Content-Type", stored.answer->content_type});
  }
  AnswerCallWhole(*call, stored.answer->status, headers, stored.answer->body);
  ForgetIfDone(*call);
}

void Add(std::string& line, const char* key, const std::string& value) {
  if (value.empty()) return;
  line += key;
  line += value;
}

void LogDecision(const Gateway& gateway, const node::Decision& decision) {
  const bool placed = decision.call == 0;
  const LogPart part = placed ? LogPart::kPlace : LogPart::kRoute;
  if (!kernel::IsLogEnabled(part, LogLevel::kInfo)) return;
  std::string line = decision.kind;
  line += ":";
  if (decision.call != 0) {
    line +=
        " request=" + gateway.request_prefix + std::to_string(decision.call);
  }
  Add(line, " class=", decision.cls);
  Add(line, " account=", decision.account);
  if (decision.tier != 0) line += " tier=" + std::to_string(decision.tier);
  Add(line, " endpoint=", decision.endpoint);
  Add(line, " node=", gateway.options.node.fleet.node);
  Add(line, " zone=", decision.zone);
  line += " waited_ms=" + std::to_string(decision.waited.count());
  Add(line, " reason=", decision.reason);
  kernel::Log(part, LogLevel::kInfo, line);
}

struct Applier {
  Gateway& gateway;

  void operator()(const node::SendCall& send) const {
    SendToEndpoint(gateway, send);
  }
  void operator()(const node::CancelCall& cancel) const {
    CallerCall* call = FindCall(gateway, cancel.call);
    if (call == nullptr || call->attempt.number != cancel.attempt) return;
    CancelAttempt(*call);
    ForgetIfDone(*call);
  }
  void operator()(const node::AnswerError& answer) const {
    AnswerWithError(gateway, answer);
  }
  void operator()(const node::AnswerStored& stored) const {
    AnswerFromStore(gateway, stored);
  }
  void operator()(const node::ForwardCall& forward) const {
    SendToOwner(gateway, forward);
  }
  void operator()(const node::Decision& decision) const {
    LogDecision(gateway, decision);
  }
  void operator()(const fleet::SendMessage& send) const {
    SendToPeer(*gateway.peers, send);
  }
  void operator()(const fleet::ReadRulesDocument& read) const {
    ReadRulesDocument(gateway, read);
  }
  void operator()(const fleet::ReadVmList& /*read*/) const {
    ReadVmList(gateway);
  }
  void operator()(const fleet::ReadReport& read) const {
    ReadReport(gateway, read.endpoint);
  }
  void operator()(const fleet::OrderEngine& order) const {
    OrderEngine(gateway, order);
  }
  void operator()(const fleet::RulesInForce& in_force) const {
    kernel::Log(
        LogPart::kRules, LogLevel::kInfo,
        "Version " + std::to_string(in_force.rules->version) + " is in force.");
  }
  void operator()(const fleet::RulesRefused& refused) const {
    kernel::Log(LogPart::kRules, LogLevel::kWarning,
                "Version " + std::to_string(refused.version) +
                    " is refused: " + refused.why);
  }
};

}  // namespace

void Apply(Gateway& gateway, node::Action&& action) {
  std::visit(Applier{gateway}, std::move(action));
}

}  // namespace egretladder::gateway
