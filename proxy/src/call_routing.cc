// Routes requests: finds their route and account, and makes a call of them.
#include <algorithm>
#include <optional>
#include <utility>

#include "egretladder/routing/stream_service.h"
#include "state_p.h"

namespace egretladder::proxy {
namespace {

constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;

// Returns the rules by which a request is routed.
routing::RouteTablePtr RulesFor(const Proxy& proxy,
                                const HandoverHeader* handover) {
  if (handover == nullptr) return proxy.rules;
  const auto past = routing::FindRules(proxy.past_rules,
                                       handover->rules_version, NowOf(proxy));
  return past != nullptr ? past : proxy.rules;
}

// Returns where the request stands among the weights of its route. All requests
// for one stream stand at the same place, so that one service serves them.
double WeightPositionOf(Proxy& proxy, const routing::Route& route,
                        const routing::ClientAccount* account,
                        const RequestMetadata& metadata) {
  if (route.kind != routing::RouteKind::kStream)
    return kernel::RandomFraction(proxy.random);
  const std::string& began =
      metadata.resumes.empty() ? metadata.id : metadata.resumes;
  return routing::WeightPositionOf(
      routing::KeyOfStream(account != nullptr ? account->name : "", began));
}

// Returns the service that a peer chose, if these rules allow it, or the one at
// that position among the weights.
routing::ServiceHandle PickService(const routing::RouteTable& rules,
                                   const routing::Route& route,
                                   double weight_position,
                                   const HandoverHeader* handover) {
  if (handover != nullptr) {
    for (const routing::WeightedTarget& target : route.targets) {
      if (rules.services[target.service.idx].name == handover->service) {
        return target.service;
      }
    }
  }
  return routing::PickTarget(route, weight_position);
}

// A handover is one attempt of the node that the caller asked. That node counts
// the attempts and decides about the next one.
void ApplyHandover(Proxy& proxy, const HandoverHeader& handover, Call& call) {
  call.handed_over = true;
  call.max_attempts = 1;
  call.version = handover.version;
  call.weights = handover.weights;
  ++proxy.handovers_served;
  for (const std::string& id : handover.tried) {
    const auto at = proxy.endpoints.by_id.find(id);
    if (at != proxy.endpoints.by_id.end())
      call.tried_endpoints.push_back(at->second);
  }
}

CallPtr MakeCall(Proxy& proxy, const net::HttpCallPtr& caller,
                 const routing::RouteTablePtr& rules,
                 const routing::Route& route,
                 const routing::ClientAccount* account,
                 RequestMetadata metadata, Time arrived_at,
                 const HandoverHeader* handover) {
  auto call = std::make_shared<Call>();
  call->number = ++proxy.last_number;
  call->caller = caller;
  call->table = rules;
  call->route = &route;
  call->account = account;
  call->arrived_at = arrived_at;
  call->class_metrics = GetClassMetrics(proxy, route.name);
  const auto timeout = std::min(metadata.deadline.value_or(route.timeout),
                                std::max(route.timeout, milliseconds(1)));
  call->deadline = arrived_at + timeout;
  const auto target =
      PickService(*rules, route,
                  WeightPositionOf(proxy, route, account, metadata), handover);
  call->service = &rules->services[target.idx];
  call->max_attempts = route.attempts;
  if (handover != nullptr) ApplyHandover(proxy, *handover, *call);
  call->demand.service = call->service;
  call->demand.tier = routing::FindRank(*rules, route, account);
  call->demand.long_answer_ms = routing::LongAnswerMs(
      routing::FindServicePace(proxy.endpoints, call->service->name),
      route.name);
  if (call->service->generates) {
    call->demand.parts = metadata.parts;
    call->demand.prompt_tokens = std::max(metadata.prompt_tokens, 1U);
    if (route.kind == routing::RouteKind::kStream) {
      const routing::ServicePace& pace =
          routing::FindServicePace(proxy.endpoints, call->service->name);
      call->demand.events = routing::ExpectedStreamEvents(pace, route.name);
      call->demand.longest = routing::LongStreamEvents(pace, route.name);
      call->demand.expected_stream_ms =
          routing::ExpectedStreamMs(pace, route.name);
    }
    call->demand.gap_target = route.gap_target;
    call->demand.tight = route.gap_target.count() > 0 &&
                         route.gap_target <= routing::kMaxTightGap;
  }
  // On other routes the field is left to the endpoint.
  if (route.resumable)
    call->position = routing::BeginStream(metadata.last_event_id);
  call->metadata = std::move(metadata);
  call->body_bytes = caller->request().body.size();
  call->request_bytes = net::MemoryOf(caller->request());
  return call;
}

// A request with its route, as the rules define it.
struct RoutedRequest {
  const routing::Route* route = nullptr;
  const routing::ClientAccount* account = nullptr;  // Null if none is needed.
  RequestMetadata metadata;
};

// Finds the route of a request. Rejects the request and returns nothing if it
// can't be routed.
std::optional<RoutedRequest> RouteRequest(Proxy& proxy,
                                          const net::HttpCallPtr& caller,
                                          const routing::RouteTable& rules) {
  const net::HttpRequest& request = caller->request();
  RoutedRequest routed;
  routed.route = routing::FindRoute(
      rules, net::FirstFieldValue(request.fields, "Host"), request.target);
  if (routed.route == nullptr) {
    RejectRequest(proxy, caller, kNotFound, "unknown_route", "no route matches",
                  {});
    return std::nullopt;
  }
  auto metadata = proxy.dialect->read_call(request);
  if (!metadata) {
    RejectRequest(proxy, caller, kBadRequest, "bad_request",
                  kernel::Describe(metadata.error()), {});
    return std::nullopt;
  }
  routed.metadata = std::move(metadata).value();
  if (!rules.has_accounts) return routed;
  if (!routed.metadata.key.empty()) {
    routed.account = routing::FindAccount(rules, routed.metadata.key);
  }
  if (routed.account == nullptr && !routed.route->is_public) {
    RejectRequest(proxy, caller, kUnauthorized, "unknown_key",
                  "no account has the key", {});
    return std::nullopt;
  }
  return routed;
}

}  // namespace

CallPtr MakeRoutedCall(Proxy& proxy, const net::HttpCallPtr& caller,
                       Time arrived_at, const HandoverHeader* handover) {
  const routing::RouteTablePtr rules = RulesFor(proxy, handover);
  auto routed = RouteRequest(proxy, caller, *rules);
  if (!routed) return nullptr;
  return MakeCall(proxy, caller, rules, *routed->route, routed->account,
                  std::move(routed->metadata), arrived_at, handover);
}

}  // namespace egretladder::proxy
