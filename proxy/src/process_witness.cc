// Witnesses of processes that state no start.
//
// An entry may speak of the process before, and an answer on a new connection
// is that of whoever listens by then. A process that has answered on one
// connection for longer than entries are late would have written its own entry
// by now: it is the one of the entry that is known. While the store can't be
// read, nobody would know of that.
#include <memory>
#include <utility>

#include "state_p.h"

namespace egretladder::proxy {
namespace {

using routing::ProcessCheckResult;
using OnEnd = std::function<void(ProcessCheckResult)>;

// Runs `act` unless the call's process check has ended.
auto IfWaiting(const CallPtr& call, std::function<void(const CallPtr&)> act) {
  return [weak_call = std::weak_ptr<Call>(call),
          check = call->process_check.get(), act = std::move(act)] {
    const auto locked = weak_call.lock();
    if (locked != nullptr && locked->process_check.get() == check) act(locked);
  };
}

// The entry may have changed meanwhile.
ProcessCheckResult JudgeWitnessed(const Proxy& proxy, const Call& call,
                                  const routing::Endpoint& endpoint,
                                  Time asked_at) {
  const routing::SoftwareVersion version = call.demand.version;
  const bool fits =
      version == routing::kUnknownVersion || version == endpoint.version;
  const Time due =
      routing::WitnessedFrom(endpoint, AnswersSince(proxy, endpoint));
  const bool is_known = endpoint.phase != routing::EndpointPhase::kGone;
  return fits && is_known && due <= asked_at ? ProcessCheckResult::kSame
                                             : ProcessCheckResult::kReplaced;
}

void AskOnSpare(Proxy& proxy, const CallPtr& call, const OnEnd& on_end) {
  const routing::EndpointPtr endpoint = call->process_check->placement.endpoint;
  const std::uint64_t number = NumberOfSpare(proxy, *endpoint);
  if (number == 0 || IsStoreFailing(proxy)) {
    on_end(ProcessCheckResult::kLost);
    return;
  }
  call->process_check->timer =
      kernel::RunAfter(*proxy.loop, kProcessCheckTimeout,
                       IfWaiting(call, [on_end](const CallPtr& /*call*/) {
                         on_end(ProcessCheckResult::kSilent);
                       }));
  AskSpare(proxy, *endpoint,
           IfWaiting(call, [&proxy, endpoint, number, on_end,
                            asked_at = NowOf(proxy)](const CallPtr& waiting) {
             if (NumberOfSpare(proxy, *endpoint) != number) {
               on_end(ProcessCheckResult::kLost);
               return;
             }
             const ProcessCheckResult result =
                 JudgeWitnessed(proxy, *waiting, *endpoint, asked_at);
             if (result == ProcessCheckResult::kSame)
               routing::OnProcessWitnessed(*endpoint, asked_at);
             on_end(result);
           }));
}

// Waits until the process must have written its entry.
void AskWhenDue(Proxy& proxy, const CallPtr& call, const OnEnd& on_end) {
  const routing::Endpoint& endpoint = *call->process_check->placement.endpoint;
  if (NumberOfSpare(proxy, endpoint) == 0) {
    on_end(ProcessCheckResult::kLost);
    return;
  }
  const Time due =
      routing::WitnessedFrom(endpoint, AnswersSince(proxy, endpoint));
  const Time now = NowOf(proxy);
  if (due <= now) {
    AskOnSpare(proxy, call, on_end);
    return;
  }
  call->process_check->timer = kernel::RunAfter(
      *proxy.loop, Elapsed(now, due) + milliseconds(1),
      IfWaiting(call, [&proxy, on_end](const CallPtr& waiting) {
        AskOnSpare(proxy, waiting, on_end);
      }));
}

}  // namespace

void AskForWitness(Proxy& proxy, const CallPtr& call,
                   std::function<void(ProcessCheckResult)> on_end) {
  const routing::Endpoint& endpoint = *call->process_check->placement.endpoint;
  if (NumberOfSpare(proxy, endpoint) != 0) {
    AskWhenDue(proxy, call, on_end);
    return;
  }
  OpenSpare(proxy, endpoint,
            IfWaiting(call, [&proxy, on_end = std::move(on_end)](
                                const CallPtr& waiting) {
              AskWhenDue(proxy, waiting, on_end);
            }));
}

}  // namespace egretladder::proxy
