// Streams while endpoints of several software versions serve.
#include <algorithm>
#include <optional>
#include <set>

#include "egretladder/routing/event_order.h"
#include "egretladder/routing/software_version.h"
#include "egretladder/routing/stream_service.h"
#include "state_p.h"

namespace egretladder::proxy {
namespace {

using kernel::LogLevel;
using kernel::LogPart;
using routing::kUnknownVersion;
using routing::VersionVerdict;

constexpr int kUnavailable = 503;

routing::StreamKey KeyOfStream(const Call& call,
                               const std::string& request_id) {
  const bool has_account = call.account != nullptr;
  return routing::KeyOfStream(has_account ? call.account->name : "",
                              request_id);
}

bool TakesStreamUp(const Call& call) {
  if (call.route->kind != routing::RouteKind::kStream) return false;
  return !call.metadata.last_event_id.empty() || !call.metadata.resumes.empty();
}

// Another request or attempt began the stream of the next attempt.
bool GoesOn(const Call& call) {
  const bool is_stream = call.route->kind == routing::RouteKind::kStream;
  return is_stream && (call.caller->begun() || TakesStreamUp(call));
}

// Returns the id of the request that brought the stream's first event; empty:
// its client doesn't say.
const std::string& BegunBy(const Call& call) {
  return TakesStreamUp(call) ? call.metadata.resumes : call.metadata.id;
}

bool WasServedAtSeveralVersions(const Proxy& proxy, const Call& call) {
  return routing::WasServedAtSeveralVersions(proxy.streams, call.service->name,
                                             NowOf(proxy));
}

// Returns true if the stream that `request_id` began may have begun at another
// service than the call's, since its route has moved after `since`.
bool MayHaveMoved(const Proxy& proxy, const Call& call,
                  const std::string& request_id, Time since) {
  const net::HttpRequest& request = call.caller->request();
  const routing::RoutedStream stream{
      KeyOfStream(call, request_id),
      net::FirstFieldValue(request.fields, "Host"), request.target};
  // A peer may have handed it over by rules that have been replaced since.
  return routing::LeadsElsewhere(*proxy.rules, stream, call.service->name) ||
         routing::MayHaveMoved(proxy.past_rules, stream, call.service->name,
                               since);
}

void RecordStream(Proxy& proxy, const Call& call, const std::string& request_id,
                  routing::SoftwareVersion version) {
  const routing::StreamRecord record{KeyOfStream(call, request_id), version,
                                     call.weights};
  // The node that serves a handed over request writes it.
  if (call.attempt->peer.empty()) {
    RecordStream(proxy, record);
  } else {
    routing::RememberStream(proxy.streams, record, NowOf(proxy));
  }
}

// The attempt's process was replaced by another one at the same address, and
// either may answer.
void LoseVersion(Proxy& proxy, const CallPtr& call) {
  const bool is_bound = call->version != kUnknownVersion;
  if (call->attempt == nullptr || !is_bound) return;
  const Attempt& attempt = *call->attempt;
  // It has made another attempt meanwhile, or a peer makes one.
  if (attempt.version != kUnknownVersion || !attempt.peer.empty()) return;
  kernel::LogEvent(LogPart::kEndpoint, LogLevel::kWarning, "version-unknown",
                   {{"req", call->metadata.id},
                    {"endpoint", attempt.endpoint->entry.id},
                    {"started", attempt.started ? "yes" : "no"}});
  if (attempt.started) {
    call->version = kUnknownVersion;
    RecordStream(proxy, *call, call->metadata.id, kUnknownVersion);
    return;
  }
  net::Cancel(attempt.exchange);
  EndAttempt(proxy, call, routing::AttemptOutcome::kBroken,
             "the endpoint's process was replaced");
}

void RunStreamWork(Proxy& proxy) {
  const auto replaced = std::exchange(proxy.stream_work.replaced, {});
  for (const CallPtr& call : replaced) LoseVersion(proxy, call);
  if (std::exchange(proxy.stream_work.hand_on, false)) HandOnStreams(proxy);
}

void ScheduleStreamWork(Proxy& proxy) {
  proxy.stream_work.timer =
      kernel::RunAfter(*proxy.loop, {}, [&proxy] { RunStreamWork(proxy); });
}

// `how` says who knew the version, or why none is needed or known.
void LogTakenUp(Proxy& proxy, const Call& call, const char* how) {
  IncrementCounter(proxy, "egretladder_streams_taken_up_total",
                   "Requests that take up streams, by who knew their version.",
                   std::string("how=\"") + how + "\"");
  kernel::LogEvent(LogPart::kRoute, LogLevel::kInfo, "stream-taken-up",
                   {{"req", call.metadata.id},
                    {"resumes", call.metadata.resumes},
                    {"how", how},
                    {"waited_ms", Elapsed(call.arrived_at, NowOf(proxy))}});
}

bool HasEndpointOf(const Proxy& proxy, const std::string& service,
                   routing::SoftwareVersion version) {
  const auto at = proxy.endpoints.versions_by_service.find(service);
  return at != proxy.endpoints.versions_by_service.end() &&
         at->second.contains(version);
}

// Reads the store's latest news before the call's stream is judged.
void CatchUp(Proxy& proxy, const CallPtr& call) {
  call->version_lookup = std::make_shared<VersionLookup>();
  CatchUpWithStore(
      proxy, [&proxy, weak_call = std::weak_ptr<Call>(call),
              lookup = std::weak_ptr<VersionLookup>(call->version_lookup)] {
        const auto locked = weak_call.lock();
        if (locked == nullptr || lookup.expired()) return;
        locked->version_lookup = nullptr;
        locked->has_caught_up = true;
        DispatchAtItsVersion(proxy, locked);
      });
}

void Bind(Proxy& proxy, const CallPtr& call, routing::SoftwareVersion version,
          const char* how) {
  call->version = version;
  LogTakenUp(proxy, *call, how);
  // Its endpoints may be among the store's latest news.
  if (!call->has_caught_up &&
      !HasEndpointOf(proxy, call->service->name, version)) {
    CatchUp(proxy, call);
    return;
  }
  Dispatch(proxy, call);
}

// How long the caller still waits; nullopt: it doesn't say.
std::optional<milliseconds> TimeLeftOfCaller(const Call& call, Time now) {
  if (!call.metadata.deadline) return std::nullopt;
  return *call.metadata.deadline - Elapsed(call.arrived_at, now);
}

// What is known of a stream that a call takes up.
struct StreamEvidence {
  routing::VersionKnowledge knowledge;
  // Version of the endpoints that keep its part of the prompt.
  routing::SoftwareVersion part_version = kUnknownVersion;
  bool is_part_alone = false;  // Endpoints of other versions don't keep it.
};

const char* NameOfDoubt(routing::SoftwareVersion part_version) {
  if (part_version == kUnknownVersion) return "unknown";
  return routing::TellsVersion(part_version) ? "lists-missing"
                                             : "several-keep-it";
}

StreamQuestion QuestionOf(const Call& call) {
  StreamQuestion question;
  question.stream = KeyOfStream(call, call.metadata.resumes);
  const auto& parts = call.metadata.parts;
  if (!parts.empty() && call.service->generates)
    question.part = routing::KeyOfPart(call.service->name, parts.back().id);
  return question;
}

// A peer knows the versions for long enough, and lacks the store's last news.
bool HasLateWitness(const Call& call,
                    const routing::VersionKnowledge& knowledge) {
  return !knowledge.several && knowledge.confirmed_since && knowledge.since &&
         *knowledge.since <= call.earliest_begin;
}

// Nodes that have just started may learn more from endpoints, and others from
// them, if homes of streams have started. A home that gives no answer may be
// about to start.
bool MayLearnMore(const Proxy& proxy, const Call& call,
                  const routing::VersionKnowledge& knowledge) {
  const Time now = NowOf(proxy);
  const bool has_just_started =
      now - proxy.streams.known_since < routing::kLearningTime;
  const bool has_witness = !knowledge.several && knowledge.since &&
                           *knowledge.since <= call.earliest_begin;
  return !has_witness && now - call.arrived_at < kUnknownStreamPatience &&
         (has_just_started || call.is_version_answer_missing ||
          call.is_begin_doubted ||
          routing::MayHaveLostHomes(proxy.members, call.earliest_begin));
}

// Returns false if several weights serve, and nobody knows which of them made
// the stream's events.
bool KnowsWeights(const Proxy& proxy, const Call& call) {
  const routing::WeightsKnowledge known =
      routing::WeightsOf(proxy.streams, proxy.endpoints, call.service->name);
  return call.weights || !known.several;
}

// Nobody who was asked knows the stream. It goes on only if a single version
// can have begun it, and is bound to that one: another may serve by the time at
// which it gets an endpoint.
void DispatchUnknown(Proxy& proxy, const CallPtr& call,
                     const StreamEvidence& evidence) {
  const VersionVerdict verdict = routing::JudgeUnknownStream(
      evidence.knowledge, proxy.endpoints, *call->service, call->earliest_begin,
      UnixNow(proxy), NowOf(proxy));
  const bool may_bind = KnowsWeights(proxy, *call);
  if (may_bind && verdict != VersionVerdict::kUnknown) {
    Bind(proxy, call, evidence.knowledge.only, routing::NameOf(verdict));
    return;
  }
  if (may_bind && routing::TellsVersion(evidence.part_version) &&
      evidence.is_part_alone) {
    Bind(proxy, call, evidence.part_version, "kept-part");
    return;
  }
  if (!call->must_confirm && HasLateWitness(*call, evidence.knowledge)) {
    call->must_confirm = true;
    DispatchAtItsVersion(proxy, call);
    return;
  }
  if (MayLearnMore(proxy, *call, evidence.knowledge)) {
    DispatchLater(proxy, call);
    return;
  }
  LogTakenUp(proxy, *call, NameOfDoubt(evidence.part_version));
  RefuseCall(proxy, call, kUnavailable, "unknown_stream",
             kUnknownStreamRetryDelay);
}

// Who goes on decides the step in doubt at which the stream broke off, and not
// the endpoint that has left a number out there.
void ApplyDoubt(const Proxy& proxy, Call& call,
                const std::optional<routing::StepInDoubt>& doubt) {
  if (!doubt) return;
  routing::TakeUpInDoubt(call.position, *doubt);
  if (!call.position.doubt) return;
  const auto at = proxy.endpoints.by_id.find(doubt->source);
  if (at != proxy.endpoints.by_id.end())
    call.tried_endpoints.push_back(at->second);
}

void FinishLookup(Proxy& proxy, const CallPtr& call) {
  const auto lookup = std::exchange(call->version_lookup, nullptr);
  if (!call->position.doubt) ApplyDoubt(proxy, *call, lookup->doubt);
  if (lookup->unanswered > 0) call->is_version_answer_missing = true;
  if (lookup->weights) call->weights = lookup->weights;
  if (lookup->version != kUnknownVersion) {
    Bind(proxy, call, lookup->version, "peer");
    return;
  }
  if (lookup->is_begin_doubted) lookup->knowledge.several = true;
  call->is_begin_doubted = lookup->is_begin_doubted;
  DispatchUnknown(
      proxy, call,
      {lookup->knowledge, lookup->part_version, lookup->is_part_alone});
}

void FinishLookupAfter(Proxy& proxy, const CallPtr& call, milliseconds delay) {
  call->version_lookup->timer = kernel::RunAfter(
      *proxy.loop, delay, [&proxy, weak_call = std::weak_ptr<Call>(call)] {
        const auto locked = weak_call.lock();
        if (locked != nullptr && locked->version_lookup != nullptr)
          FinishLookup(proxy, locked);
      });
}

// Returns the addresses of the peers that may know the stream or its part.
std::set<std::string> PeersToAsk(const Proxy& proxy, const Call& call,
                                 const StreamQuestion& question) {
  std::set<std::string> peers;
  for (const std::uint64_t key : {question.stream, question.part}) {
    if (key == 0) continue;
    for (const routing::Member& node :
         routing::NodesToAsk(proxy.members, key, call.earliest_begin)) {
      if (node.node != proxy.members.self.node) peers.insert(node.peers);
    }
  }
  return peers;
}

void AskNodes(Proxy& proxy, const CallPtr& call, const StreamQuestion& question,
              const routing::VersionKnowledge& knowledge) {
  const auto lookup = std::make_shared<VersionLookup>();
  lookup->knowledge = knowledge;
  lookup->is_own_confirmed = knowledge.confirmed_since.has_value();
  lookup->is_begin_doubted = call->is_begin_doubted;
  lookup->part_version = routing::FindPartVersion(proxy.streams, question.part);
  lookup->is_part_alone =
      IsPartOfOneVersion(proxy, call->service->name, question.part);
  call->version_lookup = lookup;
  FinishLookupAfter(proxy, call, kVersionLookupTimeout);
  const auto peers = PeersToAsk(proxy, *call, question);
  lookup->unanswered = peers.size();
  for (const std::string& peer : peers)
    AskForVersion(proxy, call, question, peer);
  if (peers.empty()) FinishLookup(proxy, call);
}

// A peer that isn't sure of its attempt's version doesn't state it. Streams
// that can't go on elsewhere have nothing to lose.
bool IsBeginInDoubt(const Call& call) {
  const Attempt& attempt = *call.attempt;
  const bool is_known =
      attempt.version != kUnknownVersion &&
      (attempt.proof == ProcessProof::kProven || !attempt.peer.empty());
  return call.route->resumable && !is_known;
}

}  // namespace

void OnStreamBegan(Proxy& proxy, Call& call) {
  if (call.version != kUnknownVersion) return;
  const bool begins = !TakesStreamUp(call);
  if (begins && IsBeginInDoubt(call)) {
    DoubtBegin(proxy, call, KeyOfStream(call, call.metadata.id));
    return;
  }
  call.version = call.attempt->version;
  if (begins && call.version != kUnknownVersion)
    RecordStream(proxy, call, call.metadata.id, call.version);
}

void OnWeightsChanged(Proxy& proxy, const Call& call) {
  const bool is_known = TakesStreamUp(call) && call.version != kUnknownVersion;
  // The stream's first event is written together with its version.
  if (!call.caller->begun() && !is_known) return;
  const std::string& begun_by = BegunBy(call);
  if (begun_by.empty()) return;
  RecordStream(proxy, call, begun_by,
               call.is_begin_doubted ? routing::kDoubtedVersion : call.version);
}

void KeepStepInDoubt(Proxy& proxy, const Call& call) {
  auto doubt = call.position.doubt;
  const std::string& begun_by = BegunBy(call);
  if (!doubt || doubt->source.empty() || begun_by.empty()) return;
  if (!routing::CanClientAsk(call.position)) return;
  // Where the event before is known, the next endpoint shows the step itself.
  doubt->is_own = doubt->is_own || call.position.previous_id.has_value();
  const routing::StreamKey stream = KeyOfStream(call, begun_by);
  routing::RememberDoubt(proxy.streams, stream, *doubt, NowOf(proxy));
  for (const auto& home : routing::HomesToWriteTo(proxy.members, stream)) {
    if (home.node != proxy.members.self.node)
      WriteDoubt(proxy, home.peers, stream, *doubt);
  }
  IncrementCounter(proxy, "egretladder_steps_left_to_clients_total",
                   "Streams that broke off where an event may be missing, so "
                   "that their clients ask for it.",
                   "");
  kernel::LogEvent(LogPart::kRoute, LogLevel::kInfo, "step-left-to-client",
                   {{"req", call.metadata.id},
                    {"endpoint", doubt->source},
                    {"after_event", call.position.last_id},
                    {"next_event", doubt->to}});
}

void DispatchAtItsVersion(Proxy& proxy, const CallPtr& call) {
  const bool is_bound = call->version != kUnknownVersion;
  if (is_bound || !TakesStreamUp(*call)) {
    Dispatch(proxy, call);
    return;
  }
  const StreamQuestion question = QuestionOf(*call);
  const routing::StreamSource source =
      routing::FindSource(proxy.streams, question.stream);
  if (source.weights) call->weights = source.weights;
  if (!call->position.doubt) {
    ApplyDoubt(proxy, *call,
               routing::FindDoubt(proxy.streams, question.stream));
  }
  if (routing::TellsVersion(source.version)) {
    Bind(proxy, call, source.version, "this-node");
    return;
  }
  call->is_begin_doubted = source.version == routing::kDoubtedVersion;
  const Time now = NowOf(proxy);
  call->earliest_begin =
      routing::EarliestBegin(*call->table, TimeLeftOfCaller(*call, now), now);
  routing::VersionKnowledge knowledge = routing::KnowledgeOf(
      proxy.streams, call->service->name, call->arrived_at, now);
  // What is known of this service says nothing of another one.
  if (MayHaveMoved(proxy, *call, call->metadata.resumes, call->earliest_begin))
    knowledge.several = true;
  if (call->is_begin_doubted) knowledge.several = true;
  const bool is_confirmed = knowledge.confirmed_since.has_value();
  if (!knowledge.several && !is_confirmed && !call->has_caught_up) {
    CatchUp(proxy, call);
    return;
  }
  const bool is_one_version =
      !knowledge.several && is_confirmed &&
      *knowledge.confirmed_since <= call->earliest_begin;
  const routing::WeightsKnowledge weights =
      routing::WeightsOf(proxy.streams, proxy.endpoints, call->service->name);
  if (!call->weights) call->weights = weights.only;
  if (is_one_version && !weights.is_in_doubt) {
    DispatchUnknown(proxy, call, {knowledge, kUnknownVersion});
    return;
  }
  AskNodes(proxy, call, question, knowledge);
}

void DispatchLater(Proxy& proxy, const CallPtr& call) {
  call->version_lookup = std::make_shared<VersionLookup>();
  call->version_lookup->timer = kernel::RunAfter(
      *proxy.loop, kUnknownStreamPollInterval,
      [&proxy, weak_call = std::weak_ptr<Call>(call)] {
        const auto locked = weak_call.lock();
        if (locked == nullptr || locked->version_lookup == nullptr) return;
        const auto finished = std::exchange(locked->version_lookup, nullptr);
        DispatchAtItsVersion(proxy, locked);
      });
}

void OnVersionAnswer(Proxy& proxy, const CallPtr& call,
                     const std::weak_ptr<VersionLookup>& asked,
                     const VersionAnswer& answer) {
  // Another peer answered sooner, time was up, or the call has ended.
  const auto lookup = asked.lock();
  if (lookup == nullptr || lookup != call->version_lookup) return;
  if (answer.is_missing) call->is_version_answer_missing = true;
  routing::VersionKnowledge knowledge = answer.knowledge;
  if (answer.is_confirmed ||
      (lookup->is_own_confirmed && answer.leads_up_to_own)) {
    knowledge.confirmed_since = knowledge.since;
  }
  routing::Merge(lookup->knowledge, knowledge);
  if (routing::TellsVersion(answer.version)) lookup->version = answer.version;
  if (answer.version == routing::kDoubtedVersion)
    lookup->is_begin_doubted = true;
  if (answer.weights) lookup->weights = answer.weights;
  if (answer.doubt) lookup->doubt = answer.doubt;
  lookup->part_version =
      routing::MergePartVersions(lookup->part_version, answer.part_version);
  lookup->is_part_alone = lookup->is_part_alone || answer.is_part_alone;
  --lookup->unanswered;
  if (lookup->version != kUnknownVersion || lookup->unanswered == 0)
    FinishLookupAfter(proxy, call, {});
}

bool RequireVersion(const Proxy& proxy, Call& call) {
  const Time now = NowOf(proxy);
  const routing::VersionKnowledge knowledge =
      routing::KnowledgeOf(proxy.streams, call.service->name, now, now);
  const bool several = knowledge.several;
  const bool may_join = several || knowledge.only != call.version;
  call.demand.version = may_join ? call.version : kUnknownVersion;
  call.demand.goes_on = GoesOn(call);
  call.demand.weights = call.demand.goes_on ? call.weights : std::nullopt;
  const bool is_lost = call.caller->begun() && call.version == kUnknownVersion;
  return !is_lost || (!several && !IsBeginAwaited(call));
}

bool NeedsKnownProcess(const Proxy& proxy, const Call& call,
                       const routing::Endpoint& endpoint) {
  const bool may_be_taken_up =
      call.route->kind == routing::RouteKind::kStream &&
      routing::IsRouteRepeatable(*call.route);
  const bool is_bound = call.demand.version != kUnknownVersion;
  // A connection ends with the process at its other end. Who answers a new one
  // is not known.
  const bool is_known = routing::IsVersionSure(endpoint) &&
                        proxy.client->HasReusable(
                            endpoint.entry.address, net::ConnectionReuse::kAny,
                            call.metadata.id, endpoint.entry.started_unix_ms);
  return may_be_taken_up && (call.demand.goes_on || is_bound || !is_known ||
                             WasServedAtSeveralVersions(proxy, call));
}

bool FitsStream(const Proxy& proxy, const Call& call) {
  return !GoesOn(call) ||
         routing::MayJoinVersions(call.version, call.attempt->version,
                                  WasServedAtSeveralVersions(proxy, call));
}

void OnProcessReplaced(Proxy& proxy, const routing::EndpointPtr& replaced) {
  for (const auto& [number, call] : proxy.calls) {
    if (call->attempt == nullptr || call->attempt->endpoint != replaced)
      continue;
    call->attempt->version = kUnknownVersion;
    proxy.stream_work.replaced.push_back(call);
  }
  ScheduleStreamWork(proxy);
}

void UpdateVersions(Proxy& proxy) {
  const Time now = NowOf(proxy);
  if (!routing::ObserveVersions(proxy.streams, proxy.endpoints, now)) return;
  kernel::LogEvent(LogPart::kPlatform, LogLevel::kInfo, "several-versions",
                   {{"streams", routing::AllStreams(proxy.streams).size()}});
  proxy.stream_work.hand_on = true;
  ScheduleStreamWork(proxy);
}

bool KnowsVersions(const Proxy& proxy, milliseconds tick_gap) {
  const auto& feed =
      routing::GetFeedState(proxy.catalog, routing::Feed::kEndpoints);
  if (feed.revision == 0 || tick_gap > kMinProcessPause) return false;
  const auto& seeds = proxy.options.seeds;
  const bool has_peers = std::any_of(
      seeds.begin(), seeds.end(),
      [&proxy](const auto& seed) { return seed != proxy.members.self.peers; });
  if (!has_peers) return true;
  const Time last_exchange_at = proxy.members.last_exchange_at;
  const bool has_met_peers = last_exchange_at != Time{};
  return NowOf(proxy) - last_exchange_at <= routing::kMaxKnowledgeGap ||
         (has_met_peers && proxy.reads_store && !IsStoreFailing(proxy));
}

void OnRulesReplaced(Proxy& proxy, const routing::RouteTable& before) {
  if (!routing::MoveStreams(before, *proxy.rules)) return;
  proxy.stream_work.hand_on = true;
  ScheduleStreamWork(proxy);
}

bool IsPartOfOneVersion(const Proxy& proxy, const std::string& service,
                        routing::PartKey part) {
  const routing::SoftwareVersion version =
      routing::FindPartVersion(proxy.streams, part);
  return routing::TellsVersion(version) &&
         routing::IsHome(proxy.members, part) &&
         routing::AreListsOfOthersIn(proxy.streams, proxy.endpoints, service,
                                     version);
}

}  // namespace egretladder::proxy
