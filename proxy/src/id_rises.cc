// How the ids of each service's streams rise, as this node and its peers have
// seen it. It decides whether a number that is left out is a missing event.
#include <algorithm>

#include "egretladder/routing/id_steps.h"
#include "handover_fields_p.h"
#include "state_p.h"

namespace egretladder::proxy {
namespace {

using kernel::LogLevel;
using kernel::LogPart;
using routing::IdRise;

using routing::SoftwareVersion;

// While the ids count as leaving numbers out, missing events pass unnoticed.
void LogRise(const std::string& service, SoftwareVersion version, IdRise rise,
             const routing::IdVotes& votes, const routing::IdMemory& memory) {
  kernel::LogEvent(
      LogPart::kEndpoint,
      rise == IdRise::kLeavesOut ? LogLevel::kWarning : LogLevel::kInfo,
      "ids-judged",
      {{"service", service},
       {"version", FormatVersion(version)},
       {"rise", routing::NameOf(rise)},
       {"by_one", votes.by_one},
       {"leaves_out", votes.leaves_out},
       {"steps", votes.steps},
       {"remembered", memory.steps}});
}

// Returns what is known of the version. Another one is forgotten for it if
// there are too many.
VersionIds& UseVersion(Proxy& proxy, const std::string& service,
                       SoftwareVersion version) {
  auto& versions = proxy.ids[service].versions;
  if (!versions.contains(version) && versions.size() >= kMaxVersionsOfIds) {
    versions.erase(std::min_element(versions.begin(), versions.end(),
                                    [](const auto& left, const auto& right) {
                                      return left.second.used_at <
                                             right.second.used_at;
                                    }));
  }
  VersionIds& ids = versions[version];
  ids.used_at = NowOf(proxy);
  return ids;
}

// Another version may number events otherwise. Until its own endpoints show
// that, what others have shown holds for it too: an event that is missing after
// a release doesn't come back, and two endpoints of the new one outvote it.
routing::IdMemory RememberedOfAll(const ServiceIds& service) {
  routing::IdMemory memory;
  for (const auto& [version, ids] : service.versions)
    memory.steps = std::max(memory.steps, ids.memory.steps);
  return memory;
}

// Counts the processes that have shown what is remembered, if nothing else
// would keep the last one of a version from deciding alone against them. The
// only endpoint of a service decides: no other will ever speak.
void CountEndedProcesses(const Proxy& proxy, const std::string& service,
                         const routing::IdMemory& memory,
                         routing::IdVotes& votes) {
  const auto at = proxy.endpoints.by_service.find(service);
  const bool has_others =
      at != proxy.endpoints.by_service.end() && at->second.size() > 1;
  if (has_others && memory.steps == routing::kMinFirmSteps)
    votes.processes = std::max(votes.processes, routing::kMinLeavingOut);
}

bool RisesFirmlyEverywhere(Proxy& proxy, const std::string& service) {
  const auto at = proxy.endpoints.versions_by_service.find(service);
  if (at == proxy.endpoints.versions_by_service.end()) return false;
  return !at->second.empty() &&
         std::all_of(at->second.begin(), at->second.end(),
                     [&](const auto& version_and_count) {
                       return JudgeIds(proxy, service,
                                       version_and_count.first) ==
                              IdRise::kFirmlyByOne;
                     });
}

}  // namespace

SoftwareVersion VersionOfRun(const Call& call) {
  const Attempt& attempt = *call.attempt;
  if (attempt.peer.empty()) return attempt.endpoint->version;
  return attempt.version != routing::kUnknownVersion ? attempt.version
                                                     : call.version;
}

IdRise JudgeIds(Proxy& proxy, const std::string& service,
                SoftwareVersion version) {
  VersionIds& ids = UseVersion(proxy, service, version);
  auto votes = routing::CountIdVotes(proxy.endpoints, service, version);
  CountEndedProcesses(proxy, service, ids.memory, votes);
  const routing::IdMemory memory = RememberedOfAll(proxy.ids[service]);
  const IdRise rise = routing::JudgeIdRise(votes, memory);
  if (rise != ids.rise) LogRise(service, version, rise, votes, memory);
  if (rise == IdRise::kLeavesOut) ids.memory = {};
  ids.rise = rise;
  return rise;
}

IdRise RiseOfIds(Proxy& proxy, const Call& call) {
  const std::string& service = call.service->name;
  const IdRise own = JudgeIds(proxy, service, VersionOfRun(call));
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
  routing::IdSteps& steps = attempt.endpoint->id_steps;
  const bool has_changed = routing::OnIdStep(steps, step);
  routing::RememberStep(
      UseVersion(proxy, call.service->name, attempt.endpoint->version).memory,
      steps);
  if (!has_changed) return;
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
    if (RisesFirmlyEverywhere(proxy, service))
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
