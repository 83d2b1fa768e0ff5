#include "harness_brittle.h"

#include <algorithm>
#include <utility>

#include "egretladder/routing/brittle.h"
#include "egretladder/routing/round_trip.h"

namespace egretladder::routing::test {
namespace {

using namespace std::chrono_literals;

constexpr auto kStep = 5ms;
constexpr std::size_t kStepsPerMemberTurn = kExchangeInterval / kStep;
constexpr std::size_t kStepsPerDispatch = 2;
constexpr auto kTimeToFetchRules = 200ms;
constexpr auto kMaxWait = 300ms;
constexpr auto kTimeToRestart = 1500ms;
constexpr auto kTimeToFirstEvent = 30ms;
constexpr std::size_t kZones = 4;
constexpr std::size_t kSeeds = 3;

std::string NameOfEndpoint(std::size_t number) {
  return "i-" + std::to_string(number);
}

}  // namespace

BrittleFleet::BrittleFleet(const BrittleLayout& layout)
    : layout_(layout),
      fleet_({layout.nodes, kSeeds, kZones, true}),
      nodes_(layout.nodes),
      endpoints_(layout.endpoints),
      room_(1000),
      now_(fleet_.now()),
      random_(layout.seed) {
  service_.name = "models";
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    for (std::size_t j = 0; j < endpoints_.size(); ++j) {
      EndpointEntry entry;
      entry.id = NameOfEndpoint(j);
      entry.service = service_.name;
      entry.zone = std::string(1, static_cast<char>('a' + j % kZones));
      entry.slots = layout.slots;
      OnEntryPublished(nodes_[i].set, entry, now_);
    }
  }
}

void BrittleFleet::Run(std::chrono::milliseconds time) {
  for (const Time end = now_ + time; now_ < end; now_ += kStep) Step();
}

void BrittleFleet::Step() {
  if (steps_ % kStepsPerMemberTurn == 0) fleet_.Run(kExchangeInterval);
  const std::size_t turn =
      nodes_.size() > 16 ? 2 * kStepsPerMemberTurn : kStepsPerMemberTurn;
  for (std::size_t i = 0; i < nodes_.size(); ++i)
    if ((steps_ + i) % turn == 0) ExchangeNews(i);
  DeliverMessages();
  for (EndpointModel& endpoint : endpoints_) EndRuns(endpoint);
  load_ += layout_.requests_per_second *
           std::chrono::duration<double>(kStep).count();
  for (; load_ >= 1; --load_) {
    ++tally_.sent;
    Receive(kernel::RandomBelow(random_, nodes_.size()), {now_, {}, false});
  }
  if (steps_ % kStepsPerDispatch == 0)
    for (std::size_t i = 0; i < nodes_.size(); ++i) DispatchWaiting(i);
  ++steps_;
}

void BrittleFleet::ExchangeNews(std::size_t node) {
  if (nodes_[node].is_frozen) return;
  const std::string address = PickExchangePeer(fleet_.node(node), random_);
  for (std::size_t peer = 0; peer < nodes_.size(); ++peer) {
    if (fleet_.node(peer).self.peers != address) continue;
    if (!fleet_.AreInTouch(node, peer)) return;
    const auto there = MakeBrittleGossip(nodes_[node].set, now_);
    const auto back = MakeBrittleGossip(nodes_[peer].set, now_);
    for (const BrittleGossip& gossip : there)
      ApplyBrittleGossip(nodes_[peer].set, gossip, now_);
    for (const BrittleGossip& gossip : back)
      ApplyBrittleGossip(nodes_[node].set, gossip, now_);
    return;
  }
}

void BrittleFleet::Receive(std::size_t node, Waiting request) {
  // Callers of a node that is starting go elsewhere.
  if (now_ < nodes_[node].serves_from) return;
  if (nodes_[node].is_frozen || !TryDispatch(node, request))
    nodes_[node].waiting.push_back(std::move(request));
}

void BrittleFleet::DispatchWaiting(std::size_t node) {
  if (nodes_[node].is_frozen) return;
  std::vector<Waiting> waiting = std::exchange(nodes_[node].waiting, {});
  for (Waiting& request : waiting) {
    if (now_ - request.arrived >= kMaxWait) continue;
    if (!TryDispatch(node, request))
      nodes_[node].waiting.push_back(std::move(request));
  }
}

