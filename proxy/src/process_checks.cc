// Asks endpoints whether their process is the one that wrote their entry.
//
// While the store can't be read, an endpoint may be back under its id at
// another software version, and its entry tells the version of the process
// before. A stream that goes on there would hold events of two versions, and
// one that begins there would be taken up at the wrong one. Few streams go on,
// so that this is always asked for them. Those that begin ask while several
// versions are known, after a connection to the endpoint has broken, and before
// they open a new one: it may lead to another process than the ones before.
#include <algorithm>
#include <memory>
#include <utility>

#include "state_p.h"

namespace egretladder::proxy {
namespace {

using routing::ProcessCheckResult;

bool IsBound(const Call& call) {
  return call.demand.version != routing::kUnknownVersion;
}

// Neither the entry nor the process states a start, so that its answer on a new
// connection doesn't tell which of them it is. A stream whose end is asked for
// can't wait for a witness: it would be told as whole before.
bool NeedsWitness(const Call& call, const routing::Endpoint& endpoint) {
  return call.demand.goes_on && endpoint.entry.started_unix_ms == 0 &&
         call.open_end.after.empty();
}

// Returns true if the process that answered may serve the call. One that
// doesn't state its start is taken for the one of the entry, unless that is in
// doubt and the call keeps to a version, or a stream goes on there.
bool MayServe(const Call& call, const routing::Endpoint& endpoint,
              ProcessCheckResult result) {
  return result == ProcessCheckResult::kSame ||
         (result == ProcessCheckResult::kUnclear &&
          !NeedsWitness(call, endpoint) &&
          (!IsBound(call) || routing::IsVersionSure(endpoint)));
}

bool HasLostConnection(ProcessCheckResult result) {
  return result == ProcessCheckResult::kNoAnswer ||
         result == ProcessCheckResult::kLost;
}

std::size_t CountQuestions(const Call& call,
                           const routing::EndpointPtr& endpoint) {
  const auto& asked = call.unidentified_endpoints;
  return static_cast<std::size_t>(std::count_if(
      asked.begin(), asked.end(),
      [&endpoint](const auto& each) { return each.endpoint == endpoint; }));
}

// Returns true if the endpoint was asked in vain, and is tried all the same:
// the call keeps to no version, and no other endpoint is left. No stream goes
// on there: whatever became of the questions, the process that gets the request
// may be of any version, also while one is known.
bool IsLastResort(const Call& call, const routing::EndpointPtr& endpoint) {
  return !IsBound(call) && !call.demand.goes_on &&
         CountQuestions(call, endpoint) > 0;
}

void FinishCheck(Proxy& proxy, const CallPtr& call, ProcessCheckResult result);

// An answer alone isn't enough where a stream goes on.
void OnAnswer(Proxy& proxy, const CallPtr& call, ProcessCheckResult result) {
  const routing::Endpoint& endpoint = *call->process_check->placement.endpoint;
  if (result != ProcessCheckResult::kUnclear ||
      !NeedsWitness(*call, endpoint)) {
    FinishCheck(proxy, call, result);
    return;
  }
  AskForWitness(proxy, call, [&proxy, call](ProcessCheckResult witnessed) {
    FinishCheck(proxy, call, witnessed);
  });
}

void FinishCheck(Proxy& proxy, const CallPtr& call, ProcessCheckResult result) {
  const auto check = std::move(call->process_check);
  IncrementCounter(
      proxy, "egretladder_process_checks_total",
      "Endpoints asked whether their process wrote their entry, by result.",
      std::string("result=\"") + routing::NameOf(result) + "\"");
  // The attempt reuses the connection of the report, so that the process which
  // answered gets it.
  const routing::EndpointPtr& endpoint = check->placement.endpoint;
  if (result == ProcessCheckResult::kSame) {
    proxy.client->MarkReusable(endpoint->entry.address,
                               endpoint->entry.started_unix_ms);
  }
  if (MayServe(*call, *endpoint, result)) {
    StartAttempt(proxy, call, check->placement,
                 result == ProcessCheckResult::kSame ? ProcessProof::kProven
                                                     : ProcessProof::kUnstated);
    return;
  }
  if (HasLostConnection(result) || result == ProcessCheckResult::kSilent)
    ++call->not_sent;
  // The route allows no other endpoint any more.
  if (call->may_have_run >= call->max_attempts) {
    RefuseOrAbort(proxy, call, "unknown_process", kUnknownStreamRetryDelay);
    return;
  }
  call->tried_endpoints.push_back(endpoint);
  call->unidentified_endpoints.push_back({endpoint, result});
  if (CountQuestions(*call, endpoint) >= kMaxProcessChecks &&
      !IsLastResort(*call, endpoint)) {
    RefuseOrAbort(proxy, call, "unknown_process", kUnknownStreamRetryDelay);
    return;
  }
  Dispatch(proxy, call);
}

void StartCheck(Proxy& proxy, const CallPtr& call,
                const routing::Placement& placement) {
  call->process_check = std::make_unique<ProcessCheck>();
  call->process_check->placement = placement;
  call->process_check->question = AskForProcess(
      proxy, placement.endpoint, {call->metadata.id, kProcessCheckTimeout},
      [&proxy,
       weak_call = std::weak_ptr<Call>(call)](ProcessCheckResult result) {
        const auto locked = weak_call.lock();
        if (locked == nullptr || locked->process_check == nullptr) return;
        OnAnswer(proxy, locked, result);
      });
}

// Starts the attempt once the endpoint's spare connection is open, or can't be
// had.
void StartWithSpare(Proxy& proxy, const CallPtr& call,
                    const routing::Placement& placement) {
  call->process_check = std::make_unique<ProcessCheck>();
  call->process_check->placement = placement;
  OpenSpare(proxy, *placement.endpoint,
            [&proxy, weak_call = std::weak_ptr<Call>(call),
             waiting = call->process_check.get()] {
              const auto locked = weak_call.lock();
              if (locked == nullptr || locked->process_check.get() != waiting)
                return;
              const auto check = std::move(locked->process_check);
              StartCheckedAttempt(proxy, locked, check->placement);
            });
}

}  // namespace

void StartCheckedAttempt(Proxy& proxy, const CallPtr& call,
                         const routing::Placement& placement) {
  if (NeedsSpare(proxy, *call, *placement.endpoint)) {
    StartWithSpare(proxy, call, placement);
    return;
  }
  if (!NeedsKnownProcess(proxy, *call, *placement.endpoint)) {
    StartAttempt(proxy, call, placement, ProcessProof::kProven);
  } else if (IsLastResort(*call, placement.endpoint)) {
    StartAttempt(proxy, call, placement, ProcessProof::kUnheard);
  } else {
    StartCheck(proxy, call, placement);
  }
}

}  // namespace egretladder::proxy
