// How the ids of each service's streams rise, as this node and its peers have
// seen it. It decides whether a number that is left out is a missing event.
#include "egretladder/routing/id_steps.h"
#include "state_p.h"

namespace egretladder::proxy {
namespace {

using kernel::LogLevel;
using kernel::LogPart;
using routing::IdRise;

// While the ids count as leaving numbers out, missing events pass unnoticed.
void LogRise(const std::string& service, IdRise rise,
             const routing::IdVotes& votes) {
  kernel::LogEvent(
      LogPart::kEndpoint,
      rise == IdRise::kLeavesOut ? LogLevel::kWarning : LogLevel::kInfo,
      "ids-judged",
      {{"service", service},
       {"rise", routing::NameOf(rise)},
       {"by_one", votes.by_one},
       {"leaves_out", votes.leaves_out},
       {"steps", votes.steps}});
}

IdRise Judge(Proxy& proxy, const std::string& service) {
  ServiceIds& ids = proxy.ids[service];
  const auto votes = routing::CountIdVotes(proxy.endpoints, service);
  const IdRise rise = routing::JudgeIdRise(votes);
  if (rise != ids.rise) LogRise(service, rise, votes);
  ids.rise = rise;
  return rise;
}

}  // namespace

IdRise RiseOfIds(Proxy& proxy, const std::string& service) {
  const IdRise own = Judge(proxy, service);
  if (own == IdRise::kLeavesOut) return own;
  const Time peer_said_at = proxy.ids[service].peer_said_at;
  const bool is_heard =
      peer_said_at != Time{} && NowOf(proxy) - peer_said_at < kPeerIdsTime;
  return is_heard ? IdRise::kFirmlyByOne : own;
}

void RecordIdStep(Proxy& proxy, const Call& call, routing::IdStep step) {
  const Attempt& attempt = *call.attempt;
  // A peer may have gone on at another endpoint within its answer.
  if (!attempt.peer.empty()) return;
  proxy.ids.try_emplace(call.service->name);
  routing::IdSteps& steps = attempt.endpoint->id_steps;
  if (!routing::OnIdStep(steps, step)) return;
  kernel::LogEvent(LogPart::kEndpoint, LogLevel::kWarning, "numbers-left-out",
                   {{"endpoint", attempt.endpoint->entry.id},
                    {"service", call.service->name},
                    {"req", call.metadata.id},
                    {"after_event", call.position.last_id},
                    {"leaves_out", steps.leaves_out ? "yes" : "no"}});
}

routing::ServiceBits ServicesThatFirmlyRiseByOne(Proxy& proxy) {
  routing::ServiceBits services = 0;
  if (proxy.rules == nullptr) return services;
  for (const auto& [service, ids] : proxy.ids) {
    if (Judge(proxy, service) == IdRise::kFirmlyByOne)
      services |= routing::BitOfService(*proxy.rules, service);
  }
  return services;
}

void OnPeerSaysFirmlyByOne(Proxy& proxy, routing::ServiceBits services) {
  if (services == 0 || proxy.rules == nullptr) return;
  for (const routing::Service& service : proxy.rules->services) {
    if ((services & routing::BitOfService(*proxy.rules, service.name)) != 0)
      proxy.ids[service.name].peer_said_at = NowOf(proxy);
  }
}

}  // namespace egretladder::proxy
