// Requests that seem to crash endpoints: what the ends of attempts say, and
// what changes of it operators see.
#include <charconv>

#include "attempts_p.h"
#include "gossip_codec_p.h"

namespace egretladder::proxy {
namespace {

using kernel::LogLevel;
using kernel::LogPart;
using routing::AttemptOutcome;

// An answer without length ends with its connection, as a crash does.
bool HasLength(const net::HttpAnswerHead& head) {
  return net::CountFields(head.fields, "Content-Length") > 0 ||
         net::CountFields(head.fields, "Transfer-Encoding") > 0;
}

// Returns true if the attempt shows that an endpoint ran the request to its
// end. An endpoint that fails may have failed before it ran the request, and a
// peer's failure may be a crash that the peer has seen; its success is that of
// an endpoint.
bool ProvesHarmless(const Attempt& attempt, AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kSucceeded &&
         IsSuccess(attempt.head.status) && HasLength(attempt.head);
}

// An endpoint that starts again may keep its id.
std::uint64_t HashOfProcess(const routing::EndpointEntry& entry) {
  return kernel::HashBytes(entry.id, entry.started_unix_ms);
}

void CountClearing(Proxy& proxy, bool was_held) {
  IncrementCounter(proxy, "egretladder_suspects_cleared_total",
                   "Requests whose broken connections an answer excused, by "
                   "whether they were held back.",
                   was_held ? "held=\"yes\"" : "held=\"no\"");
}

// Returns the hashes of the prompt's parts that other requests may share.
std::string NamesOfParts(const Call& call) {
  std::string names;
  for (std::size_t i = 0; i + 1 < call.demand.parts.size(); ++i) {
    if (i > 0) names += ' ';
    names += NameOfRequest(call.demand.parts[i].id);
  }
  return names;
}

void RecordBreak(Proxy& proxy, Call& call, Time now) {
  const Attempt& attempt = *call.attempt;
  const std::uint64_t request = GetFingerprint(call);
  const routing::SuspectView before =
      routing::ViewOf(proxy.suspects, request, now);
  routing::OnConnectionBroke(
      proxy.suspects, request,
      {HashOfProcess(attempt.endpoint->entry), attempt.sent_at, now});
  IncrementCounter(proxy, "egretladder_suspect_breaks_total",
                   "Connections of this node that broke while they carried a "
                   "request.",
                   "service=\"" + call.service->name + "\"");
  const routing::SuspectView view =
      routing::ViewOf(proxy.suspects, request, now);
  const bool began_to_hold =
      before.hold_time.count() == 0 && view.hold_time.count() > 0;
  kernel::LogEvent(LogPart::kEndpoint, LogLevel::kInfo, "suspected",
                   {{"req", call.metadata.id},
                    {"request", NameOfRequest(request)},
                    {"endpoint", attempt.endpoint->entry.id},
                    {"parts", NamesOfParts(call)},
                    {"events", call.events},
                    {"sent_ms", Elapsed(attempt.sent_at, now)},
                    {"breaks", view.breaks},
                    {"in_turn", view.crashes_in_turn},
                    {"held_ms", view.hold_time}});
  // Copies may be on their way at any other node.
  if (began_to_hold) ExchangeWithManyPeers(proxy);
}

// Returns true if the endpoint may have crashed while it ran the request, or
// may do so right after this end.
bool IsUnclear(const Attempt& attempt, AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kBadAnswer:
    case AttemptOutcome::kSilent:
      return true;
    case AttemptOutcome::kSucceeded:
      return !HasLength(attempt.head);
    default:
      return false;
  }
}

void RecordUnclear(Proxy& proxy, Call& call, const Attempt& attempt, Time now) {
  routing::OnUnclearEnd(proxy.suspects, {GetFingerprint(call),
                                         HashOfProcess(attempt.endpoint->entry),
                                         attempt.sent_at, now});
}

void RecordProcessEnd(Proxy& proxy, const Attempt& attempt, Time now) {
  if (proxy.suspects.unclear_ends.empty()) return;
  routing::OnProcessEnded(proxy.suspects,
                          HashOfProcess(attempt.endpoint->entry), now);
}

void RecordRun(Proxy& proxy, Call& call, Time now) {
  const std::uint64_t request = GetFingerprint(call);
  const routing::SuspectView view =
      routing::ViewOf(proxy.suspects, request, now);
  routing::OnRequestRan(proxy.suspects, request, now);
  if (view.breaks == 0) return;
  CountClearing(proxy, view.hold_time.count() > 0);
  kernel::LogEvent(LogPart::kEndpoint, LogLevel::kInfo, "suspect-cleared",
                   {{"req", call.metadata.id},
                    {"request", NameOfRequest(request)},
                    {"status", call.attempt->head.status},
                    {"breaks", view.breaks},
                    {"held_ms", view.hold_time}});
}

void WriteSuspect(const routing::SuspectGossip& gossip,
                  exchange::Suspect::Builder suspect) {
  suspect.setRequest(gossip.request);
  suspect.setClearedAgoMs(ToMillis(gossip.cleared_ago));
  suspect.setHeldAgoMs(ToMillis(gossip.held_ago));
  auto breaks = suspect.initBreaks(static_cast<unsigned>(gossip.breaks.size()));
  for (unsigned i = 0; i < breaks.size(); ++i) {
    breaks[i].setEndpoint(gossip.breaks[i].endpoint);
    breaks[i].setSentAgoMs(ToMillis(gossip.breaks[i].sent_ago));
    breaks[i].setBrokeAgoMs(ToMillis(gossip.breaks[i].broke_ago));
  }
}

routing::SuspectGossip ReadSuspect(exchange::Suspect::Reader suspect) {
  routing::SuspectGossip gossip;
  gossip.request = suspect.getRequest();
  gossip.cleared_ago = milliseconds(suspect.getClearedAgoMs());
  gossip.held_ago = milliseconds(suspect.getHeldAgoMs());
  for (const auto known : suspect.getBreaks()) {
    gossip.breaks.push_back({known.getEndpoint(),
                             milliseconds(known.getSentAgoMs()),
                             milliseconds(known.getBrokeAgoMs())});
  }
  return gossip;
}

void ApplySuspect(Proxy& proxy, const routing::SuspectGossip& gossip) {
  const Time now = NowOf(proxy);
  const auto before = routing::ViewOf(proxy.suspects, gossip.request, now);
  routing::ApplySuspectGossip(proxy.suspects, gossip, now);
  const auto after = routing::ViewOf(proxy.suspects, gossip.request, now);
  const bool was_held = before.hold_time.count() > 0;
  if (was_held == (after.hold_time.count() > 0)) return;
  kernel::LogEvent(LogPart::kEndpoint, LogLevel::kInfo,
                   was_held ? "suspect-cleared-by-peer" : "suspect-held",
                   {{"request", NameOfRequest(gossip.request)},
                    {"breaks", after.breaks},
                    {"in_turn", after.crashes_in_turn},
                    {"held_ms", after.hold_time}});
}

}  // namespace