const FleetSnapshot& BrittleFleet::SnapshotOf(std::size_t node) {
  return GetFleetSnapshot(fleet_.node(node), now_);
}

bool BrittleFleet::TryDispatch(std::size_t node, const Waiting& request) {
  Demand demand;
  demand.service = &service_;
  const Placement placement = ChoosePlacement(
      nodes_[node].set, demand, request.tried, SnapshotOf(node), random_, now_);
  if (placement.endpoint == nullptr)
    return TryHandOver(node, request, placement);
  Attempt attempt;
  attempt.node = node;
  attempt.life = nodes_[node].life;
  attempt.endpoint = std::stoul(placement.endpoint->entry.id.substr(2));
  attempt.number = ++last_attempt_;
  attempt.request = request;
  attempt.placement = placement;
  attempt.sent_at = now_;
  OnAttemptSent(*placement.endpoint, demand, attempt.number, placement, now_);
  OnAttemptBegan(*placement.endpoint, attempt.number, 0, now_);
  Send(MessageKind::kRequest, attempt);
  return true;
}

bool BrittleFleet::TryHandOver(std::size_t node, const Waiting& request,
                               const Placement& placement) {
  if (request.is_handed_over || placement.elsewhere.empty()) return false;
  const BrittleStatement* brittle =
      FindBrittle(nodes_[node].set, service_.name, now_);
  const Endpoint& endpoint = *placement.elsewhere.front();
  const auto senders = FindBrittleSenders(endpoint, *brittle, SnapshotOf(node));
  const std::size_t peer = std::stoul(senders.front().substr(1));
  if (!fleet_.AreInTouch(node, peer) && !nodes_[peer].is_frozen) return false;
  Waiting handed_over = request;
  handed_over.is_handed_over = true;
  Receive(peer, std::move(handed_over));
  return true;
}

void BrittleFleet::Send(MessageKind kind, const Attempt& attempt) {
  messages_.push_back({kind, attempt, now_ + layout_.way});
}

void BrittleFleet::DeliverMessages() {
  std::vector<Message> due;
  std::erase_if(messages_, [&](Message& message) {
    const bool is_read = message.kind == MessageKind::kRequest ||
                         !nodes_[message.attempt.node].is_frozen;
    if (now_ < message.due || !is_read) return false;
    due.push_back(std::move(message));
    return true;
  });
  for (const Message& message : due) Deliver(message);
}

void BrittleFleet::Deliver(const Message& message) {
  switch (message.kind) {
    case MessageKind::kRequest:
      return Arrive(message.attempt);
    case MessageKind::kRefusal:
      return OnRefused(message.attempt);
    case MessageKind::kFirstEvent:
      return OnFirstEvent(message.attempt);
    case MessageKind::kEnd:
      return OnAnswered(message.attempt);
    case MessageKind::kReset:
      return OnBroken(message.attempt);
  }
}

void BrittleFleet::Arrive(Attempt attempt) {
  EndpointModel& endpoint = endpoints_[attempt.endpoint];
  if (now_ < endpoint.up_from) {
    Send(MessageKind::kReset, attempt);
    return;
  }
  if (endpoint.runs.size() >= room_) {
    Refuse(std::move(attempt));
    return;
  }
  const double length = 0.4 + 1.2 * kernel::RandomFraction(random_);
  attempt.due =
      now_ + std::chrono::duration_cast<Time::duration>(layout_.work * length);
  messages_.push_back(
      {MessageKind::kFirstEvent, attempt,
       std::min<Time>(now_ + kTimeToFirstEvent, attempt.due) + layout_.way});
  endpoint.runs.push_back(std::move(attempt));
}

void BrittleFleet::Refuse(Attempt attempt) {
  EndpointModel& endpoint = endpoints_[attempt.endpoint];
  ++tally_.refusals;
  Send(MessageKind::kRefusal, attempt);
  endpoint.refusals.push_back(now_);
  while (now_ - endpoint.refusals.front() > 1s) endpoint.refusals.pop_front();
  if (endpoint.refusals.size() > layout_.tolerance) Fall(endpoint);
}

void BrittleFleet::Fall(EndpointModel& endpoint) {
  ++tally_.falls;
  endpoint.refusals.clear();
  endpoint.up_from = now_ + kTimeToRestart;
  for (const Attempt& attempt : std::exchange(endpoint.runs, {}))
    Send(MessageKind::kReset, attempt);
}

