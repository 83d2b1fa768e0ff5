// What the proxy makes of news of the store, whoever brought them.
#include <algorithm>

#include "state_p.h"

namespace egretladder::proxy {
namespace {

using kernel::LogLevel;
using kernel::LogPart;
using routing::Feed;

const char* NameOf(Source source) {
  switch (source) {
    case Source::kList:
      return "list";
    case Source::kWatch:
      return "watch";
    case Source::kPeer:
      break;
  }
  return "peer";
}

// What a peer has of a whole feed is as good as a list of one's own.
void OnWholeFromPeer(StoreReader& reader) {
  if (!reader.reading) reader.listed = true;
}

void TakeRules(Proxy& proxy, const routing::Item& item, Source source) {
  if (item.removed) return;  // The last good version stays in force.
  auto rules = proxy.dialect->read_rules(item.value);
  if (!rules) {
    kernel::LogEvent(LogPart::kRules, LogLevel::kError, "rules-refused",
                     {{"rev", item.rev},
                      {"why", kernel::Describe(rules.error())},
                      {"in_force", proxy.rules ? proxy.rules->version : 0}});
    return;
  }
  const std::uint64_t before = proxy.rules ? proxy.rules->version : 0;
  if (rules.value()->version <= before && proxy.rules != nullptr) {
    kernel::LogEvent(LogPart::kRules, LogLevel::kWarning, "rules-older",
                     {{"version", rules.value()->version},
                      {"in_force", before},
                      {"source", NameOf(source)}});
    return;
  }
  proxy.rules = std::move(rules).value();
  proxy.rules_since = NowOf(proxy);
  net::ServerLimits limits;
  limits.size = {proxy.rules->limits.head_bytes,
                 proxy.rules->limits.body_bytes};
  limits.head_time = proxy.rules->limits.head_time;
  limits.idle_time = proxy.rules->limits.idle_time;
  limits.connections = proxy.options.descriptors > 2 * kDescriptorsKept
                           ? proxy.options.descriptors - kDescriptorsKept
                           : proxy.options.descriptors / 2;
  proxy.callers->SetLimits(limits);
  kernel::LogEvent(LogPart::kRules, LogLevel::kInfo, "rules-in-force",
                   {{"version", proxy.rules->version},
                    {"before", before},
                    {"source", NameOf(source)},
                    {"rev", item.rev},
                    {"routes", proxy.rules->routes.size()}});
}

void LogEndpoint(const std::string& id, routing::EntryChange change,
                 Source source, std::uint64_t rev) {
  if (change == routing::EntryChange::kNone) return;
  kernel::LogEvent(LogPart::kPlatform, LogLevel::kInfo, "endpoint",
                   {{"endpoint", id},
                    {"change", routing::NameOf(change)},
                    {"source", NameOf(source)},
                    {"rev", rev}});
}

// Entries that all go at once are the store's fault rather than theirs.
bool IsMassRemoval(const Proxy& proxy, const std::vector<routing::Item>& news) {
  constexpr std::size_t kFew = 3;
  constexpr std::size_t kPart = 3;
  const auto removed = static_cast<std::size_t>(
      std::count_if(news.begin(), news.end(),
                    [](const routing::Item& item) { return item.removed; }));
  return removed >= kFew && removed * kPart >= proxy.endpoints.by_id.size();
}

void TakeEndpoint(Proxy& proxy, const routing::Item& item, Source source,
                  bool trouble) {
  const Time now = NowOf(proxy);
  const std::string id = proxy.dialect->endpoint_id(item.key);
  if (item.removed) {
    LogEndpoint(id, routing::OnEntryRemoved(proxy.endpoints, id, trouble, now),
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
  LogEndpoint(id, routing::OnEntry(proxy.endpoints, entry.value(), now), source,
              item.rev);
}

}  // namespace

void TakeChanges(Proxy& proxy, const routing::Changes& changes, Source source,
                 bool troubled) {
  const Time now = NowOf(proxy);
  const auto news = routing::Apply(proxy.catalog, changes, now);
  if (source == Source::kPeer) {
    StoreReader& reader = proxy.readers[static_cast<std::size_t>(changes.feed)];
    if (changes.whole) OnWholeFromPeer(reader);
    if (!news.empty() && reader.changed_since == Time{}) {
      reader.changed_since = now;
    }
  }
  const bool lapses = troubled || IsMassRemoval(proxy, news);
  for (const routing::Item& item : news) {
    if (proxy.dialect->is_rules_key(item.key)) {
      TakeRules(proxy, item, source);
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
      TakeEndpoint(proxy, item, source, lapses);
    }
  }
  if (news.empty()) return;
  // Other nodes hear of it now rather than in some rounds.
  if (!routing::IsSmallFleet(proxy.members)) {
    NewsSoon(proxy, source == Source::kPeer ? routing::kToldOnward
                                            : routing::kToldAtOnce);
  }
  if (!proxy.waiting.empty()) DispatchWaiting(proxy);
}

}  // namespace egretladder::proxy
