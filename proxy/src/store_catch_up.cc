// Reads the store's latest news of endpoints for decisions that need them.
//
// A watch tells of a change when its answer is read. A node that stood still or
// is cut off doesn't know how much it lacks: no bound on the age of its data
// says what happened in the last moment. One more read that begins after the
// question does. Questions that come meanwhile share the next read, so that
// their number doesn't load the store.
#include <algorithm>
#include <utility>

#include "state_p.h"

namespace egretladder::proxy {
namespace {

using kernel::LogLevel;
using kernel::LogPart;
using routing::Feed;

constexpr int kOk = 200;

const routing::FeedState& EndpointFeed(const Proxy& proxy) {
  return routing::GetFeedState(proxy.catalog, Feed::kEndpoints);
}

bool HasJustTimedOut(const Proxy& proxy) {
  const Time unanswered_at = proxy.store_catch_up.unanswered_at;
  return unanswered_at != Time{} &&
         NowOf(proxy) - unanswered_at < kCatchUpRetryDelay;
}

// A read continues from the revision that is known.
bool CanRead(const Proxy& proxy) {
  const routing::FeedState& feed = EndpointFeed(proxy);
  return feed.revision > 0 && feed.era == proxy.store_era &&
         !IsStoreFailing(proxy) && !HasJustTimedOut(proxy);
}

// Returns true if all that the answer tells was applied. An item that names no
// key may have been any endpoint's.
bool ApplyAnswer(Proxy& proxy, const Page& page) {
  if (page.status != kOk) return false;
  const StoreEraStatement stated = proxy.dialect->read_store_era(page.head);
  const routing::StoreEra era = std::max(stated.era, proxy.store_era);
  OnStoreEra(proxy, era, "store");
  if (era != EndpointFeed(proxy).era) return false;
  auto changes = proxy.dialect->read_changes(Feed::kEndpoints, page.body);
  if (!changes) return false;
  if (changes.value().revision < proxy.store_catch_up.revision) return false;
  const bool is_whole = changes.value().odd_items == 0;
  changes.value().era = era;
  ApplyChanges(proxy, std::move(changes).value(), ChangeSource::kWatch,
               IsStoreTroubled(proxy));
  return is_whole;
}

void ScheduleCatchUp(Proxy& proxy);

void Finish(Proxy& proxy, const Page& page) {
  StoreCatchUp& catch_up = proxy.store_catch_up;
  const bool is_applied = ApplyAnswer(proxy, page);
  if (is_applied) routing::ConfirmKnowledge(proxy.streams, catch_up.began_at);
  IncrementCounter(
      proxy, "egretladder_store_catch_ups_total",
      "Reads of the store's latest news, by result.",
      std::string("result=\"") + (is_applied ? "read" : "failed") + "\"");
  if (!is_applied) {
    kernel::LogEvent(
        LogPart::kPlatform, LogLevel::kInfo, "catch-up-failed",
        {{"status", page.status},
         {"ms", Elapsed(catch_up.began_at, NowOf(proxy))},
         {"confirmed_ms", Elapsed(proxy.streams.confirmed_at, NowOf(proxy))}});
  }
  const auto waiting = std::exchange(catch_up.waiting, {});
  const auto read = std::exchange(catch_up.read, nullptr);
  if (!catch_up.queued.empty()) ScheduleCatchUp(proxy);
  for (const StoreCatchUp::Waiter& on_end : waiting) on_end();
}

void Begin(Proxy& proxy) {
  StoreCatchUp& catch_up = proxy.store_catch_up;
  catch_up.is_scheduled = false;
  catch_up.waiting = std::exchange(catch_up.queued, {});
  catch_up.began_at = NowOf(proxy);
  if (!CanRead(proxy)) {
    Finish(proxy, {});
    return;
  }
  IncrementCounter(proxy, "egretladder_store_calls_total",
                   "Calls to the store.", "feed=\"endpoints\"");
  catch_up.revision = EndpointFeed(proxy).revision;
  catch_up.read = StartPageRead(*proxy.loop, *proxy.client,
                                {.address = proxy.options.store,
                                 .target = proxy.dialect->watch_target(
                                     Feed::kEndpoints, catch_up.revision, {}),
                                 .max_bytes = kMaxBufferedAnswerBytes,
                                 .timeout = kCatchUpTimeout},
                                [&proxy](const Page& page) {
                                  if (page.status == 0)
                                    proxy.store_catch_up.unanswered_at =
                                        NowOf(proxy);
                                  Finish(proxy, page);
                                });
}

milliseconds IntervalOf(Proxy& proxy) {
  const std::size_t nodes =
      routing::EstimateFleetSize(proxy.members, NowOf(proxy));
  return std::max(kMinCatchUpInterval,
                  kCatchUpIntervalPerNode * static_cast<int>(nodes));
}

// Returns the time until the next read may begin.
milliseconds DelayOfNext(Proxy& proxy) {
  const milliseconds age = Elapsed(proxy.store_catch_up.began_at, NowOf(proxy));
  return std::max(IntervalOf(proxy) - age, milliseconds(0));
}

void ScheduleCatchUp(Proxy& proxy) {
  StoreCatchUp& catch_up = proxy.store_catch_up;
  if (catch_up.read != nullptr || catch_up.is_scheduled) return;
  catch_up.is_scheduled = true;
  catch_up.timer = kernel::RunAfter(*proxy.loop, DelayOfNext(proxy),
                                    [&proxy] { Begin(proxy); });
}

}  // namespace

bool CanCatchUpSoon(Proxy& proxy) {
  return CanRead(proxy) && DelayOfNext(proxy) <= kMinCatchUpInterval;
}

void CatchUpWithStore(Proxy& proxy, StoreCatchUp::Waiter on_end) {
  proxy.store_catch_up.queued.push_back(std::move(on_end));
  ScheduleCatchUp(proxy);
}

}  // namespace egretladder::proxy
