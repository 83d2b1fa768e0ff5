// Requests that peers hand over to this node.
#include <string>

#include "handover_fields_p.h"

namespace egretladder::proxy {
namespace {

using kernel::LogLevel;
using kernel::LogPart;

constexpr int kBadRequest = 400;
constexpr int kUnavailable = 503;

bool IsLost(const Proxy& proxy, const std::string& service) {
  const auto at = proxy.reaches.find(service);
  return at != proxy.reaches.end() &&
         !routing::MayReach(at->second, NowOf(proxy));
}

// Returns why this node doesn't take the request; null: it does.
const char* WhyDeclined(const Proxy& proxy, const HandoverHeader& header,
                        std::size_t request_bytes) {
  if (proxy.leaving) return "leaving";
  if (proxy.rules == nullptr) return "no-rules";
  // With older rules, this node might refuse what the caller may do by now.
  if (proxy.rules->version < header.rules_version) return "older-rules";
  if (IsLost(proxy, header.service)) return "service-lost";
  if (proxy.handovers_served >= routing::kMaxHandoversServed ||
      !HasRoomForRequest(proxy, request_bytes)) {
    return "full";
  }
  return nullptr;
}

void CountVerdict(Proxy& proxy, const char* verdict) {
  IncrementCounter(proxy, "egretladder_handovers_served_total",
                   "Requests that peers handed over, by verdict.",
                   std::string("verdict=\"") + verdict + "\"");
}

void Decline(Proxy& proxy, const net::HttpCallPtr& peer,
             const std::string& service, const char* reason) {
  CountVerdict(proxy, reason);
  kernel::LogEvent(LogPart::kRoute, LogLevel::kInfo, "handover-declined",
                   {{"req", proxy.dialect->request_id(peer->request())},
                    {"service", service},
                    {"why", reason}});
  peer->Answer(kUnavailable, net::ReasonPhrase(kUnavailable),
               {{"Content-Type", "application/json"}, {kDeclinedField, reason}},
               ErrorBody("declined", reason, "no"));
}

}  // namespace

void OnHandedOver(Proxy& proxy, const net::HttpCallPtr& peer) {
  const net::HttpRequest& request = peer->request();
  const auto header = ParseHandoverHeader(
      net::FirstFieldValue(request.fields, kForwardedField));
  if (!header) {
    RejectRequest(proxy, peer, kBadRequest, "bad_request",
                  "this address is for other nodes", {});
    return;
  }
  const char* reason = WhyDeclined(proxy, *header, net::MemoryOf(request));
  if (reason != nullptr) {
    Decline(proxy, peer, header->service, reason);
    return;
  }
  CountVerdict(proxy, "accepted");
  RouteAndDispatch(proxy, peer, NowOf(proxy), &*header);
}

void DeclineCall(Proxy& proxy, const CallPtr& call,
                 routing::HandoverReason reason) {
  call->refusal_status = kUnavailable;
  call->caller->OnDisconnect(nullptr);
  Decline(proxy, call->caller, call->service->name, routing::NameOf(reason));
  EndCall(proxy, call, "declined");
}

}  // namespace egretladder::proxy
