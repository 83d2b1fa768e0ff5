// Requests that seem to crash endpoints: what the ends of attempts say, and
// what changes of it operators see.
#include <algorithm>
#include <charconv>
#include <utility>

#include "attempts_p.h"
#include "gossip_codec_p.h"

namespace egretladder::proxy {
namespace {

using kernel::LogLevel;
using kernel::LogPart;
using routing::AttemptOutcome;

// Returns true if the attempt shows that an endpoint ran the request to its
// end, or that its process lives on. An endpoint that fails may have failed
// before it ran the request. A peer's answer has the peer's framing: the peer
// knows what it shows, and tells of it.
bool ProvesHarmless(const Attempt& attempt, AttemptOutcome outcome) {
  const bool has_ended =
      outcome == AttemptOutcome::kSucceeded && attempt.is_end_proven;
  return attempt.peer.empty() && IsSuccess(attempt.head.status) &&
         (has_ended || attempt.has_lived_on);
}

void CountClearing(Proxy& proxy, bool was_held) {
  IncrementCounter(proxy, "egretladder_suspects_cleared_total",
                   "Requests whose broken connections an answer excused, by "
                   "whether they were held back.",
                   was_held ? "held=\"yes\"" : "held=\"no\"");
}

std::string NamesOfParts(Call& call) {
  std::string names;
  for (const std::uint64_t key : GetSuspectKeys(call)) {
    if (routing::KindOf(key) == routing::SuspectKind::kRequest) continue;
    if (!names.empty()) names += ' ';
    names += NameOfSuspect(key);
  }
  return names;
}

// Returns those of the request's keys of which the end of the attempt may say
// something: no parts if the endpoint had gone on with an answer on them.
std::vector<std::uint64_t> GetKeysAtStake(Call& call, const Attempt& attempt) {
  if (attempt.is_prompt_proven) return {GetFingerprint(call)};
  return GetSuspectKeys(call);
}

void LogHold(std::uint64_t key, const routing::SuspectView& view) {
  const bool is_part = routing::KindOf(key) == routing::SuspectKind::kPart;
  kernel::LogEvent(LogPart::kEndpoint, LogLevel::kInfo, "suspect-held",
                   {{"request", NameOfSuspect(key)},
                    {"kind", is_part ? "part" : "request"},
                    {"breaks", view.breaks},
                    {"in_turn", view.crashes_in_turn},
                    {"held_ms", view.hold_time}});
}

// Records that the connection broke while it carried what the key stands for.
// Returns true if that is held back from now on.
bool AddBreak(Proxy& proxy, Call& call, std::uint64_t key, Time now) {
  const Attempt& attempt = *call.attempt;
  const routing::SuspectView before = routing::ViewOf(proxy.suspects, key, now);
  routing::OnConnectionBroke(
      proxy.suspects, key,
      {HashOfProcess(attempt.endpoint->entry), attempt.sent_at, now, true,
       static_cast<std::uint32_t>(GetFingerprint(call))});
  const routing::SuspectView view = routing::ViewOf(proxy.suspects, key, now);
  if (before.hold_time.count() > 0 || view.hold_time.count() == 0) return false;
  LogHold(key, view);
  return true;
}

void RecordBreak(Proxy& proxy, Call& call, Time now) {
  const Attempt& attempt = *call.attempt;
  bool began_to_hold = false;
  for (const std::uint64_t key : GetKeysAtStake(call, attempt))
    began_to_hold = AddBreak(proxy, call, key, now) || began_to_hold;
  IncrementCounter(proxy, "egretladder_suspect_breaks_total",
                   "Connections of this node that broke while they carried a "
                   "request.",
                   "service=\"" + call.service->name + "\"");
  const std::uint64_t request = GetFingerprint(call);
  const routing::SuspectView view =
      routing::ViewOf(proxy.suspects, request, now);
  kernel::LogEvent(LogPart::kEndpoint, LogLevel::kInfo, "suspected",
                   {{"req", call.metadata.id},
                    {"request", NameOfSuspect(request)},
                    {"endpoint", attempt.endpoint->entry.id},
                    {"parts", NamesOfParts(call)},
                    {"parts_suspected", !attempt.is_prompt_proven},
                    {"sent_ms", Elapsed(attempt.sent_at, now)},
                    {"breaks", view.breaks},
                    {"in_turn", view.crashes_in_turn},
                    {"held_ms", view.hold_time}});
  // Others of the kind may be on their way at any other node.
  if (began_to_hold) ExchangeWithManyPeers(proxy);
}

// Returns true if the endpoint may have crashed while it ran the request, or
// may do so right after this end.
bool IsUnclear(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kBadAnswer:
    case AttemptOutcome::kSilent:
    case AttemptOutcome::kUnproven:
      return true;
    default:
      return false;
  }
}

// The answer ended before the endpoint showed that it lives on.
void KeepForProof(Proxy& proxy, Call& call, const Attempt& attempt) {
  if (attempt.first_event_at == Time{} || attempt.is_prompt_proven) return;
  PendingProof pending{attempt.endpoint, attempt.first_event_at, {}};
  for (const std::uint64_t key : GetSuspectKeys(call)) {
    if (routing::KindOf(key) == routing::SuspectKind::kPart)
      pending.keys.push_back(key);
  }
  if (pending.keys.empty()) return;
  proxy.pending_proofs.push_back(std::move(pending));
  if (proxy.pending_proofs.size() > routing::kMaxPendingProofs)
    proxy.pending_proofs.pop_front();
}

void RecordUnclear(Proxy& proxy, Call& call, const Attempt& attempt, Time now) {
  KeepForProof(proxy, call, attempt);
  for (const std::uint64_t key : GetKeysAtStake(call, attempt)) {
    routing::OnUnclearEnd(
        proxy.suspects,
        {key, HashOfProcess(attempt.endpoint->entry), attempt.sent_at, now,
         static_cast<std::uint32_t>(GetFingerprint(call))});
  }
}

void RecordNotRun(Proxy& proxy, Call& call) {
  if (!call.attempt->request_sent || proxy.suspects.by_key.empty()) return;
  for (const std::uint64_t key : GetSuspectKeys(call)) {
    routing::OnProbeNotRun(proxy.suspects, key,
                           call.attempt->first_byte_sent_at);
  }
}

void RecordProcessEnd(Proxy& proxy, const Attempt& attempt, Time now) {
  if (proxy.suspects.unclear_ends.empty()) return;
  routing::OnProcessEnded(proxy.suspects,
                          HashOfProcess(attempt.endpoint->entry), now);
}

void RecordSuccess(Proxy& proxy, Call& call, std::uint64_t key, Time now) {
  const routing::SuspectView view = routing::ViewOf(proxy.suspects, key, now);
  routing::OnRequestRan(proxy.suspects, key, now);
  if (view.breaks == 0) return;
  CountClearing(proxy, view.hold_time.count() > 0);
  kernel::LogEvent(LogPart::kEndpoint, LogLevel::kInfo, "suspect-cleared",
                   {{"req", call.metadata.id},
                    {"request", NameOfSuspect(key)},
                    {"status", call.attempt->head.status},
                    {"breaks", view.breaks},
                    {"held_ms", view.hold_time}});
}

void RecordRun(Proxy& proxy, Call& call, Time now) {
  for (const std::uint64_t key : GetSuspectKeys(call))
    RecordSuccess(proxy, call, key, now);
}

void WriteSuspect(const routing::SuspectGossip& gossip,
                  exchange::Suspect::Builder suspect) {
  suspect.setKey(gossip.key);
  suspect.setClearedAgoMs(ToMillis(gossip.cleared_ago));
  suspect.setHeldAgoMs(ToMillis(gossip.held_ago));
  suspect.setReleasedAgoMs(ToMillis(gossip.released_ago));
  suspect.setHeldDespiteSuccess(gossip.held_despite_success);
  suspect.setFailedProbes(
      static_cast<std::uint8_t>(std::min(gossip.failed_probes, 255U)));
  auto breaks = suspect.initBreaks(static_cast<unsigned>(gossip.breaks.size()));
  for (unsigned i = 0; i < breaks.size(); ++i) {
    breaks[i].setEndpoint(gossip.breaks[i].endpoint);
    breaks[i].setSentAgoMs(ToMillis(gossip.breaks[i].sent_ago));
    breaks[i].setBrokeAgoMs(ToMillis(gossip.breaks[i].broke_ago));
    breaks[i].setRequest(gossip.breaks[i].request);
  }
}

routing::SuspectGossip ReadSuspect(exchange::Suspect::Reader suspect) {
  routing::SuspectGossip gossip;
  gossip.key = suspect.getKey();
  gossip.cleared_ago = milliseconds(suspect.getClearedAgoMs());
  gossip.held_ago = milliseconds(suspect.getHeldAgoMs());
  gossip.released_ago = milliseconds(suspect.getReleasedAgoMs());
  gossip.held_despite_success = suspect.getHeldDespiteSuccess();
  gossip.failed_probes = suspect.getFailedProbes();
  for (const auto known : suspect.getBreaks()) {
    gossip.breaks.push_back(
        {known.getEndpoint(), milliseconds(known.getSentAgoMs()),
         milliseconds(known.getBrokeAgoMs()), known.getRequest()});
  }
  return gossip;
}

void ApplySuspect(Proxy& proxy, const routing::SuspectGossip& gossip) {
  const Time now = NowOf(proxy);
  const auto before = routing::ViewOf(proxy.suspects, gossip.key, now);
  routing::ApplySuspectGossip(proxy.suspects, gossip, now);
  const auto after = routing::ViewOf(proxy.suspects, gossip.key, now);
  const bool was_held = before.hold_time.count() > 0;
  if (was_held == (after.hold_time.count() > 0)) return;
  if (!was_held) {
    LogHold(gossip.key, after);
    return;
  }
  kernel::LogEvent(
      LogPart::kEndpoint, LogLevel::kInfo, "suspect-cleared-by-peer",
      {{"request", NameOfSuspect(gossip.key)}, {"breaks", after.breaks}});
}

void WriteLiving(const Proxy& proxy, routing::SuspectScope scope,
                 exchange::News::Builder news) {
  if (proxy.suspects.living.empty()) return;
  const auto gossip = routing::MakeLivingGossip(
      proxy.suspects.living, scope == routing::SuspectScope::kAll,
      NowOf(proxy));
  auto list = news.initLiving(static_cast<unsigned>(gossip.size()));
  for (unsigned i = 0; i < list.size(); ++i) {
    list[i].setProcess(gossip[i].process);
    list[i].setLivedAgoMs(ToMillis(gossip[i].lived_ago));
  }
}

void ApplyLiving(Proxy& proxy, exchange::News::Reader news) {
  std::vector<routing::LivingGossip> gossip;
  for (const auto living : news.getLiving()) {
    gossip.push_back(
        {living.getProcess(), milliseconds(living.getLivedAgoMs())});
  }
  routing::ApplyLivingGossip(proxy.suspects, gossip, NowOf(proxy));
}

}  // namespace

