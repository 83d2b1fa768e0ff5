// Reading the platform's store: each feed is listed once and then watched.
#include <algorithm>

#include "state_p.h"

namespace egretladder::proxy {
namespace {

using kernel::LogLevel;
using kernel::LogPart;
using routing::Feed;

constexpr int kOk = 200;
constexpr int kHistoryGone = 410;

void Read(Proxy& proxy, StoreReader& reader);

std::uint64_t RevisionOf(const Proxy& proxy, Feed feed) {
  return routing::StateOf(proxy.catalog, feed).revision;
}

void ReadAfter(Proxy& proxy, StoreReader& reader, milliseconds delay) {
  reader.timer = kernel::After(*proxy.loop, delay,
                               [&proxy, &reader] { Read(proxy, reader); });
}

// The wait after one more failed call, before its jitter.
milliseconds NextBackoff(milliseconds before) {
  return before.count() == 0 ? kStoreBackoffFirst
                             : std::min(2 * before, kStoreBackoffMost);
}

// One feed is enough to notice that the store is back.
bool WaitsForRules(Proxy& proxy, const StoreReader& reader) {
  const StoreReader& rules =
      proxy.readers[static_cast<std::size_t>(Feed::kRules)];
  return &reader != &rules && rules.backoff.count() > 0;
}

void OnReadFailed(Proxy& proxy, StoreReader& reader, const std::string& why) {
  reader.reading = false;
  proxy.store_trouble = NowOf(proxy);
  reader.changed_since = {};
  reader.backoff = NextBackoff(reader.backoff);
  // Jittered: all nodes lost the store together.
  const auto jitter = milliseconds(kernel::Below(
      proxy.random, static_cast<std::uint64_t>(reader.backoff.count())));
  kernel::LogEvent(LogPart::kPlatform, LogLevel::kWarning, "store-not-read",
                   {{"feed", routing::NameOf(reader.feed)},
                    {"why", why},
                    {"again_ms", reader.backoff / 2 + jitter},
                    {"revision", RevisionOf(proxy, reader.feed)}});
  Count(proxy, "egretladder_store_failures_total", "Failed reads of the store.",
        std::string("feed=\"") + routing::NameOf(reader.feed) + "\"");
  reader.waits_for_rules = WaitsForRules(proxy, reader);
  if (reader.waits_for_rules) return;
  ReadAfter(proxy, reader, reader.backoff / 2 + jitter);
}

void OnReadWell(Proxy& proxy, StoreReader& reader) {
  if (reader.backoff.count() > 0) {
    kernel::LogEvent(LogPart::kPlatform, LogLevel::kInfo, "store-read-again",
                     {{"feed", routing::NameOf(reader.feed)}});
  }
  reader.backoff = {};
  if (reader.feed != Feed::kRules) return;
  for (StoreReader& other : proxy.readers) {
    if (std::exchange(other.waits_for_rules, false)) Read(proxy, other);
  }
}

void TakePage(Proxy& proxy, StoreReader& reader) {
  auto page = proxy.dialect->read_page(reader.body);
  if (!page) {
    OnReadFailed(proxy, reader, kernel::Describe(page.error()));
    return;
  }
  OnReadWell(proxy, reader);
  if (reader.after.empty()) {
    // Pages are no snapshot: what changes between them is in the watch that
    // goes on from the first.
    reader.list = {};
    reader.list.feed = reader.feed;
    reader.list.whole = true;
    reader.list.revision = page.value().revision;
  }
  auto& items = page.value().items;
  const bool has_more = page.value().has_more && !items.empty();
  if (has_more) reader.after = items.back().key;
  std::move(items.begin(), items.end(), std::back_inserter(reader.list.items));
  if (has_more) {
    Read(proxy, reader);
    return;
  }
  reader.after.clear();
  reader.listed = true;
  TakeChanges(proxy, std::exchange(reader.list, {}), Source::kList,
              IsStoreTroubled(proxy));
  Read(proxy, reader);
}

void TakeWatch(Proxy& proxy, StoreReader& reader) {
  auto changes = proxy.dialect->read_changes(reader.feed, reader.body);
  if (!changes) {
    OnReadFailed(proxy, reader, kernel::Describe(changes.error()));
    return;
  }
  OnReadWell(proxy, reader);
  const bool changed = !changes.value().items.empty();
  TakeChanges(proxy, changes.value(), Source::kWatch, IsStoreTroubled(proxy));
  // Each watch is a call, and changes often come several together.
  if (changed) {
    ReadAfter(proxy, reader, kWatchPause);
  } else {
    Read(proxy, reader);
  }
}

void OnReadEnd(Proxy& proxy, StoreReader& reader) {
  reader.timer = {};
  reader.exchange = nullptr;
  reader.reading = false;
  reader.changed_since = {};
  if (reader.watching && reader.status == kHistoryGone) {
    kernel::LogEvent(LogPart::kPlatform, LogLevel::kWarning, "history-gone",
                     {{"feed", routing::NameOf(reader.feed)}});
    reader.listed = false;
    Read(proxy, reader);
    return;
  }
  if (reader.status != kOk) {
    reader.after.clear();
    OnReadFailed(proxy, reader, "status " + std::to_string(reader.status));
    return;
  }
  if (reader.watching) {
    TakeWatch(proxy, reader);
  } else {
    TakePage(proxy, reader);
  }
}

// What is asked of a silent store is lost, and a long wait for it would hide
// that the store is back.
milliseconds WatchWaitOf(const StoreReader& reader) {
  return reader.backoff.count() > 0 ? kWatchWaitAgain : kWatchWait;
}

void Read(Proxy& proxy, StoreReader& reader) {
  if (reader.reading) return;
  reader.reading = true;
  reader.watching = reader.listed;
  reader.changed_since = {};
  reader.body.clear();
  reader.status = 0;
  ++reader.calls;
  Count(proxy, "egretladder_store_calls_total", "Calls to the store.",
        std::string("feed=\"") + routing::NameOf(reader.feed) + "\"");
  const milliseconds wait = WatchWaitOf(reader);
  net::ExchangeRequest request;
  request.address = proxy.options.store;
  request.head = net::RequestText(
      "GET",
      reader.listed ? proxy.dialect->watch_target(
                          reader.feed, RevisionOf(proxy, reader.feed), wait)
                    : proxy.dialect->list_target(reader.feed, reader.after),
      {{"Host", proxy.options.store}}, net::BodyFraming::kNone, 0);
  net::ExchangeHandlers handlers;
  handlers.on_head = [&reader](const net::HttpAnswerHead& head) {
    reader.status = head.status;
    return net::HeadVerdict::kTake;
  };
  handlers.on_body = [&reader](std::string_view piece) {
    reader.body.append(piece);
  };
  handlers.on_end = [&proxy, &reader] { OnReadEnd(proxy, reader); };
  handlers.on_fault = [&proxy, &reader](net::ExchangeFault /*fault*/,
                                        const std::string& detail) {
    reader.timer = {};
    reader.exchange = nullptr;
    reader.after.clear();
    OnReadFailed(proxy, reader, detail);
  };
  reader.exchange =
      proxy.client->Start(std::move(request), std::move(handlers));
  const milliseconds most = reader.listed ? wait + kWatchMargin : kListTime;
  reader.timer = kernel::After(*proxy.loop, most, [&proxy, &reader] {
    net::Cancel(std::exchange(reader.exchange, nullptr));
    reader.after.clear();
    OnReadFailed(proxy, reader, "no answer in time");
  });
}

void StopReading(StoreReader& reader) {
  net::Cancel(std::exchange(reader.exchange, nullptr));
  reader.timer = {};
  reader.after.clear();
  reader.reading = false;
  reader.waits_for_rules = false;
  reader.changed_since = {};
}

// A watch whose connection fell silent, or whose answer was lost, looks like
// one that has nothing to tell. That peers know of changes shows it long before
// it ends by itself.
void RestartLostWatch(Proxy& proxy, StoreReader& reader) {
  if (!reader.watching || !reader.reading) return;
  if (reader.changed_since == Time{}) return;
  if (NowOf(proxy) - reader.changed_since < kWatchLost) return;
  StopReading(reader);
  OnReadFailed(proxy, reader, "a peer told of changes that the watch didn't");
}

// The first time at the loop's next turn: an answer of a peer that is being
// taken must not end its own connection.
void KeepTellingStandbys(Proxy& proxy) {
  proxy.standby_tick = {};
  proxy.standby_soon = {};
  if (!proxy.reads_store) return;
  const auto tell = [&proxy] { TellStandbys(proxy); };
  proxy.standby_soon = kernel::After(*proxy.loop, milliseconds(0), tell);
  proxy.standby_tick = kernel::Every(*proxy.loop, routing::kReaderPulse, tell);
}

}  // namespace

bool IsStoreTroubled(const Proxy& proxy) {
  return proxy.store_trouble != Time{} &&
         NowOf(proxy) - proxy.store_trouble < routing::kTroubleRecent;
}

void StartReading(Proxy& proxy) {
  proxy.readers[0].feed = Feed::kRules;
  proxy.readers[1].feed = Feed::kEndpoints;
  // A new fleet has time: its first nodes read the store for all. One that runs
  // has nodes that know everything already.
  const auto& seeds = proxy.options.seeds;
  const std::string& own = proxy.members.self.peers;
  const bool is_seed =
      std::find(seeds.begin(), seeds.end(), own) != seeds.end();
  const bool alone = seeds.empty() || (is_seed && seeds.size() == 1);
  const Time now = NowOf(proxy);
  if (alone || (proxy.options.new_fleet && is_seed)) {
    proxy.store_from = now;
  } else {
    proxy.store_from =
        now + (proxy.options.new_fleet ? kNewFleetWait : kPeersFirst);
  }
  UpdateReading(proxy);
}

void OnPeerKnowsNothing(Proxy& proxy) {
  const Time now = NowOf(proxy);
  if (proxy.options.new_fleet || proxy.store_from <= now) return;
  proxy.store_from = now;
  UpdateReading(proxy);
}

void RestartReading(Proxy& proxy) {
  if (!proxy.reads_store) return;
  for (StoreReader& reader : proxy.readers) {
    StopReading(reader);
    Read(proxy, reader);
  }
}

void UpdateReading(Proxy& proxy) {
  const Time now = NowOf(proxy);
  proxy.members.self.store_troubled = IsStoreTroubled(proxy);
  for (StoreReader& reader : proxy.readers) RestartLostWatch(proxy, reader);
  // A node that has nothing yet reads for itself, whoever else does.
  const bool knows = proxy.rules != nullptr && proxy.readers[0].listed &&
                     proxy.readers[1].listed;
  const bool should =
      knows ? routing::IsReader(proxy.members, now) : now >= proxy.store_from;
  if (should == proxy.reads_store) return;
  proxy.reads_store = should;
  kernel::LogEvent(LogPart::kPlatform, LogLevel::kInfo, "reads-store",
                   {{"reads", should ? "itself" : "by-others"},
                    {"nodes", proxy.members.others.size() + 1}});
  for (StoreReader& reader : proxy.readers) {
    if (should) {
      Read(proxy, reader);
    } else {
      StopReading(reader);
    }
  }
  KeepTellingStandbys(proxy);
}

}  // namespace egretladder::proxy
