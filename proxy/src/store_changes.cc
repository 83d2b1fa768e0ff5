// Applies changes of the store that this node or a peer has read.
#include <algorithm>
#include <string_view>
#include <unordered_set>

#include "egretladder/routing/restored_entries.h"
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
  const routing::RouteTablePtr before = proxy.rules;
  if (before != nullptr)
    routing::Retire(proxy.past_rules, before, NowOf(proxy));
  proxy.rules = std::move(rules).value();
  proxy.rules_since = NowOf(proxy);
  if (before != nullptr) OnRulesReplaced(proxy, *before);
  net::ServerLimits limits;
  limits.size = {proxy.rules->limits.head_bytes,
                 proxy.rules->limits.body_bytes};
  limits.head_timeout = proxy.rules->limits.head_timeout;
  limits.idle_timeout = proxy.rules->limits.idle_timeout;
  const policy::DescriptorShares shares =
      policy::ShareDescriptors(proxy.options.descriptors);
  limits.connections = shares.callers;
  proxy.caller_server->SetLimits(limits);
  if (proxy.handover_server != nullptr) {
    limits.size.max_head_bytes += kMaxHandoverFieldBytes;
    limits.connections = shares.handovers;
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

void LogEndpointChange(const Proxy& proxy, const std::string& id,
                       routing::EntryChange change, ChangeSource source,
                       std::uint64_t rev) {
  if (change == routing::EntryChange::kNone) return;
  const auto at = proxy.endpoints.by_id.find(id);
  const bool is_known = at != proxy.endpoints.by_id.end();
  kernel::LogEvent(
      LogPart::kPlatform, LogLevel::kInfo, "endpoint",
      {{"endpoint", id},
       {"change", routing::NameOf(change)},
       {"version", is_known ? at->second->entry.software_version : ""},
       {"source", NameOf(source)},
       {"rev", rev}});
  if (is_known && at->second->entry.is_version_invalid) {
    kernel::LogEvent(LogPart::kPlatform, LogLevel::kWarning, "version-invalid",
                     {{"endpoint", id}, {"rev", rev}});
  }
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

// How changes of the store came about.
struct ChangeContext {
  ChangeSource source = ChangeSource::kPeer;
  // Removals may be leases that could not be renewed.
  bool may_be_outage = false;
  // They say what an older copy has, to which the store was restored.
  bool is_restore = false;
};

// An entry that can't be read names no endpoint. One that could be read before
// stops counting until it can be read again. Its writer may repeat it with each
// heartbeat, so that only the first one is logged.
void IgnoreEntry(Proxy& proxy, const std::string& id, const routing::Item& item,
                 const kernel::Error& error) {
  const routing::EntryChange change =
      routing::OnEntryRemoved(proxy.endpoints, id, false, NowOf(proxy));
  const bool is_first = proxy.unreadable_entries.insert(id).second;
  if (!is_first) return;
  kernel::LogEvent(LogPart::kPlatform, LogLevel::kWarning, "entry-ignored",
                   {{"endpoint", id},
                    {"why", kernel::Describe(error)},
                    {"change", routing::NameOf(change)},
                    {"rev", item.rev}});
}

void ApplyEndpoint(Proxy& proxy, const routing::Item& item,
                   const ChangeContext& context) {
  const Time now = NowOf(proxy);
  const std::string id = proxy.dialect->endpoint_id(item.key);
  if (item.removed) {
    proxy.unreadable_entries.erase(id);
    const routing::EntryChange change = routing::OnEntryRemoved(
        proxy.endpoints, id, context.may_be_outage, now);
    LogEndpointChange(proxy, id, change, context.source, item.rev);
    return;
  }
  const auto entry = proxy.dialect->read_endpoint(item);
  if (!entry) {
    IgnoreEntry(proxy, id, item, entry.error());
    return;
  }
  proxy.unreadable_entries.erase(id);
  const auto known = proxy.endpoints.by_id.find(id);
  const routing::EndpointPtr before =
      known == proxy.endpoints.by_id.end() ? nullptr : known->second;
  const routing::EntryChange change =
      context.is_restore
          ? routing::OnRestoredEntry(proxy.endpoints, entry.value(), now)
          : routing::OnEntryPublished(proxy.endpoints, entry.value(), now);
  LogEndpointChange(proxy, id, change, context.source, item.rev);
  if (change == routing::EntryChange::kRestarted)
    OnProcessReplaced(proxy, before);
}

void LogZone(const std::string& zone, bool is_out, const char* source) {
  kernel::LogEvent(LogPart::kPlatform, LogLevel::kInfo, "zone",
                   {{"zone", zone},
                    {"change", is_out ? "out" : "back"},
                    {"source", source}});
}

void ApplyZone(Proxy& proxy, const std::string& zone, bool is_out,
               const ChangeContext& context) {
  if (context.is_restore && proxy.endpoints.zones_out.contains(zone)) {
    routing::OnRestoredZone(proxy.endpoints, zone, is_out, NowOf(proxy));
    return;
  }
  routing::SetZoneOut(proxy.endpoints, zone, is_out);
  LogZone(zone, is_out, NameOf(context.source));
}

// Returns true if the removal of an endpoint is all that is known of it since
// it was last known to be gone: it came and went unseen, and may have served at
// any version.
bool HasUnseenEndpoint(const Proxy& proxy, const routing::Changes& changes) {
  if (changes.feed != Feed::kEndpoints) return false;
  const auto& known =
      routing::GetFeedState(proxy.catalog, Feed::kEndpoints).items;
  std::unordered_set<std::string_view> written;
  for (const routing::Item& item : changes.items) {
    if (!item.removed) {
      written.insert(item.key);
      continue;
    }
    if (written.contains(item.key)) continue;
    if (proxy.dialect->endpoint_id(item.key).empty()) continue;
    const auto at = known.find(item.key);
    const bool was_gone = at == known.end() || at->second.removed;
    const bool is_news = at == known.end() || at->second.rev < item.rev;
    if (was_gone && is_news) return true;
  }
  return false;
}

// Sets the versions of rules, by which they are ordered. Returns false if some
// can't be read.
bool SetVersions(const Proxy& proxy, routing::Changes& changes) {
  bool are_readable = true;
  for (routing::Item& item : changes.items) {
    if (item.removed || !proxy.dialect->is_rules_key(item.key)) continue;
    const auto rules = proxy.dialect->read_rules(item.value);
    if (rules) {
      item.version = rules.value()->version;
    } else {
      are_readable = false;
    }
  }
  return are_readable;
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

void ApplyDueZones(Proxy& proxy) {
  for (const std::string& zone :
       routing::ApplyDueZoneChanges(proxy.endpoints, NowOf(proxy))) {
    LogZone(zone, routing::IsZoneOut(proxy.endpoints, zone), "restored");
  }
}

bool ApplyChanges(Proxy& proxy, routing::Changes changes, ChangeSource source,
                  bool troubled) {
  const Time now = NowOf(proxy);
  const bool are_rules_readable = SetVersions(proxy, changes);
  LogOlderItems(proxy, changes, source);
  const bool has_unseen = HasUnseenEndpoint(proxy, changes);
  const bool is_restore = routing::IsRestore(proxy.catalog, changes);
  const auto changed_items = routing::Apply(proxy.catalog, changes, now);
  if (has_unseen) {
    routing::KeepKnowledge(
        proxy.streams, false,
        routing::GetFeedProgress(proxy.catalog, changes.feed), now);
  }
  if (source == ChangeSource::kPeer) {
    StoreReader& reader = proxy.readers[static_cast<std::size_t>(changes.feed)];
    if (changes.whole) OnFullListFromPeer(reader);
    if (!changed_items.empty() && reader.missed_change_since == Time{}) {
      reader.missed_change_since = now;
    }
    OnStoreEra(proxy, changes.era, "peer");
  }
  const ChangeContext context{
      source, troubled || is_restore || IsMassRemoval(proxy, changed_items),
      is_restore};
  for (const routing::Item& item : changed_items) {
    if (proxy.dialect->is_rules_key(item.key)) {
      ApplyRules(proxy, item, source);
      continue;
    }
    const std::string zone = proxy.dialect->zone_out(item.key);
    if (!zone.empty()) {
      ApplyZone(proxy, zone, !item.removed, context);
      continue;
    }
    if (changes.feed != Feed::kEndpoints) continue;
    ApplyEndpoint(proxy, item, context);
    // Streams that began at the only version so far must be known to others
    // before they are taken up. A later item may replace this one's version.
    UpdateVersions(proxy);
  }
  if (changed_items.empty() && !is_restore) return are_rules_readable;
  // Announces the changes at once; exchanges alone take several rounds to
  // spread them.
  if (!routing::IsSmallFleet(proxy.members)) {
    ScheduleFetchAndAnnounce(proxy, source == ChangeSource::kPeer
                                        ? routing::kRelayFanout
                                        : routing::kReaderFanout);
  }
  if (proxy.rules != nullptr) RouteRequestsWithoutRules(proxy);
  if (!proxy.waiting_calls.empty()) DispatchWaiting(proxy);
  return are_rules_readable;
}

}  // namespace egretladder::proxy