std::uint64_t HashOfProcess(const routing::EndpointEntry& entry) {
  return kernel::HashBytes(entry.id, entry.started_unix_ms);
}

std::string NameOfSuspect(std::uint64_t key) {
  constexpr int kHexBase = 16;
  std::array<char, 2 * sizeof(key)> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                 key, kHexBase);
  return {digits.data(), end.ptr};
}

void RecordSuspect(Proxy& proxy, Call& call, AttemptOutcome outcome) {
  const Attempt& attempt = *call.attempt;
  const Time now = NowOf(proxy);
  if (ProvesHarmless(attempt, outcome)) RecordRun(proxy, call, now);
  if (routing::IsNotRun(outcome)) RecordNotRun(proxy, call);
  // The peer records how its own attempts failed, and tells of it.
  if (!attempt.peer.empty()) return;
  if (outcome == AttemptOutcome::kBroken) RecordBreak(proxy, call, now);
  // A connection that doesn't open in time says nothing of the process.
  if (outcome == AttemptOutcome::kBroken || attempt.is_refused)
    RecordProcessEnd(proxy, attempt, now);
  if (outcome == AttemptOutcome::kBroken) AskAfterBreak(proxy, attempt);
  if (IsUnclear(outcome) && !attempt.has_lived_on)
    RecordUnclear(proxy, call, attempt, now);
}

