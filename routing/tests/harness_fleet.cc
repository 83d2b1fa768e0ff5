#include "harness_fleet.h"

#include <algorithm>
#include <numeric>

#include "egretladder/routing/store_readers.h"

namespace egretladder::routing::test {
namespace {

constexpr std::chrono::milliseconds kExchangeTimeout{1000};

std::string NameOfNode(std::size_t number) {
  return "n" + std::to_string(number);
}

std::string NameOfZone(std::size_t number, std::size_t zones) {
  return std::string(1, static_cast<char>('a' + number % zones));
}

// Returns the approximate size of a message on the wire.
std::uint64_t SizeOf(const MemberGossip& gossip) {
  constexpr std::uint64_t kRecordBytes = 160;
  constexpr std::uint64_t kStatusBytes = 24;
  constexpr std::uint64_t kKeyBytes = 4;
  constexpr std::uint64_t kOtherBytes = 300;
  return kOtherBytes + kRecordBytes * gossip.members.size() +
         kStatusBytes * gossip.statuses.size() +
         kKeyBytes * (gossip.unknown.size() + gossip.known.size());
}

}  // namespace

Member MakeMember(const std::string& name, const std::string& zone,
                  std::uint64_t incarnation) {
  Member member;
  member.node = name;
  member.callers = name + ":80";
  member.peers = name + ":90";
  member.zone = zone;
  member.incarnation = incarnation;
  return member;
}

SimulatedFleet::SimulatedFleet(const Layout& layout)
    : status_(layout.nodes, NodeStatus::kRunning),
      parts_(layout.nodes, 0),
      traffic_(layout.nodes),
      unanswered_(layout.nodes) {
  for (std::size_t i = 0; i < layout.seeds; ++i)
    seeds_.push_back(MakeMember(NameOfNode(i)).peers);
  nodes_.reserve(layout.nodes);
  for (std::size_t i = 0; i < layout.nodes; ++i) {
    const Member self = MakeMember(NameOfNode(i), NameOfZone(i, layout.zones));
    nodes_.push_back(MakeMembers(self, seeds_, now_));
    by_address_[self.peers] = i;
  }
  if (layout.know_each_other) MakeAllKnown();
}

void SimulatedFleet::MakeAllKnown() {
  for (Members& members : nodes_) {
    for (const Members& other : nodes_) {
      if (other.self.node == members.self.node) continue;
      PutMember(members, other.self, now_);
    }
    OnExchangeAnswered(members, now_);
  }
}

void SimulatedFleet::Restart(std::size_t node, std::uint64_t incarnation) {
  Member self = nodes_[node].self;
  self = MakeMember(self.node, self.zone, incarnation);
  nodes_[node] = MakeMembers(self, seeds_, now_);
  unanswered_[node].clear();
  status_[node] = NodeStatus::kRunning;
}

void SimulatedFleet::Run(std::chrono::milliseconds time) {
  constexpr std::size_t kStepsPerReaderHeartbeat =
      kReaderHeartbeatInterval / kExchangeInterval;
  for (const Time end = now_ + time; now_ < end; now_ += kExchangeInterval) {
    if (++steps_ % kStepsPerReaderHeartbeat == 0) SendReaderHeartbeats();
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (!IsRunning(i)) continue;
      ReportUnanswered(i);
      TakeTurn(i);
    }
  }
}

void SimulatedFleet::TakeTurn(std::size_t node) {
  constexpr std::size_t kStepsPerTurn =
      kLargeFleetExchangeInterval / kExchangeInterval;
  Members& members = nodes_[node];
  UpdateSilentMembers(members, now_);
  UpdateMajority(members, now_);
  const bool is_turn = (steps_ + node) % kStepsPerTurn == 0;
  if (!is_turn && !IsSmallFleet(members)) return;
  IncrementHeartbeat(members);
  const std::size_t peers = MaxPeersToTry(CountStalled(node));
  for (std::size_t i = 0; i < peers; ++i)
    Connect(node, PickExchangePeer(members, random_));
  Connect(node, PickPeerBesideSuspect(members, random_));
}

// Returns the node's exchanges with members that it doesn't suspect and that
// don't answer.
std::size_t SimulatedFleet::CountStalled(std::size_t node) const {
  const auto count =
      std::count_if(unanswered_[node].begin(), unanswered_[node].end(),
                    [&](const Unanswered& exchange) {
                      return now_ - exchange.began_at >= kExchangeStallTime &&
                             !IsPeerSuspected(nodes_[node], exchange.address);
                    });
  return static_cast<std::size_t>(count);
}

