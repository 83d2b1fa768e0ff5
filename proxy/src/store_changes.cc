// Applies changes of the store that this node or a peer has read.
#include <algorithm>

#include "state_p.h"

namespace egretladder::proxy {
namespace {

using kernel::LogLevel;
using kernel::LogPart;
using routing::Feed;

const char* NameOf(ChangeSource source) {
  switch (source) {
    case ChangeSource::kList:
      return "list";
    case ChangeSource::kWatch:
      return "watch";
    case ChangeSource::kPeer:
      break;
  }
  return "peer";
}

// A full list from a peer replaces the node's own, unless that is being read.
void OnFullListFromPeer(StoreReader& reader) {
  if (!reader.reading) reader.has_full_list = true;
}

void ApplyRules(Proxy& proxy, const routing::Item& item, ChangeSource source) {
  if (item.removed) return;  // The last valid version stays in force.
  auto rules = proxy.dialect->read_rules(item.value);
  if (!rules) {
    kernel::LogEvent(LogPart::kRules, LogLevel::kError, "rules-refused",
                     {{"rev", item.rev},
                      {"why", kernel::Describe(rules.error())},
                      {"in_force", proxy.rules ? proxy.rules->version : 0}});
    return;
  }
  const std::uint64_t previous_version = proxy.rules ? proxy.rules->version : 0;
  if (rules.value()->version <= previous_version && proxy.rules != nullptr) {
    kernel::LogEvent(LogPart::kRules, LogLevel::kWarning, "rules-older",
                     {{"version", rules.value()->version},
                      {"in_force", previous_version},
                      {"source", NameOf(source)}});
    return;
  }
  proxy.rules = std::move(rules).value();
  proxy.rules_since = NowOf(proxy);
  net::ServerLimits limits;
  limits.size = {proxy.rules->limits.head_bytes,
                 proxy.rules->limits.body_bytes};
  limits.head_timeout = proxy.rules->limits.head_timeout;
  limits.idle_timeout = proxy.rules->limits.idle_timeout;
  limits.connections = proxy.options.descriptors > 2 * kReservedDescriptors
                           ? proxy.options.descriptors - kReservedDescriptors
                           : proxy.options.descriptors / 2;
  proxy.caller_server->SetLimits(limits);
  if (proxy.handover_server != nullptr) {
    limits.size.max_head_bytes += kMaxHandoverFieldBytes;
    proxy.handover_server->SetLimits(limits);
  }
  proxy.members.all_services = routing::BitsOfAllServices(*proxy.rules);
  UpdateUnreached(proxy);
  kernel::LogEvent(LogPart::kRules, LogLevel::kInfo, "rules-in-force",
                   {{"version", proxy.rules->version},
                    {"before", previous_version},
                    {"source", NameOf(source)},
                    {"rev", item.rev},
                    {"routes", proxy.rules->routes.size()}});
}

void LogEndpointChange(const std::string& id, routing::EntryChange change,
                       ChangeSource source, std::uint64_t rev) {
  if (change == routing::EntryChange::kNone) return;
  kernel::LogEvent(LogPart::kPlatform, LogLevel::kInfo, "endpoint",
                   {{"endpoint", id},
                    {"change", routing::NameOf(change)},
                    {"source", NameOf(source)},
                    {"rev", rev}});
}

// Returns true if so many endpoints are removed at once that an outage of the
// store is more likely than their own end.
bool IsMassRemoval(const Proxy& proxy,
                   const std::vector<routing::Item>& changed_items) {
  constexpr std::size_t kMinRemovals = 3;
  constexpr std::size_t kMinRemovalShare = 3;  // One in so many endpoints.
  const auto removed = static_cast<std::size_t>(
      std::count_if(changed_items.begin(), changed_items.end(),
                    [](const routing::Item& item) { return item.removed; }));
  return removed >= kMinRemovals &&
         removed * kMinRemovalShare >= proxy.endpoints.by_id.size();
}

void ApplyEndpoint(Proxy& proxy, const routing::Item& item, ChangeSource source,
                   bool may_be_outage) {
  const Time now = NowOf(proxy);
  const std::string id = proxy.dialect->endpoint_id(item.key);
  if (item.removed) {
    LogEndpointChange(
        id, routing::OnEntryRemoved(proxy.endpoints, id, may_be_outage, now),
        source, item.rev);
    return;
  }
  const auto entry = proxy.dialect->read_endpoint(item);
  if (!entry) {
    kernel::LogEvent(LogPart::kPlatform, LogLevel::kWarning, "entry-ignored",
                     {{"endpoint", id},
                      {"why", kernel::Describe(entry.error())},
                      {"rev", item.rev}});
    routing::OnEntryRemoved(proxy.endpoints, id, false, now);
    return;
  }
  LogEndpointChange(
      id, routing::OnEntryPublished(proxy.endpoints, entry.value(), now),
      source, item.rev);
}

// Items that this node takes for old change nothing. If that is wrong, no other
// line shows it.
void LogOlderItems(Proxy& proxy, const routing::Changes& changes,
                   ChangeSource source) {
  const std::size_t count = routing::CountOlderItems(proxy.catalog, changes);
  if (count == 0) return;
  IncrementCounter(proxy, "egretladder_store_older_changes_total",
                   "Changes of the store with items older than those known.",
                   std::string("feed=\"") + routing::NameOf(changes.feed) +
                       "\",source=\"" + NameOf(source) + "\"");
  if (source == ChangeSource::kPeer) return;  // Peers repeat themselves.
  kernel::LogEvent(
      LogPart::kPlatform, LogLevel::kWarning, "items-older",
      {{"feed", routing::NameOf(changes.feed)},
       {"count", count},
       {"source", NameOf(source)},
       {"revision", changes.revision},
       {"known", routing::GetFeedState(proxy.catalog, changes.feed).revision}});
}

}  // namespace

void ApplyChanges(Proxy& proxy, const routing::Changes& changes,
                  ChangeSource source, bool troubled) {
  const Time now = NowOf(proxy);
  LogOlderItems(proxy, changes, source);
  const auto changed_items = routing::Apply(proxy.catalog, changes, now);
  if (source == ChangeSource::kPeer) {
    StoreReader& reader = proxy.readers[static_cast<std::size_t>(changes.feed)];
    if (changes.whole) OnFullListFromPeer(reader);
    if (!changed_items.empty() && reader.missed_change_since == Time{}) {
      reader.missed_change_since = now;
    }
  }
  const bool may_be_outage = troubled || IsMassRemoval(proxy, changed_items);
  for (const routing::Item& item : changed_items) {
    if (proxy.dialect->is_rules_key(item.key)) {
      ApplyRules(proxy, item, source);
      continue;
    }
    const std::string zone = proxy.dialect->zone_out(item.key);
    if (!zone.empty()) {
      routing::SetZoneOut(proxy.endpoints, zone, !item.removed);
      kernel::LogEvent(LogPart::kPlatform, LogLevel::kInfo, "zone",
                       {{"zone", zone},
                        {"change", item.removed ? "back" : "out"},
                        {"source", NameOf(source)},
                        {"rev", item.rev}});
      continue;
    }
    if (changes.feed == Feed::kEndpoints) {
      ApplyEndpoint(proxy, item, source, may_be_outage);
    }
  }
  if (changed_items.empty()) return;
  // Announces the changes at once; exchanges alone take several rounds to
  // spread them.
  if (!routing::IsSmallFleet(proxy.members)) {
    ScheduleFetchAndAnnounce(proxy, source == ChangeSource::kPeer
                                        ? routing::kRelayFanout
                                        : routing::kReaderFanout);
  }
  if (proxy.rules != nullptr) RouteRequestsWithoutRules(proxy);
  if (!proxy.waiting_calls.empty()) DispatchWaiting(proxy);
}

}  // namespace egretladder::proxy
