// Reads the platform's store: lists each feed once and then watches it.
#include <algorithm>

#include "state_p.h"

namespace egretladder::proxy {
namespace {

using kernel::LogLevel;
using kernel::LogPart;
using routing::Feed;

constexpr int kOk = 200;
constexpr int kHistoryGone = 410;

void StartRead(Proxy& proxy, StoreReader& reader);

std::uint64_t GetKnownRevision(const Proxy& proxy, Feed feed) {
  return routing::GetFeedState(proxy.catalog, feed).revision;
}

// A watch continues from the revision that is known, which means nothing in
// another era.
bool CanWatch(const Proxy& proxy, const StoreReader& reader) {
  return reader.has_full_list &&
         routing::GetFeedState(proxy.catalog, reader.feed).era ==
             proxy.store_era;
}

void LogUnclearEra(Proxy& proxy, const StoreReader& reader,
                   const StoreEraStatement& stated) {
  const bool is_unclear = stated.era == 0 && proxy.store_era > 0;
  const bool is_lower = stated.era > 0 && stated.era < proxy.store_era;
  const bool is_news = (is_unclear && !proxy.is_era_unclear) ||
                       (is_lower && proxy.last_lower_era != stated.era);
  proxy.is_era_unclear = is_unclear;
  if (is_lower) proxy.last_lower_era = stated.era;
  if (!is_news) return;
  kernel::LogEvent(LogPart::kPlatform, LogLevel::kWarning, "store-era-unclear",
                   {{"feed", routing::NameOf(reader.feed)},
                    {"why", is_lower            ? "lower than before"
                            : stated.is_invalid ? "no number"
                                                : "missing"},
                    {"known", proxy.store_era}});
}

// Reads the era from the head of an answer. One without a usable era counts in
// the era that is known.
void ReadEra(Proxy& proxy, StoreReader& reader,
             const net::HttpAnswerHead& head) {
  const StoreEraStatement stated = proxy.dialect->read_store_era(head);
  LogUnclearEra(proxy, reader, stated);
  reader.answer_era = std::max(stated.era, proxy.store_era);
}

void ScheduleRead(Proxy& proxy, StoreReader& reader, milliseconds delay) {
  reader.timer = kernel::RunAfter(
      *proxy.loop, delay, [&proxy, &reader] { StartRead(proxy, reader); });
}

// Returns the delay after one more failed call, without jitter.
milliseconds NextBackoff(milliseconds previous) {
  return previous.count() == 0 ? kInitialStoreBackoff
                               : std::min(2 * previous, kMaxStoreBackoff);
}

// While the store fails, only the reader of the rules retries: one feed is
// enough to notice that the store is back.
bool ShouldWaitForRules(Proxy& proxy, const StoreReader& reader) {
  const StoreReader& rules =
      proxy.readers[static_cast<std::size_t>(Feed::kRules)];
  return &reader != &rules && rules.backoff.count() > 0;
}

void OnReadFailed(Proxy& proxy, StoreReader& reader,
                  const std::string& reason) {
  reader.reading = false;
  proxy.last_store_failure = NowOf(proxy);
  reader.missed_change_since = {};
  reader.backoff = NextBackoff(reader.backoff);
  // The jitter spreads the retries, since all nodes lose the store at the same
  // time.
  const auto jitter = milliseconds(kernel::RandomBelow(
      proxy.random, static_cast<std::uint64_t>(reader.backoff.count())));
  kernel::LogEvent(LogPart::kPlatform, LogLevel::kWarning, "store-not-read",
                   {{"feed", routing::NameOf(reader.feed)},
                    {"why", reason},
                    {"again_ms", reader.backoff / 2 + jitter},
                    {"revision", GetKnownRevision(proxy, reader.feed)}});
  IncrementCounter(
      proxy, "egretladder_store_failures_total", "Failed reads of the store.",
      std::string("feed=\"") + routing::NameOf(reader.feed) + "\"");
  reader.waiting_for_rules = ShouldWaitForRules(proxy, reader);
  if (reader.waiting_for_rules) return;
  ScheduleRead(proxy, reader, reader.backoff / 2 + jitter);
}

void OnReadSucceeded(Proxy& proxy, StoreReader& reader) {
  if (reader.backoff.count() > 0) {
    kernel::LogEvent(LogPart::kPlatform, LogLevel::kInfo, "store-read-again",
                     {{"feed", routing::NameOf(reader.feed)}});
  }
  reader.backoff = {};
  if (reader.feed != Feed::kRules) return;
  for (StoreReader& other : proxy.readers) {
    if (std::exchange(other.waiting_for_rules, false)) StartRead(proxy, other);
  }
}

// Nothing but this shows which keys the node can't follow.
void ReportOddItems(Proxy& proxy, StoreReader& reader, std::size_t count) {
  if (count == 0) return;
  IncrementCounter(
      proxy, "egretladder_store_odd_answers_total",
      "Answers of the store with items without a usable key or revision.",
      std::string("feed=\"") + routing::NameOf(reader.feed) + "\"");
  const Time now = NowOf(proxy);
  if (reader.odd_items_logged_at != Time{} &&
      now - reader.odd_items_logged_at < kOddItemsLogInterval) {
    return;
  }
  reader.odd_items_logged_at = now;
  kernel::LogEvent(LogPart::kPlatform, LogLevel::kWarning, "items-odd",
                   {{"feed", routing::NameOf(reader.feed)},
                    {"count", count},
                    {"revision", GetKnownRevision(proxy, reader.feed)}});
}

// Returns true if the page has a last key, behind which the next one begins,
// and the list hasn't named that key before: the list would be read without
// end.
bool LeadsOn(const routing::Changes& list,
             const std::vector<routing::Item>& page) {
  return !page.empty() &&
         std::none_of(list.items.begin(), list.items.end(),
                      [&last = page.back().key](const routing::Item& item) {
                        return item.key == last;
                      });
}

void ApplyPage(Proxy& proxy, StoreReader& reader) {
  auto page = proxy.dialect->read_page(reader.body);
  if (!page) {
    OnReadFailed(proxy, reader, kernel::Describe(page.error()));
    return;
  }
  OnReadSucceeded(proxy, reader);
  ReportOddItems(proxy, reader, page.value().odd_items);
  if (reader.last_key.empty()) {
    // The pages are not a snapshot. The watch starts at the revision of the
    // first page, so that it returns the changes made between the pages.
    reader.partial_list = {};
    reader.partial_list.feed = reader.feed;
    reader.partial_list.whole = true;
    reader.partial_list.revision = page.value().revision;
    reader.partial_list.era = reader.answer_era;
  } else if (reader.partial_list.era != reader.answer_era) {
    reader.last_key.clear();
    StartRead(proxy, reader);
    return;
  }
  auto& items = page.value().items;
  const bool has_more = page.value().has_more;
  const bool leads_on = has_more && LeadsOn(reader.partial_list, items);
  if (leads_on) reader.last_key = items.back().key;
  std::move(items.begin(), items.end(),
            std::back_inserter(reader.partial_list.items));
  if (leads_on) {
    StartRead(proxy, reader);
    return;
  }
  reader.last_key.clear();
  reader.has_full_list = true;
  reader.listed_at = NowOf(proxy);
  // What a list that stops short doesn't name may be there. What is known from
  // an earlier era counts as gone all the same: that era's revisions can't be
  // watched.
  reader.partial_list.whole = !has_more || !CanWatch(proxy, reader);
  ApplyChanges(proxy, std::exchange(reader.partial_list, {}),
               ChangeSource::kList, IsStoreTroubled(proxy));
  if (has_more) {
    OnReadFailed(proxy, reader, "a list that doesn't advance");
  } else {
    StartRead(proxy, reader);
  }
}

// A watch would return the same changes until the store forgets them. A list
// has what stands there now.
void AvoidSameChanges(StoreReader& reader) { reader.has_full_list = false; }

void ApplyWatchResult(Proxy& proxy, StoreReader& reader) {
  auto changes = proxy.dialect->read_changes(reader.feed, reader.body);
  if (!changes) {
    AvoidSameChanges(reader);
    OnReadFailed(proxy, reader, kernel::Describe(changes.error()));
    return;
  }
  OnReadSucceeded(proxy, reader);
  ReportOddItems(proxy, reader, changes.value().odd_items);
  if (reader.watch_era != reader.answer_era) {
    // The answer continues from a revision that means something else now.
    StartRead(proxy, reader);
    return;
  }
  const bool changed = !changes.value().items.empty();
  changes.value().era = reader.answer_era;
  ApplyChanges(proxy, std::move(changes).value(), ChangeSource::kWatch,
               IsStoreTroubled(proxy));
  // Each watch is a call to the store, and changes often come in groups.
  if (changed) {
    ScheduleRead(proxy, reader, kWatchBatchDelay);
  } else {
    StartRead(proxy, reader);
  }
}

void OnHistoryGone(Proxy& proxy, StoreReader& reader) {
  kernel::LogEvent(LogPart::kPlatform, LogLevel::kWarning, "history-gone",
                   {{"feed", routing::NameOf(reader.feed)},
                    {"revision", GetKnownRevision(proxy, reader.feed)}});
  reader.has_full_list = false;
  // A store that doesn't know the revision of its own list would be read in a
  // loop.
  if (NowOf(proxy) - reader.listed_at < kMinListInterval) {
    OnReadFailed(proxy, reader, "history gone right after a list");
  } else {
    StartRead(proxy, reader);
  }
}

void OnReadEnd(Proxy& proxy, StoreReader& reader) {
  reader.timer = {};
  reader.exchange = nullptr;
  reader.reading = false;
  reader.missed_change_since = {};
  OnStoreEra(proxy, reader.answer_era, "store");
  if (reader.watching && reader.status == kHistoryGone) {
    OnHistoryGone(proxy, reader);
    return;
  }
  if (reader.status != kOk) {
    reader.last_key.clear();
    OnReadFailed(proxy, reader, "status " + std::to_string(reader.status));
    return;
  }
  if (reader.watching) {
    ApplyWatchResult(proxy, reader);
  } else {
    ApplyPage(proxy, reader);
  }
}

// Ends a read whose answer can't be read any further.
void OnReadBroken(Proxy& proxy, StoreReader& reader, net::ExchangeError error,
                  const std::string& why) {
  reader.timer = {};
  reader.exchange = nullptr;
  reader.body = std::string();
  reader.last_key.clear();
  if (reader.watching && error == net::ExchangeError::kBadAnswer)
    AvoidSameChanges(reader);
  OnReadFailed(proxy, reader, why);
}

// Returns how long a watch asks the store to wait for changes. A request to a
// silent store is lost, and a long wait for it would delay noticing that the
// store is back.
milliseconds GetWatchTimeout(const Proxy& proxy, const StoreReader& reader) {
  if (reader.backoff.count() > 0) return kWatchRetryTimeout;
  return routing::IsEagerReader(proxy.members) ? kEagerWatchTimeout
                                               : kWatchTimeout;
}

void StartRead(Proxy& proxy, StoreReader& reader) {
  if (reader.reading) return;
  reader.reading = true;
  reader.watching = CanWatch(proxy, reader);
  reader.watch_era = proxy.store_era;
  reader.answer_era = proxy.store_era;
  reader.missed_change_since = {};
  reader.body.clear();
  reader.status = 0;
  ++reader.calls;
  IncrementCounter(
      proxy, "egretladder_store_calls_total", "Calls to the store.",
      std::string("feed=\"") + routing::NameOf(reader.feed) + "\"");
  const milliseconds wait = GetWatchTimeout(proxy, reader);
  net::ExchangeRequest request;
  request.address = proxy.options.store;
  request.head = net::FormatRequestHead(
      "GET",
      reader.watching
          ? proxy.dialect->watch_target(
                reader.feed, GetKnownRevision(proxy, reader.feed), wait)
          : proxy.dialect->list_target(reader.feed, reader.last_key),
      {{"Host", proxy.options.store}}, net::BodyFraming::kNone, 0);
  net::ExchangeHandlers handlers;
  handlers.on_head = [&proxy, &reader](const net::HttpAnswerHead& head) {
    reader.status = head.status;
    ReadEra(proxy, reader, head);
    return net::HeadVerdict::kAccept;
  };
  handlers.on_body = [&proxy, &reader](std::string_view piece) {
    reader.body.append(piece);
    if (reader.body.size() <= kMaxBufferedAnswerBytes) return;
    net::Cancel(reader.exchange);
    OnReadBroken(proxy, reader, net::ExchangeError::kBadAnswer,
                 "an answer without end");
  };
  handlers.on_end = [&proxy, &reader](net::AnswerEnd /*end*/) {
    OnReadEnd(proxy, reader);
  };
  handlers.on_error = [&proxy, &reader](net::ExchangeError error,
                                        const std::string& detail) {
    OnReadBroken(proxy, reader, error, detail);
  };
  reader.exchange =
      proxy.client->Start(std::move(request), std::move(handlers));
  const milliseconds timeout =
      reader.watching ? wait + kWatchTimeoutMargin : kListTimeout;
  reader.timer = kernel::RunAfter(*proxy.loop, timeout, [&proxy, &reader] {
    net::Cancel(std::exchange(reader.exchange, nullptr));
    reader.last_key.clear();
    OnReadFailed(proxy, reader, "no answer in time");
  });
}

void StopReader(StoreReader& reader) {
  net::Cancel(std::exchange(reader.exchange, nullptr));
  reader.timer = {};
  reader.last_key.clear();
  reader.reading = false;
  reader.waiting_for_rules = false;
  reader.missed_change_since = {};
}

// Restarts a watch that is lost. A watch whose connection fell silent or whose
// answer was lost looks like one without changes. Changes received from peers
// reveal it long before its timeout.
void RestartLostWatch(Proxy& proxy, StoreReader& reader) {
  if (!reader.watching || !reader.reading) return;
  if (reader.missed_change_since == Time{}) return;
  if (NowOf(proxy) - reader.missed_change_since < kLostWatchTimeout) return;
  StopReader(reader);
  OnReadFailed(proxy, reader, "the watch missed changes that a peer sent");
}

// Announces this reader to its standbys, now and periodically. The first
// announcement is deferred to the next iteration of the loop because the
// handler of a peer's reply must not close the connection that it runs on.
void ScheduleStandbyAnnouncements(Proxy& proxy) {
  proxy.standby_timer = {};
  proxy.standby_start_timer = {};
  if (!proxy.reads_store) return;
  const auto announce = [&proxy] { AnnounceToStandbys(proxy); };
  proxy.standby_start_timer =
      kernel::RunAfter(*proxy.loop, milliseconds(0), announce);
  proxy.standby_timer = kernel::RunEvery(
      *proxy.loop, routing::kReaderHeartbeatInterval, announce);
}

}  // namespace

bool IsStoreFailing(const Proxy& proxy) {
  if (!proxy.reads_store) return routing::AreAllReadersTroubled(proxy.members);
  const auto endpoints = static_cast<std::size_t>(Feed::kEndpoints);
  return proxy.readers[endpoints].backoff.count() > 0;
}

bool IsStoreTroubled(const Proxy& proxy) {
  return proxy.last_store_failure != Time{} &&
         NowOf(proxy) - proxy.last_store_failure < routing::kRecentOutageWindow;
}

void StartStoreReaders(Proxy& proxy) {
  proxy.readers[0].feed = Feed::kRules;
  proxy.readers[1].feed = Feed::kEndpoints;
  // In a new fleet, the seeds read the store for all nodes and the others wait.
  // In a running fleet, the peers already have all data.
  const auto& seeds = proxy.options.seeds;
  const std::string& own_address = proxy.members.self.peers;
  const bool is_seed =
      std::find(seeds.begin(), seeds.end(), own_address) != seeds.end();
  const bool is_alone = seeds.empty() || (is_seed && seeds.size() == 1);
  const Time now = NowOf(proxy);
  if (is_alone || (proxy.options.is_new_fleet && is_seed)) {
    proxy.initial_read_at = now;
  } else {
    proxy.initial_read_at =
        now + (proxy.options.is_new_fleet ? kNewFleetStoreReadDelay
                                          : kInitialStoreReadDelay);
  }
  UpdateStoreReaders(proxy);
}

void OnPeerWithoutData(Proxy& proxy) {
  const Time now = NowOf(proxy);
  if (proxy.options.is_new_fleet || proxy.initial_read_at <= now) return;
  proxy.initial_read_at = now;
  UpdateStoreReaders(proxy);
}

void OnStoreEra(Proxy& proxy, routing::StoreEra era, const char* source) {
  if (era <= proxy.store_era) return;
  const routing::StoreEra known_era = std::exchange(proxy.store_era, era);
  // The first era that a process hears of is no news.
  if (known_era == 0) {
    for (routing::FeedState& feed : proxy.catalog.feeds)
      if (feed.revision == 0) feed.era = era;
  }
  kernel::LogEvent(
      LogPart::kPlatform, LogLevel::kWarning, "store-era",
      {{"era", era - 1},
       {"before",
        known_era > 0 ? std::to_string(known_era - 1) : std::string("-")},
       {"source", source},
       {"rules_revision", GetKnownRevision(proxy, Feed::kRules)},
       {"endpoints_revision", GetKnownRevision(proxy, Feed::kEndpoints)}});
  if (!proxy.reads_store) return;
  for (StoreReader& reader : proxy.readers) {
    if (!reader.reading) continue;
    StopReader(reader);
    ScheduleRead(proxy, reader,
                 milliseconds(kernel::RandomBelow(
                     proxy.random,
                     static_cast<std::uint64_t>(kMaxNewEraDelay.count()))));
  }
}

void RestartStoreReaders(Proxy& proxy) {
  if (!proxy.reads_store) return;
  for (StoreReader& reader : proxy.readers) {
    StopReader(reader);
    StartRead(proxy, reader);
  }
}

void UpdateStoreReaders(Proxy& proxy) {
  const Time now = NowOf(proxy);
  proxy.members.self.state.store_troubled = IsStoreTroubled(proxy);
  for (StoreReader& reader : proxy.readers) RestartLostWatch(proxy, reader);
  // A node without data reads the store itself, even if other nodes read it.
  const bool has_all_feeds = proxy.rules != nullptr &&
                             proxy.readers[0].has_full_list &&
                             proxy.readers[1].has_full_list;
  const bool has_peers_without_era =
      proxy.peer_without_era_at != Time{} &&
      now - proxy.peer_without_era_at < kPeerWithoutEraTime;
  const bool should_read =
      has_all_feeds
          ? has_peers_without_era || routing::IsReader(proxy.members, now)
          : now >= proxy.initial_read_at;
  if (should_read == proxy.reads_store) return;
  proxy.reads_store = should_read;
  kernel::LogEvent(LogPart::kPlatform, LogLevel::kInfo, "reads-store",
                   {{"reads", should_read ? "itself" : "by-others"},
                    {"nodes", proxy.members.others.size() + 1}});
  for (StoreReader& reader : proxy.readers) {
    if (should_read) {
      StartRead(proxy, reader);
    } else {
      StopReader(reader);
    }
  }
  ScheduleStandbyAnnouncements(proxy);
}

}  // namespace egretladder::proxy
