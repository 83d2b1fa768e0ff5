// The metrics of a proxy: counters of calls by class and account, histograms by
// class, and gauges of the node's current state.
#include <algorithm>

#include "egretladder/routing/brittle.h"
#include "egretladder/routing/endpoint_notices.h"
#include "state_p.h"

namespace egretladder::proxy {
namespace {

constexpr int kUnavailable = 503;

std::string FormatLabel(const char* name, std::string_view value) {
  std::string label = std::string(name) + "=\"";
  // Values come from the configuration, which may contain any character.
  for (const char c : value) {
    if (c == '"' || c == '\\') label += '\\';
    label += c == '\n' ? ' ' : c;
  }
  return label + '"';
}

// Returns the outcome of a call, a coarser classification than its reason.
const char* ClassifyOutcome(const Call& call, std::string_view reason) {
  if (call.succeeded) return "answered";
  if (reason == "caller-gone") return "gone";
  if (call.caller->begun()) return "broken";
  if (reason == "endpoint-failure") return "failed";
  // Of the statuses by which this node refuses calls, only 503 states that the
  // request has not run.
  return call.refusal_status == kUnavailable ? "refused" : "unknown";
}

void SetGauge(Proxy& proxy, const char* name, const char* help, double value,
              const std::string& labels = "") {
  kernel::Set(proxy.metrics,
              kernel::AddGauge(proxy.metrics, name, help, labels), value);
}

double SecondsSince(Time start, Time now) {
  return std::chrono::duration<double>(now - start).count();
}

const char* EndpointStateName(const Proxy& proxy,
                              const routing::Endpoint& endpoint, Time now) {
  if (endpoint.phase != routing::EndpointPhase::kServing) {
    return routing::NameOf(endpoint.phase);
  }
  if (routing::IsZoneOut(proxy.endpoints, endpoint.entry.zone)) {
    return "zone-out";
  }
  if (endpoint.notices.leaving) return "leaving";
  if (routing::RemainingBackoff(endpoint, now).count() > 0)
    return "backing-off";
  if (now < endpoint.health.avoid_until) return "down";
  if (now < endpoint.health.full_until) return "full";
  if (now < endpoint.cold_until) return "cold";
  if (endpoint.limit.per_second > 0) return "limited";
  if (routing::FindBrittle(proxy.endpoints, endpoint.entry.service, now) !=
      nullptr) {
    return "brittle";
  }
  return "serving";
}

void UpdateEndpointGauges(Proxy& proxy, Time now) {
  // States that no endpoint is in any more are reported as 0.
  for (auto& [labels, count] : proxy.series.endpoint_states) count = 0;
  for (const auto& [id, endpoint] : proxy.endpoints.by_id) {
    const std::string labels =
        FormatLabel("service", endpoint->entry.service) + "," +
        FormatLabel("state", EndpointStateName(proxy, *endpoint, now));
    ++proxy.series.endpoint_states[labels];
  }
  for (const auto& [labels, count] : proxy.series.endpoint_states) {
    SetGauge(proxy, "egretladder_endpoints",
             "Known endpoints, by service and state.", count, labels);
  }
}

void UpdateStoreGauges(Proxy& proxy, Time now) {
  SetGauge(proxy, "egretladder_rules_version", "Version of the rules in force.",
           static_cast<double>(proxy.rules ? proxy.rules->version : 0));
  SetGauge(proxy, "egretladder_rules_in_force_seconds",
           "Time since the rules came into force.",
           proxy.rules ? SecondsSince(proxy.rules_since, now) : 0);
  for (const auto feed : {routing::Feed::kRules, routing::Feed::kEndpoints}) {
    const std::string label = FormatLabel(
        "feed", feed == routing::Feed::kRules ? "rules" : "endpoints");
    SetGauge(proxy, "egretladder_store_revision",
             "Revision of the store up to which a feed is known.",
             static_cast<double>(
                 routing::GetFeedState(proxy.catalog, feed).revision),
             label);
  }
  SetGauge(
      proxy, "egretladder_store_era",
      "How often the store came back from an older copy, by its own count; "
      "-1: not stated.",
      static_cast<double>(proxy.store_era) - 1);
  SetGauge(proxy, "egretladder_store_trouble",
           "1 if a read of the store failed recently, otherwise 0.",
           IsStoreTroubled(proxy) ? 1 : 0);
}

void UpdateMemberGauges(Proxy& proxy, Time now) {
  const routing::Members& members = proxy.members;
  SetGauge(proxy, "egretladder_nodes", "Available nodes, this one included.",
           static_cast<double>(
               routing::GetFleetSnapshot(proxy.members, now).names.size()));
  SetGauge(proxy, "egretladder_members_known",
           "Other nodes that this node has a record of.",
           static_cast<double>(members.others.size()));
  SetGauge(proxy, "egretladder_members_suspected",
           "Nodes that left an exchange unanswered and may still refute it.",
           static_cast<double>(members.suspected.size()));
  SetGauge(proxy, "egretladder_members_silent",
           "Nodes taken for gone and not forgotten yet.",
           static_cast<double>(members.silent.size()));
  SetGauge(proxy, "egretladder_member_news",
           "Nodes of which this node tells news in its next messages.",
           static_cast<double>(members.news.size()));
  SetGauge(proxy, "egretladder_own_revision",
           "How often this node's state changed, or it refuted a suspicion.",
           static_cast<double>(members.self.revision));
  SetGauge(proxy, "egretladder_reads_store",
           "1 if this node reads the store for others, otherwise 0.",
           proxy.reads_store ? 1 : 0);
}

void UpdateLoadGauges(Proxy& proxy, Time now) {
  SetGauge(proxy, "egretladder_calls", "Calls in progress.",
           static_cast<double>(proxy.calls.size()));
  SetGauge(proxy, "egretladder_waiting", "Calls that wait for an endpoint.",
           static_cast<double>(proxy.waiting_calls.size()));
  SetGauge(proxy, "egretladder_awaiting_rules",
           "Requests that wait for the first rules.",
           static_cast<double>(proxy.requests_without_rules.size()));
  SetGauge(proxy, "egretladder_body_bytes",
           "Memory of the requests of calls in progress.",
           static_cast<double>(proxy.request_bytes));
  SetGauge(proxy, "egretladder_stream_records",
           "Streams of which this node remembers the software version.",
           static_cast<double>(proxy.streams.by_stream.newer.size() +
                               proxy.streams.by_stream.older.size()));
  SetGauge(proxy, "egretladder_suspects",
           "Requests during which a connection broke recently.",
           static_cast<double>(proxy.suspects.by_key.size()));
  SetGauge(proxy, "egretladder_endpoint_connections_opened",
           "Connections to endpoints and the store opened since the start.",
           static_cast<double>(proxy.client->connections_opened()));
  const routing::RetryBudgetFleet fleet = MakeRetryBudgetFleet(proxy);
  for (const auto& [service, share] : proxy.retry_budgets) {
    SetGauge(proxy, "egretladder_retries_left",
             "Retries that this node may still make in the window.",
             routing::RetriesLeft(share, proxy.options.retries, fleet, now),
             FormatLabel("service", service));
  }
}

void UpdatePortGauges(Proxy& proxy) {
  SetGauge(proxy, "egretladder_unread_bytes",
           "Output that callers of all ports have not taken.",
           static_cast<double>(proxy.server_group->unread_bytes()));
  SetGauge(proxy, "egretladder_incomplete_bytes",
           "Memory of requests that are still received, of all ports.",
           static_cast<double>(proxy.server_group->incomplete_bytes()));
  SetGauge(proxy, "egretladder_unread_closed",
           "Connections closed since callers left too much unread.",
           static_cast<double>(proxy.server_group->closed_unread()));
  const std::array<std::pair<const char*, const net::HttpServer*>, 5> ports = {{
      {"callers", proxy.caller_server.get()},
      {"ready", proxy.ready_server.get()},
      {"directory", proxy.directory_server.get()},
      {"handovers", proxy.handover_server.get()},
      {"metrics", proxy.metrics_server.get()},
  }};
  for (const auto& [name, server] : ports) {
    if (server == nullptr) continue;
    const std::string label = FormatLabel("port", name);
    SetGauge(proxy, "egretladder_connections", "Open connections of callers.",
             static_cast<double>(server->connections()), label);
    SetGauge(proxy, "egretladder_waiting_closed",
             "Connections without a request closed for others.",
             static_cast<double>(server->closed_waiting()), label);
  }
}

void UpdateIdGauges(Proxy& proxy) {
  for (const auto& [service, ids] : proxy.ids) {
    std::size_t leaves_out = 0;
    bool is_checked = false;
    for (const auto& [version, of_version] : ids.versions) {
      const auto votes =
          routing::CountIdVotes(proxy.endpoints, service, version);
      leaves_out += votes.leaves_out;
      is_checked = is_checked || routing::RisesByOne(routing::JudgeIdRise(
                                     votes, of_version.memory));
    }
    const std::string label = FormatLabel("service", service);
    SetGauge(proxy, "egretladder_endpoints_leaving_numbers_out",
             "Endpoints whose streams left ids out of late.",
             static_cast<double>(leaves_out), label);
    SetGauge(proxy, "egretladder_missing_events_checked",
             "1 if a number that is left out where a stream goes on counts as "
             "a missing event at one of the service's versions, otherwise 0.",
             is_checked ? 1 : 0, label);
  }
}

void UpdateReachGauges(Proxy& proxy, Time now) {
  for (const auto& [service, reach] : proxy.reaches) {
    const std::string label = FormatLabel("service", service);
    SetGauge(proxy, "egretladder_service_reached",
             "1 if this node's attempts at the service are answered, 0 if they "
             "are not, 0.5 while they are resumed.",
             reach.state == routing::ReachState::kReached     ? 1
             : reach.state == routing::ReachState::kReturning ? 0.5
                                                              : 0,
             label);
    if (reach.last_answer_at == Time{}) continue;
    SetGauge(proxy, "egretladder_service_answer_age_seconds",
             "Time since an endpoint of the service last began an answer.",
             SecondsSince(reach.last_answer_at, now), label);
  }
}

}  // namespace

void IncrementCounter(Proxy& proxy, const char* name, const char* help,
                      const std::string& labels) {
  kernel::Increment(proxy.metrics,
                    kernel::AddCounter(proxy.metrics, name, help, labels));
}

const ClassMetrics* GetClassMetrics(Proxy& proxy, const std::string& cls) {
  auto& classes = proxy.series.classes;
  const bool known = classes.contains(cls);
  const std::string& name =
      known || classes.size() < kMaxMeasuredClasses ? cls : kOtherClass;
  const auto [it, is_new] = classes.try_emplace(name);
  if (is_new) {
    const std::string label = FormatLabel("class", name);
    it->second.waited = kernel::AddHistogram(
        proxy.metrics, "egretladder_waited_seconds",
        "Time from a call's arrival to each attempt.", label);
    it->second.first_event = kernel::AddHistogram(
        proxy.metrics, "egretladder_first_event_seconds",
        "Time from a call's arrival to its answer's first byte.", label);
    it->second.whole_answer =
        kernel::AddHistogram(proxy.metrics, "egretladder_call_seconds",
                             "Time from a call's arrival to its end.", label);
    it->second.longest_pause = kernel::AddHistogram(
        proxy.metrics, "egretladder_longest_pause_seconds",
        "Longest pause between two events of a stream.", label);
  }
  return &it->second;
}

void CountCall(Proxy& proxy, const Call& call, const char* reason) {
  MetricSeries& series = proxy.series;
  const std::string account = call.account ? call.account->name : "-";
  std::string labels = FormatLabel("class", call.route->name) + "," +
                       FormatLabel("account", account) + "," +
                       FormatLabel("outcome", ClassifyOutcome(call, reason)) +
                       "," + FormatLabel("reason", reason);
  const bool known = series.calls.contains(labels);
  if (!known && series.calls.size() >= kMaxCallSeries) {
    labels = FormatLabel("class", kOtherClass) + "," +
             FormatLabel("account", "other") + "," +
             FormatLabel("outcome", ClassifyOutcome(call, reason)) + "," +
             FormatLabel("reason", reason);
  }
  const auto [it, is_new] = series.calls.try_emplace(labels);
  if (is_new) {
    it->second = kernel::AddCounter(
        proxy.metrics, "egretladder_calls_total",
        "Calls ended, by class, account, outcome and reason.", labels);
  }
  kernel::Increment(proxy.metrics, it->second);
}

void UpdateGauges(Proxy& proxy) {
  const Time now = NowOf(proxy);
  UpdateStoreGauges(proxy, now);
  UpdateMemberGauges(proxy, now);
  UpdateEndpointGauges(proxy, now);
  UpdateLoadGauges(proxy, now);
  UpdateReachGauges(proxy, now);
  UpdateIdGauges(proxy);
  UpdatePortGauges(proxy);
  SetGauge(proxy, "egretladder_long_pause_ms",
           "Time between two events of a stream beside long prompts that one "
           "in fifty exceeds, in milliseconds.",
           proxy.endpoints.pauses.ms);
  SetGauge(proxy, "egretladder_tight_part",
           "Fraction of the engines reserved for streams with short pauses.",
           proxy.endpoints.tight_fraction);
}

}  // namespace egretladder::proxy