void RecordCancelled(Proxy& proxy, Call& call, const Attempt& attempt) {
  if (!attempt.peer.empty() || !attempt.request_sent) return;
  RecordUnclear(proxy, call, attempt, NowOf(proxy));
}

void RecordPromptProven(Proxy& proxy, Call& call) {
  call.attempt->is_prompt_proven = true;
  const Time now = NowOf(proxy);
  for (const std::uint64_t key : GetSuspectKeys(call)) {
    if (routing::KindOf(key) == routing::SuspectKind::kPart)
      RecordSuccess(proxy, call, key, now);
  }
}

void SettleProofs(Proxy& proxy) {
  const Time now = NowOf(proxy);
  std::erase_if(proxy.pending_proofs, [&](const PendingProof& pending) {
    const routing::Proof proof =
        routing::FindProof(*pending.endpoint, pending.began_at, now);
    if (proof == routing::Proof::kPending) return false;
    if (proof == routing::Proof::kLivedOn) {
      for (const std::uint64_t key : pending.keys)
        routing::OnRequestRan(proxy.suspects, key, now);
    }
    return true;
  });
}

const std::vector<std::uint64_t>& GetSuspectKeys(Call& call) {
  if (!call.suspect_keys.empty()) return call.suspect_keys;
  call.suspect_keys.push_back(GetFingerprint(call));
  const auto& parts = call.demand.parts;
  const std::size_t shared = parts.empty() ? 0 : parts.size() - 1;
  const std::size_t count = std::min(shared, routing::kMaxSuspectedParts);
  for (std::size_t i = 0; i < count; ++i) {
    call.suspect_keys.push_back(
        routing::KeyOfPart(call.service->name, parts[i].id));
  }
  return call.suspect_keys;
}

