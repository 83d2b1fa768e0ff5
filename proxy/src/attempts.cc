// Attempts of calls at endpoints: sends the request.
#include <algorithm>
#include <utility>

#include "attempts_p.h"
#include "egretladder/routing/brittle.h"
#include "egretladder/routing/placement_cost.h"
#include "egretladder/routing/round_trip.h"

namespace egretladder::proxy {
namespace {

using kernel::LogLevel;
using kernel::LogPart;
using routing::AttemptOutcome;

// Endpoints distinguish ten priorities, 0 to 9.
constexpr std::uint8_t kLowestPriority = 9;

void RecordWeights(Proxy& proxy, routing::Endpoint& endpoint,
                   const AnswerMetadata& metadata) {
  const std::string& id = metadata.instance_id;
  if (metadata.weights && (id.empty() || id == endpoint.entry.id))
    routing::SetWeights(proxy.endpoints, endpoint, metadata.weights);
}

net::HeadVerdict OnHead(Proxy& proxy, const CallPtr& call,
                        const net::HttpAnswerHead& head) {
  Attempt& attempt = *call->attempt;
  const AnswerMetadata metadata = proxy.dialect->read_answer(head);
  RecordAnswered(proxy, *call);
  ApplyEndpointNotice(proxy, *call, attempt.endpoint, head.status, metadata);
  if (!metadata.id.empty() && metadata.id != call->metadata.id) {
    IncrementCounter(proxy, "egretladder_foreign_answers_total",
                     "Answers of endpoints to other requests than the one that "
                     "was under way on the connection.",
                     "");
    kernel::LogEvent(LogPart::kEndpoint, LogLevel::kWarning, "foreign-answer",
                     {{"req", call->metadata.id},
                      {"endpoint", attempt.endpoint->entry.id},
                      {"connection", net::ConnectionNumber(attempt.exchange)},
                      {"status", head.status},
                      {"answers", metadata.id}});
    return net::HeadVerdict::kSkip;
  }
  routing::OnSignOfLife(*attempt.endpoint, NowOf(proxy));
  RecordWeights(proxy, *attempt.endpoint, metadata);
  if (head.status != kMisdirected)
    UpdateEndpointLimit(proxy, *call, *attempt.endpoint, metadata);
  KeepAnswerHead(proxy, *call, head, metadata);
  return attempt.is_named ? net::HeadVerdict::kAccept
                          : net::HeadVerdict::kAcceptLast;
}

milliseconds GetFirstEventTimeout(const Call& call,
                                  const routing::Placement& placement) {
  const auto expected = milliseconds(static_cast<std::int64_t>(
      placement.expected_ms * kFirstEventTimeoutFactor));
  const bool is_short_prompt =
      call.service->generates && !routing::IsLongPrompt(call.demand);
  const auto min_timeout =
      is_short_prompt ? std::chrono::duration_cast<milliseconds>(
                            call.route->target * kShortPromptTargetRatio)
                      : call.route->target;
  return std::max(min_timeout, expected);
}

void LogSent(const Proxy& proxy, const Call& call, Time now) {
  const routing::Placement& placement = call.attempt->placement;
  const routing::Endpoint& endpoint = *placement.endpoint;
  kernel::LogEvent(
      LogPart::kRoute, LogLevel::kInfo, "sent",
      {{"req", call.metadata.id},
       {"endpoint", endpoint.entry.id},
       {"why", routing::NameOf(placement.reason)},
       {"expected_ms", placement.expected_ms},
       {"cost", routing::Describe(placement.costs)},
       {"tight_part", proxy.endpoints.tight_fraction},
       {"pause_ms", proxy.endpoints.pauses.ms},
       {"waited_ms", Elapsed(call.arrived_at, now)},
       {"left_ms", Elapsed(now, call.deadline)},
       {"in_flight", endpoint.in_flight},
       {"others", endpoint.peers_in_flight},
       {"phase", routing::NameOf(endpoint.phase)},
       {"tier", call.demand.tier},
       {"route", call.route->name},
       {"rules", call.table->version},
       {"version", endpoint.entry.software_version},
       {"after_event", call.position.last_id},
       {"resumes", call.metadata.resumes},
       {"retry_of", NameOfRetryCause(call)},
       {"retry_ms", call.retry_cause ? Elapsed(call.retry_decided_at, now)
                                     : milliseconds{}}});
}

ForwardMetadata MakeForwardMetadata(const Call& call, Time now) {
  ForwardMetadata metadata;
  metadata.endpoint_id = call.attempt->endpoint->entry.id;
  if (call.account != nullptr) metadata.account = call.account->name;
  metadata.time_left = std::max(milliseconds(1), Elapsed(now, call.deadline));
  if (call.service->generates) {
    metadata.priority = std::min(call.demand.tier, kLowestPriority);
  }
  metadata.resume_after = routing::IdToGoOnAfter(call.position);
  metadata.weights = call.attempt->expected_weights;
  return metadata;
}

net::ConnectionReuse GetConnectionReuse(const Proxy& proxy, const Call& call,
                                        Time now) {
  // Open connections may have fallen silent with the links. A new one fails
  // before anything is sent.
  const auto reach = proxy.reaches.find(call.service->name);
  const bool is_failing =
      reach != proxy.reaches.end() && routing::IsFailing(reach->second);
  if (routing::IsRouteRepeatable(*call.route) && !is_failing)
    return net::ConnectionReuse::kAny;
  return routing::IsRecentlyHeard(*call.attempt->endpoint, now)
             ? net::ConnectionReuse::kRecentlyUsed
             : net::ConnectionReuse::kNone;
}

net::ExchangeRequest MakeExchangeRequest(const Proxy& proxy, const Call& call,
                                         Time now) {
  const net::HttpRequest& request = call.caller->request();
  net::HttpFields fields =
      proxy.dialect->endpoint_fields(request, MakeForwardMetadata(call, now));
  if (call.handed_over) RemoveHandoverFields(fields);
  net::ExchangeRequest exchange =
      MakeForwardedRequest(call.caller, std::move(fields));
  exchange.address = call.attempt->endpoint->entry.address;
  exchange.id = call.metadata.id;
  exchange.reuse = GetConnectionReuse(proxy, call, now);
  return exchange;
}

// Called before the first byte is sent. Returns false if the attempt was ended
// instead.
bool BeginSending(Proxy& proxy, const CallPtr& call) {
  const Time now = NowOf(proxy);
  const routing::Endpoint& endpoint = *call->attempt->endpoint;
  if (!routing::MaySend(proxy.endpoints, endpoint, now) ||
      !routing::IsSureSender(proxy.endpoints, endpoint,
                             GetFleetSnapshot(proxy, *call, now), now) ||
      GetSuspectHoldTime(proxy, *call).count() > 0) {
    EndAttempt(proxy, call, AttemptOutcome::kWithheld, "");
    return false;
  }
  call->attempt->request_sent = true;
  call->attempt->first_byte_sent_at = now;
  RecordSuspectSent(proxy, *call);
  routing::OnAttemptBegan(*call->attempt->endpoint, call->attempt->number,
                          call->body_bytes, now);
  OnRetrySent(proxy, *call);
  return true;
}

net::ExchangeHandlers MakeEndpointHandlers(Proxy& proxy, const CallPtr& call) {
  net::ExchangeHandlers handlers = MakeAnswerHandlers(proxy, call);
  handlers.on_connected = [&proxy, call](milliseconds elapsed) {
    if (call->attempt == nullptr) return;
    routing::OnRoundTrip(proxy.endpoints, *call->attempt->endpoint, elapsed);
  };
  handlers.may_send = [&proxy, call] { return BeginSending(proxy, call); };
  handlers.on_head = [&proxy, call](const net::HttpAnswerHead& head) {
    return OnHead(proxy, call, head);
  };
  return handlers;
}

}  // namespace

net::ExchangeRequest MakeForwardedRequest(const net::HttpCallPtr& caller,
                                          net::HttpFields fields) {
  const net::HttpRequest& request = caller->request();
  const bool has_no_body =
      request.body.empty() &&
      net::CountFields(request.fields, "Content-Length") == 0 &&
      net::CountFields(request.fields, "Transfer-Encoding") == 0;
  net::ExchangeRequest exchange;
  exchange.head = net::FormatRequestHead(
      request.method, request.target, fields,
      has_no_body ? net::BodyFraming::kNone : net::BodyFraming::kLength,
      request.body.size());
  exchange.body = std::shared_ptr<const std::string>(caller, &request.body);
  exchange.is_head_request = request.method == "HEAD";
  return exchange;
}

void StartAttempt(Proxy& proxy, const CallPtr& call,
                  const routing::Placement& placement, ProcessProof proof) {
  const Time now = NowOf(proxy);
  call->attempt = std::make_unique<Attempt>();
  Attempt& attempt = *call->attempt;
  attempt.number = ++proxy.last_number;
  attempt.endpoint = placement.endpoint;
  attempt.placement = placement;
  attempt.sent_at = now;
  attempt.proof = proof;
  if (routing::IsVersionSure(*placement.endpoint))
    attempt.version = placement.endpoint->version;
  attempt.expected_weights = call->demand.weights;
  if (call->route->kind == routing::RouteKind::kStream)
    attempt.spare = NumberOfSpare(proxy, *placement.endpoint);
  routing::OnRequestPlaced(proxy.split_demand_meter, call->demand, placement,
                           proxy.endpoints.pauses, now);
  if (routing::AvoidsLongPrompts(proxy.endpoints, call->demand))
    proxy.endpoints.last_delayed_stream_at = now;
  routing::OnAttemptSent(*placement.endpoint, call->demand, attempt.number,
                         placement, now);
  RecordAttemptBegan(proxy, *call);
  kernel::Observe(proxy.metrics, call->class_metrics->waited,
                  now - call->arrived_at);
  LogSent(proxy, *call, now);
  attempt.exchange = proxy.client->Start(MakeExchangeRequest(proxy, *call, now),
                                         MakeEndpointHandlers(proxy, call));
  if (routing::IsRouteRepeatable(*call->route)) {
    StartSilenceTimer(proxy, call, GetFirstEventTimeout(*call, placement));
  }
}

}  // namespace egretladder::proxy