void SimulatedFleet::Connect(std::size_t from, const std::string& address) {
  const auto at = by_address_.find(address);
  if (at == by_address_.end() || at->second == from) return;
  const std::size_t to = at->second;
  const bool is_same_part = parts_[from] == parts_[to];
  if (Reaches(from, to)) {
    Exchange(from, to);
  } else if (is_same_part && status_[to] == NodeStatus::kStopped) {
    OnPeerUnreachable(nodes_[from], address, now_);
  } else {
    auto& waiting = unanswered_[from];
    const bool is_waiting = std::any_of(
        waiting.begin(), waiting.end(),
        [to](const Unanswered& exchange) { return exchange.to == to; });
    if (!is_waiting) waiting.push_back({to, address, now_, false});
  }
}

void SimulatedFleet::Exchange(std::size_t from, std::size_t to) {
  Members& asking = nodes_[from];
  Members& asked = nodes_[to];
  const MemberGossip request = MakeMemberGossip(
      asking, {asked.self.peers, false, {}, {}}, random_, now_);
  ApplyMemberGossip(asked, request, now_);
  OnExchangeAnswered(asked, now_);
  OnPeerMessage(asked, asking.self.peers, now_);
  const MemberGossip answer = MakeMemberGossip(
      asked, {asking.self.peers, true, request.unknown, request.known}, random_,
      now_);
  ApplyMemberGossip(asking, answer, now_);
  OnExchangeAnswered(asking, now_);
  OnPeerMessage(asking, asked.self.peers, now_);
  ++traffic_[to].exchanges_received;
  traffic_[from].bytes_sent += SizeOf(request);
  traffic_[to].bytes_sent += SizeOf(answer);
}

bool SimulatedFleet::Reaches(std::size_t from, std::size_t to) const {
  return IsRunning(to) && parts_[to] == parts_[from];
}

void SimulatedFleet::ReportUnanswered(std::size_t node) {
  auto& waiting = unanswered_[node];
  std::erase_if(waiting, [this, node](const Unanswered& exchange) {
    return Reaches(node, exchange.to) ||
           now_ - exchange.began_at >= kExchangeTimeout;
  });
  for (Unanswered& exchange : waiting) {
    if (exchange.is_reported ||
        now_ - exchange.began_at < kMaxExchangeAnswerTime)
      continue;
    exchange.is_reported = true;
    OnPeerUnanswered(nodes_[node], exchange.address, now_);
  }
}

void SimulatedFleet::SendReaderHeartbeats() {
  for (const std::size_t reader : Readers()) {
    for (const std::string& peer : StandbyAddresses(nodes_[reader])) {
      const std::size_t standby = by_address_.at(peer);
      if (IsRunning(standby) && parts_[standby] == parts_[reader])
        OnPeerMessage(nodes_[standby], nodes_[reader].self.peers, now_);
    }
  }
}

bool SimulatedFleet::TakesForAvailable(std::size_t node,
                                       std::size_t other) const {
  const auto known = nodes_[node].others.find(nodes_[other].self.node);
  return known != nodes_[node].others.end() && IsMemberAvailable(known->second);
}

std::size_t SimulatedFleet::CountAvailable(std::size_t node) const {
  const Members& members = nodes_[node];
  const auto count = std::count_if(
      members.others.begin(), members.others.end(),
      [](const auto& entry) { return IsMemberAvailable(entry.second); });
  return static_cast<std::size_t>(count);
}

std::size_t SimulatedFleet::LowestAvailable() const {
  std::size_t lowest = nodes_.size();
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (IsRunning(i)) lowest = std::min(lowest, CountAvailable(i));
  }
  return lowest;
}

std::size_t SimulatedFleet::CountGoneTakenForAvailable() const {
  std::size_t count = 0;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    for (std::size_t j = 0; IsRunning(i) && j < nodes_.size(); ++j) {
      if (!IsRunning(j) && TakesForAvailable(i, j)) ++count;
    }
  }
  return count;
}

std::vector<std::string> SimulatedFleet::Directory(std::size_t node) {
  return DirectoryFor(nodes_[node], nodes_[node].self.zone, random_);
}

std::vector<std::size_t> SimulatedFleet::Readers() const {
  std::vector<std::size_t> readers;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (IsRunning(i) && IsReader(nodes_[i], now_)) readers.push_back(i);
  }
  return readers;
}

void SimulatedFleet::ResetTraffic() {
  std::fill(traffic_.begin(), traffic_.end(), NodeTraffic{});
}

double SimulatedFleet::MeanBytesSent() const {
  const double sum =
      std::accumulate(traffic_.begin(), traffic_.end(), 0.0,
                      [](double bytes, const NodeTraffic& traffic) {
                        return bytes + static_cast<double>(traffic.bytes_sent);
                      });
  return sum / static_cast<double>(traffic_.size());
}

}  // namespace egretladder::routing::test