void BrittleFleet::EndRuns(EndpointModel& endpoint) {
  std::vector<Attempt> ended;
  std::erase_if(endpoint.runs, [&](Attempt& attempt) {
    if (!IsCurrent(attempt)) return true;
    if (now_ < attempt.due) return false;
    ended.push_back(std::move(attempt));
    return true;
  });
  for (const Attempt& attempt : ended) Send(MessageKind::kEnd, attempt);
}

bool BrittleFleet::IsCurrent(const Attempt& attempt) const {
  return nodes_[attempt.node].life == attempt.life;
}

Endpoint& BrittleFleet::EndpointOf(const Attempt& attempt) {
  return *attempt.placement.endpoint;
}

void BrittleFleet::OnRefused(const Attempt& attempt) {
  if (!IsCurrent(attempt)) return;
  EndpointSet& set = nodes_[attempt.node].set;
  Endpoint& endpoint = EndpointOf(attempt);
  OnBrittleStated(set, service_.name, layout_.tolerance, now_);
  OnEndpointFull(endpoint, kFullPause, now_);
  OnBrittleRefusal(
      set, endpoint, *FindBrittle(set, service_.name, now_),
      std::chrono::duration_cast<milliseconds>(now_ - attempt.sent_at), now_);
  OnAttemptStarted(endpoint, {&service_}, attempt.number, attempt.placement);
  OnAttemptEnded(endpoint);
  Waiting request = attempt.request;
  request.tried.push_back(attempt.placement.endpoint);
  Receive(attempt.node, std::move(request));
}

void BrittleFleet::OnFirstEvent(const Attempt& attempt) {
  if (!IsCurrent(attempt)) return;
  OnRoundTrip(nodes_[attempt.node].set, EndpointOf(attempt), 2 * layout_.way);
  OnAttemptStarted(EndpointOf(attempt), {&service_}, attempt.number,
                   attempt.placement);
}

void BrittleFleet::OnAnswered(const Attempt& attempt) {
  if (!IsCurrent(attempt)) return;
  ++tally_.served;
  EndpointSet& set = nodes_[attempt.node].set;
  Endpoint& endpoint = EndpointOf(attempt);
  OnBrittleStated(set, service_.name, layout_.tolerance, now_);
  OnAttemptStarted(endpoint, {&service_}, attempt.number, attempt.placement);
  routing::OnAnswered(endpoint, layout_.work, now_);
  OnAttemptEnded(endpoint);
}

void BrittleFleet::OnBroken(const Attempt& attempt) {
  if (!IsCurrent(attempt)) return;
  Endpoint& endpoint = EndpointOf(attempt);
  OnConnectFailed(endpoint, now_);
  OnAttemptStarted(endpoint, {&service_}, attempt.number, attempt.placement);
  OnAttemptEnded(endpoint);
}

void BrittleFleet::RestartNodes(std::size_t count) {
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t node = i * nodes_.size() / count;
    EndpointSet fresh;
    for (const auto& [id, endpoint] : nodes_[node].set.by_id)
      OnEntryPublished(fresh, endpoint->entry, now_);
    nodes_[node] = {std::move(fresh), {}, ++lives_, now_ + kTimeToFetchRules};
    fleet_.Restart(node, 100 + lives_);
  }
}

void BrittleFleet::FreezeNodes(std::size_t first, std::size_t count) {
  for (std::size_t i = first; i < first + count; ++i) {
    nodes_[i % nodes_.size()].is_frozen = true;
    fleet_.LosePower(i % nodes_.size());
  }
}

void BrittleFleet::ThawNodes() {
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (!std::exchange(nodes_[i].is_frozen, false)) continue;
    fleet_.Resume(i);
    // It reads now what was sent to it.
    for (Waiting& request : nodes_[i].waiting) request.arrived = now_;
  }
}

void BrittleFleet::Split() {
  for (std::size_t i = 0; i < nodes_.size(); ++i)
    fleet_.SetPart(i, static_cast<int>(i % 2));
}

void BrittleFleet::Heal() {
  for (std::size_t i = 0; i < nodes_.size(); ++i) fleet_.SetPart(i, 0);
}

BrittleTally BrittleFleet::TakeTally() { return std::exchange(tally_, {}); }

}  // namespace egretladder::routing::test
