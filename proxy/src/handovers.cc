// Handovers: the attempts of calls that a peer makes.
#include <algorithm>
#include <array>
#include <utility>

#include "attempts_p.h"
#include "handover_fields_p.h"

namespace egretladder::proxy {
namespace {

using kernel::LogLevel;
using kernel::LogPart;
using routing::AttemptOutcome;

HandoverHeader MakeHandoverHeader(const Proxy& proxy, const Call& call) {
  HandoverHeader header;
  header.peer = proxy.options.node;
  header.rules_version = call.table->version;
  header.service = call.service->name;
  header.version = call.version;
  header.weights = call.weights;
  for (const routing::EndpointPtr& endpoint : call.tried_endpoints)
    header.tried.push_back(endpoint->entry.id);
  return header;
}

net::ExchangeRequest MakeHandoverRequest(const Proxy& proxy, const Call& call,
                                         const std::string& address) {
  const net::HttpRequest& request = call.caller->request();
  // The peer's own refusal at its deadline arrives before this node's deadline.
  const milliseconds time_left = std::max(
      milliseconds(1), Elapsed(NowOf(proxy), call.deadline) - kHandoverReserve);
  net::HttpFields fields =
      proxy.dialect->peer_fields(request, time_left, call.position.last_id);
  RemoveHandoverFields(fields);
  fields.push_back(
      {kForwardedField, FormatHandoverHeader(MakeHandoverHeader(proxy, call))});
  net::ExchangeRequest exchange =
      MakeForwardedRequest(call.caller, std::move(fields));
  exchange.address = address;
  exchange.id = call.metadata.id;
  exchange.reuse = routing::IsRouteRepeatable(*call.route)
                       ? net::ConnectionReuse::kAny
                       : net::ConnectionReuse::kRecentlyUsed;
  return exchange;
}

// What the endpoint states of itself binds this node too, which may reach it
// again at any time.
void ApplyStatements(Proxy& proxy, const Call& call,
                     const net::HttpAnswerHead& head,
                     const AnswerMetadata& metadata) {
  const std::string id(net::FirstFieldValue(head.fields, kEndpointField));
  const auto at = proxy.endpoints.by_id.find(id);
  if (at == proxy.endpoints.by_id.end()) return;
  call.attempt->endpoint = at->second;
  ApplyEndpointNotice(proxy, call, at->second, head.status, metadata);
  UpdateEndpointLimit(proxy, call, *at->second, metadata);
}

net::HeadVerdict OnPeerHead(Proxy& proxy, const Call& call,
                            const net::HttpAnswerHead& head) {
  const AnswerMetadata metadata = proxy.dialect->read_answer(head);
  Attempt& attempt = *call.attempt;
  attempt.declined = net::CountFields(head.fields, kDeclinedField) > 0;
  if (attempt.declined) {
    routing::OnHandoverDeclined(
        proxy.handovers, attempt.peer,
        routing::BitOfService(*call.table, call.service->name), NowOf(proxy));
  }
  attempt.version =
      ParseVersion(net::FirstFieldValue(head.fields, kEndpointVersionField));
  ApplyStatements(proxy, call, head, metadata);
  KeepAnswerHead(proxy, call, head, metadata);
  attempt.is_unframed_at_peer =
      attempt.is_event_stream &&
      net::CountFields(head.fields, kUnframedField) > 0;
  return net::HeadVerdict::kAccept;
}

net::ExchangeHandlers MakePeerHandlers(Proxy& proxy, const CallPtr& call) {
  net::ExchangeHandlers handlers = MakeAnswerHandlers(proxy, call);
  handlers.may_send = [&proxy, call] {
    if (GetSuspectHoldTime(proxy, *call).count() > 0) {
      EndAttempt(proxy, call, AttemptOutcome::kWithheld, "");
      return false;
    }
    call->attempt->request_sent = true;
    return true;
  };
  handlers.on_head = [&proxy, call](const net::HttpAnswerHead& head) {
    return OnPeerHead(proxy, *call, head);
  };
  return handlers;
}

}  // namespace

AttemptOutcome ClassifyPeerAnswer(const Attempt& attempt) {
  constexpr int kMinServerError = 500;
  const int status = attempt.head.status;
  if (attempt.declined) return AttemptOutcome::kDeclined;
  if (ImpliesNotRun(status)) return AttemptOutcome::kRefused;
  if (!IsSuccess(status)) {
    return status >= kMinServerError ? AttemptOutcome::kFailed
                                     : AttemptOutcome::kSucceeded;
  }
  return attempt.is_vouched ? AttemptOutcome::kSucceeded
                            : AttemptOutcome::kBadAnswer;
}

bool IsPeersOwnAnswer(const Attempt& attempt) {
  return !attempt.peer.empty() &&
         net::CountFields(attempt.head.fields, kEndpointField) == 0;
}

void RemoveHandoverFields(net::HttpFields& fields) {
  constexpr std::array<const char*, 5> kNames = {
      kForwardedField, kEndpointField, kEndpointVersionField, kUnframedField,
      kDeclinedField};
  std::erase_if(fields, [&kNames](const net::HttpField& field) {
    return std::any_of(kNames.begin(), kNames.end(),
                       [&field](const char* name) {
                         return net::IsSameFieldName(name, field.name);
                       });
  });
}

void AddEndpointFields(const Attempt& attempt, net::HttpFields& fields) {
  fields.push_back({kEndpointField, attempt.endpoint->entry.id});
  fields.push_back({kEndpointVersionField, FormatVersion(attempt.version)});
  if (!IsFramed(attempt.head)) fields.push_back({kUnframedField, "1"});
}

void StartHandover(Proxy& proxy, const CallPtr& call,
                   const routing::HandoverPeer& peer,
                   routing::HandoverReason reason) {
  const Time now = NowOf(proxy);
  call->attempt = std::make_unique<Attempt>();
  Attempt& attempt = *call->attempt;
  attempt.number = ++proxy.last_number;
  attempt.peer = peer.node;
  attempt.sent_at = now;
  call->tried_peers.push_back(peer.node);
  routing::OnHandoverBegan(proxy.handovers, peer.node);
  kernel::Observe(proxy.metrics, call->class_metrics->waited,
                  now - call->arrived_at);
  kernel::LogEvent(LogPart::kRoute, LogLevel::kInfo, "handed-over",
                   {{"req", call->metadata.id},
                    {"peer", peer.node},
                    {"why", routing::NameOf(reason)},
                    {"service", call->service->name},
                    {"waited_ms", Elapsed(call->arrived_at, now)},
                    {"left_ms", Elapsed(now, call->deadline)},
                    {"tier", call->demand.tier},
                    {"route", call->route->name},
                    {"rules", call->table->version},
                    {"after_event", call->position.last_id}});
  attempt.exchange =
      proxy.client->Start(MakeHandoverRequest(proxy, *call, peer.address),
                          MakePeerHandlers(proxy, call));
  if (routing::IsRouteRepeatable(*call->route)) {
    StartSilenceTimer(proxy, call,
                      std::chrono::duration_cast<milliseconds>(
                          call->route->target * kFirstEventTimeoutFactor));
  }
}

}  // namespace egretladder::proxy
