// Asks endpoints which parts of prompts they keep, after all nodes have lost
// what they knew.
//
// An engine keeps the parts of a prompt for some time after its connection has
// broken. The last part belongs to its request alone, so that the version of
// the engines that keep it is the one that began the stream. Nodes that have
// started together share the endpoints by a hash, so that each is asked about
// once: the answer takes the engine's time. They write what they learn to the
// homes of the parts, as they do for streams, and tell all nodes whose list has
// come: an engine that hasn't told may keep any part. Processes that start
// meanwhile are asked, too, as long as such streams may be taken up.
#include <algorithm>
#include <utility>

#include "egretladder/routing/software_version.h"
#include "state_p.h"

namespace egretladder::proxy {
namespace {

using kernel::LogLevel;
using kernel::LogPart;

constexpr int kOk = 200;

void OnKeptParts(Proxy& proxy, const routing::EndpointPtr& endpoint,
                 Time asked_at, const Page& page) {
  const auto read = proxy.kept_parts.reads.extract(endpoint->entry.id);
  const auto kept = page.status == kOk
                        ? proxy.dialect->read_kept_parts(page.body)
                        : std::nullopt;
  const bool is_same_process =
      kept &&
      routing::OnProcessStated(*endpoint, kept->started_unix_ms, asked_at) !=
          routing::ProcessCheckResult::kReplaced;
  kernel::LogEvent(LogPart::kEndpoint, LogLevel::kInfo, "kept-parts",
                   {{"endpoint", endpoint->entry.id},
                    {"status", page.status},
                    {"same_process", is_same_process ? "yes" : "no"},
                    {"version", endpoint->entry.software_version},
                    {"parts", kept ? kept->parts.size() : 0}});
  if (page.status == 0) {
    proxy.kept_parts.ask_at[routing::KeyOfList(endpoint->entry)] =
        NowOf(proxy) + kKeptPartsRetryDelay;
  }
  if (!is_same_process) return;
  WritePartsToHomes(proxy, endpoint->entry, kept->parts);
}

void AskEndpoint(Proxy& proxy, const routing::EndpointPtr& endpoint) {
  proxy.kept_parts.ask_at[routing::KeyOfList(endpoint->entry)] = Time::max();
  IncrementCounter(proxy, "egretladder_kept_parts_asked_total",
                   "Endpoints asked which parts of prompts they keep.",
                   "service=\"" + endpoint->entry.service + "\"");
  proxy.kept_parts.reads[endpoint->entry.id] = StartPageRead(
      *proxy.loop, *proxy.client,
      {.address = endpoint->entry.address,
       .target = proxy.dialect->kept_parts_target(),
       .max_bytes = kMaxKeptPartsBytes,
       .timeout = kKeptPartsTimeout,
       .dialect = proxy.dialect},
      [&proxy, endpoint, asked_at = NowOf(proxy)](const Page& page) {
        OnKeptParts(proxy, endpoint, asked_at, page);
      });
}

// Nodes that have started together have met by then. A node that no peer
// answers may be the only one.
bool HasMetPeers(const Proxy& proxy, Time now) {
  const bool is_alone =
      !KnowsVersions(proxy, {}) && proxy.members.last_exchange_at == Time{};
  return is_alone
             ? Elapsed(proxy.members.started, now) >= routing::kMinAgeToAskAlone
             : Elapsed(proxy.streams.known_since, now) >=
                   routing::kMinAgeToAskEndpoints;
}

bool IsDue(const Proxy& proxy, const routing::Endpoint& endpoint, Time now) {
  const KeptPartsReader& reader = proxy.kept_parts;
  if (reader.reads.contains(endpoint.entry.id)) return false;
  const auto at = reader.ask_at.find(routing::KeyOfList(endpoint.entry));
  return at == reader.ask_at.end() || at->second <= now;
}

bool HasStreamsToTakeUp(const routing::RouteTable& rules,
                        const std::string& service) {
  return std::any_of(
      rules.routes.begin(), rules.routes.end(),
      [&rules, &service](const routing::Route& route) {
        return route.kind == routing::RouteKind::kStream && route.resumable &&
               std::any_of(route.targets.begin(), route.targets.end(),
                           [&rules, &service](const auto& target) {
                             return rules.services[target.service.idx].name ==
                                    service;
                           });
      });
}

void AskEndpointsOf(Proxy& proxy, const std::string& service, Time since) {
  const auto at = proxy.endpoints.by_service.find(service);
  if (at == proxy.endpoints.by_service.end()) return;
  for (const routing::EndpointPtr& endpoint : at->second) {
    if (proxy.kept_parts.reads.size() >= kMaxKeptPartsReads) return;
    if (IsDue(proxy, *endpoint, NowOf(proxy)) &&
        routing::IsFirstStartedSince(proxy.members, since,
                                     kernel::HashBytes(endpoint->entry.id))) {
      AskEndpoint(proxy, endpoint);
    }
  }
}

}  // namespace

void AskForKeptPartsIfNeeded(Proxy& proxy) {
  const Time now = NowOf(proxy);
  // No stream can have begun before the fleet's first start.
  if (proxy.rules == nullptr || proxy.options.is_new_fleet) return;
  if (!HasMetPeers(proxy, now)) return;
  const Time earliest_begin =
      routing::EarliestBegin(*proxy.rules, milliseconds(0), now);
  if (!routing::MayHaveLostHomes(proxy.members, earliest_begin)) return;
  const bool has_witness = routing::HasRunSince(proxy.members, earliest_begin);
  for (const routing::Service& service : proxy.rules->services) {
    // A node that has run since tells the version if there was only one.
    const bool is_in_doubt =
        has_witness ? routing::WasServedAtSeveralVersions(proxy.streams,
                                                          service.name, now)
                    : routing::IsVersionInDoubt(proxy.streams, service.name,
                                                earliest_begin, now);
    if (service.generates && is_in_doubt &&
        HasStreamsToTakeUp(*proxy.rules, service.name)) {
      AskEndpointsOf(proxy, service.name, earliest_begin);
    }
  }
}

}  // namespace egretladder::proxy