milliseconds GetSuspectHoldTime(Proxy& proxy, Call& call) {
  if (proxy.suspects.by_key.empty()) return {};
  const Time now = NowOf(proxy);
  return routing::TimeUntilSend(proxy.suspects, GetSuspectKeys(call),
                                GetFleetSnapshot(proxy, call, now), now);
}

void RecordSuspectSent(Proxy& proxy, Call& call) {
  if (proxy.suspects.by_key.empty()) return;
  const Time sent_at = call.attempt->first_byte_sent_at;
  for (const std::uint64_t key : GetSuspectKeys(call))
    routing::OnSuspectSent(proxy.suspects, key, sent_at);
}

void AskForSuspects(Proxy& proxy) {
  proxy.suspects_wanted_until = NowOf(proxy) + routing::kSuspectGossipTime;
}

void WriteSuspects(const Proxy& proxy, routing::SuspectScope scope,
                   exchange::News::Builder news) {
  WriteLiving(proxy, scope, news);
  if (proxy.suspects.by_key.empty()) return;
  const auto gossip =
      routing::MakeSuspectGossip(proxy.suspects, scope, NowOf(proxy));
  auto list = news.initSuspects(static_cast<unsigned>(gossip.size()));
  for (unsigned i = 0; i < list.size(); ++i) WriteSuspect(gossip[i], list[i]);
}

void ApplySuspects(Proxy& proxy, exchange::News::Reader news) {
  // First, so that breaks which were taken back don't count.
  ApplyLiving(proxy, news);
  for (const auto reader : news.getSuspects())
    ApplySuspect(proxy, ReadSuspect(reader));
}

}  // namespace egretladder::proxy