std::string NameOfRequest(std::uint64_t request) {
  constexpr int kHexBase = 16;
  std::array<char, 2 * sizeof(request)> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                 request, kHexBase);
  return {digits.data(), end.ptr};
}

void RecordSuspect(Proxy& proxy, Call& call, AttemptOutcome outcome) {
  const Attempt& attempt = *call.attempt;
  const Time now = NowOf(proxy);
  if (ProvesHarmless(attempt, outcome)) RecordRun(proxy, call, now);
  // The peer records how its own attempts failed, and tells of it.
  if (!attempt.peer.empty()) return;
  if (outcome == AttemptOutcome::kBroken) RecordBreak(proxy, call, now);
  if (outcome == AttemptOutcome::kBroken ||
      outcome == AttemptOutcome::kNotSent) {
    RecordProcessEnd(proxy, attempt, now);
  }
  if (IsUnclear(attempt, outcome)) RecordUnclear(proxy, call, attempt, now);
}

void RecordCancelled(Proxy& proxy, Call& call, const Attempt& attempt) {
  if (!attempt.peer.empty() || !attempt.request_sent) return;
  RecordUnclear(proxy, call, attempt, NowOf(proxy));
}

milliseconds GetSuspectHoldTime(Proxy& proxy, Call& call) {
  if (proxy.suspects.by_request.empty()) return {};
  const Time now = NowOf(proxy);
  const std::uint64_t request = GetFingerprint(call);
  const milliseconds hold_time =
      routing::RemainingHoldTime(proxy.suspects, request, now);
  if (hold_time.count() > 0) return hold_time;
  if (!routing::IsProbed(proxy.suspects, request, now)) return {};
  return routing::TimeUntilProbe(proxy.suspects, request,
                                 GetFleetSnapshot(proxy, call, now), now);
}

void AskForSuspects(Proxy& proxy) {
  proxy.suspects_wanted_until = NowOf(proxy) + routing::kSuspectGossipTime;
}

void WriteSuspects(const Proxy& proxy, routing::SuspectScope scope,
                   exchange::News::Builder news) {
  if (proxy.suspects.by_request.empty()) return;
  const auto gossip =
      routing::MakeSuspectGossip(proxy.suspects, scope, NowOf(proxy));
  auto list = news.initSuspects(static_cast<unsigned>(gossip.size()));
  for (unsigned i = 0; i < list.size(); ++i) WriteSuspect(gossip[i], list[i]);
}

void ApplySuspects(Proxy& proxy, exchange::News::Reader news) {
  for (const auto reader : news.getSuspects())
    ApplySuspect(proxy, ReadSuspect(reader));
}

}  // namespace egretladder::proxy
