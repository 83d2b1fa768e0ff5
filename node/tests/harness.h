// Connects two nodes on one manual clock. The harness plays the platform and
// the endpoints' reports; the tests play the callers and the endpoints'
// answers.
#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "egretladder/kernel/time.h"
#include "egretladder/node/node.h"

namespace egretladder::node::test {

using std::chrono::milliseconds;

/// Returns rules with two nodes, two endpoints, two repeatable classes and one
/// class that runs at most once. `bole` holds settings of the zone of that
/// name.
inline std::string MakeRulesText(int version = 1,
                                 const std::string& bole = "") {
  return "[document]\nversion = " + std::to_string(version) +
         " ; H\n[zone]\nbole = " + bole + " ; H\nyeka = ; H\n" +
         "[model]\ntrace = ; H\n[service]\nseats = ; H\n"
         "[class]\n"
         "buyer = tier=1 first_token=2s max_wait=20s ; H\n"
         "bulk = tier=5 first_token=10s max_wait=60s ; H\n"
         "pay = tier=1 first_token=2s max_wait=20s repeatable=no ; H\n"
         "[account]\n"
         "abay = classes=buyer,bulk,pay ; H\nbroker = classes=bulk ; H\n"
         "[endpoint]\n"
         "e1 = address=10.0.0.1:1 zone=bole serves=trace,seats bears=4 "
         "cold_bears=2 ; H\n"
         "e2 = address=10.0.0.2:1 zone=yeka serves=trace,seats bears=4 "
         "cold_bears=2 ; H\n"
         "[node]\n"
         "n1 = callers=10.0.1.1:1 peers=10.0.1.1:2 zone=bole ; H\n"
         "n2 = callers=10.0.1.2:1 peers=10.0.1.2:2 zone=yeka ; H\n";
}

/// A node with the actions that it has emitted.
struct TestNode {
  std::string name;
  std::uint64_t incarnation = 0;
  NodePtr state;
  bool running = true;
  std::vector<SendCall> sent;
  std::vector<AnswerError> errors;
  std::vector<AnswerStored> stored;
  std::vector<ForwardCall> forwards;
  std::vector<CancelCall> cancels;
  std::vector<Decision> decisions;
};

class Harness {
 public:
  explicit Harness(std::string scheduler = "least")
      : scheduler_(std::move(scheduler)), text_(MakeRulesText()) {
    for (const char* name : {"n1", "n2"}) AddNode(name);
    RunFor(milliseconds(12000));  // Slots are leased by then.
  }

  TestNode& node1() { return nodes_[0]; }
  TestNode& node2() { return nodes_[1]; }
  kernel::Time now() const { return clock_.now; }

  /// Sets the rules document that the platform returns from now on.
  void Publish(const std::string& text) { text_ = text; }

  /// Advances the clock without a tick, like a pause of the whole process.
  void PauseFor(milliseconds span) { kernel::Advance(clock_, span); }

  /// Advances the clock by `span`, with a tick of each running node.
  void RunFor(milliseconds span) {
    for (milliseconds elapsed{0}; elapsed < span;
         elapsed += kNodeTickInterval) {
      kernel::Advance(clock_, kNodeTickInterval);
      for (TestNode& node : nodes_) {
        Actions out;
        if (node.running) OnTick(*node.state, now(), out);
        Apply(node, out);
      }
    }
  }

  /// Makes a call of account `abay` with `id` as the hash of its body.
  Call MakeCall(const std::string& cls, CallId id) const {
    Call call;
    call.id = id;
    call.account = "abay";
    call.cls = cls;
    call.target = cls == "pay" ? "seats" : "trace";
    call.body_hash = id;
    return call;
  }

  void Send(TestNode& node, const Call& call) {
    Actions out;
    OnCall(*node.state, call, now(), out);
    Apply(node, out);
  }
  /// Returns what the node answers to `MaySend`.
  bool TrySend(TestNode& node, const SendCall& send) {
    Actions out;
    const bool may_send =
        MaySend(*node.state, send.call, send.attempt, now(), out);
    Apply(node, out);
    return may_send;
  }
  void Answer(TestNode& node, const SendCall& send,
              const std::string& body = "") {
    Actions out;
    auto answer = std::make_shared<fleet::StoredAnswer>();
    answer->status = 200;
    answer->body = body;
    OnAnswer(*node.state, send.call, send.attempt, answer, now(), out);
    Apply(node, out);
  }
  /// Ends an attempt with an answer that was too large to be kept.
  void AnswerWithoutStoring(TestNode& node, const SendCall& send) {
    Actions out;
    OnAnswer(*node.state, send.call, send.attempt, nullptr, now(), out);
    Apply(node, out);
  }
  /// Ends an attempt without an answer.
  void Fail(TestNode& node, const SendCall& send, policy::EndKind end) {
    Actions out;
    OnFailure(*node.state, send.call, send.attempt, end, "connect: e", now(),
              out);
    Apply(node, out);
  }
  /// Passes on what an endpoint's answer states about it.
  void Notice(TestNode& node, const SendCall& send,
              const EndpointNotice& notice) {
    Actions out;
    OnNotice(*node.state, send.call, send.attempt, notice, now(), out);
    Apply(node, out);
  }
  void ReportNotice(TestNode& node, EndpointHandle endpoint,
                    const EndpointNotice& notice) {
    Actions out;
    OnReportNotice(*node.state, endpoint, notice, now(), out);
    Apply(node, out);
  }
  /// Sets the boot that the endpoints report from now on.
  void SetBoot(std::uint64_t boot) { boot_ = boot; }
  void DisconnectCaller(TestNode& node, CallId call) {
    Actions out;
    OnCallerGone(*node.state, call, now(), out);
    Apply(node, out);
  }
  void BeginLeave(TestNode& node) {
    Actions out;
    Leave(*node.state, now(), out);
    Apply(node, out);
  }
  void EndForward(TestNode& node, CallId call, bool answered, bool sent) {
    Actions out;
    OnForwarded(*node.state, call, answered, sent, now(), out);
    Apply(node, out);
  }
  std::string IssueLane(TestNode& node) {
    return Where(*node.state, "bole", now()).lane;
  }
  /// Restarts the node's process without its memory.
  void Restart(TestNode& node) {
    ++node.incarnation;
    StartNodeState(node);
    RunFor(milliseconds(12000));
  }

 private:
  void AddNode(const char* name) {
    TestNode& node = nodes_.emplace_back();
    node.name = name;
    node.incarnation = 100 * nodes_.size();
    StartNodeState(node);
  }

  void StartNodeState(TestNode& node) {
    const bool is_first = node.name == "n1";
    NodeOptions options;
    options.fleet.node = node.name;
    options.fleet.caller_address = is_first ? "10.0.1.1:1" : "10.0.1.2:1";
    options.fleet.peer_address = is_first ? "10.0.1.1:2" : "10.0.1.2:2";
    options.fleet.zone = is_first ? "bole" : "yeka";
    options.fleet.incarnation = node.incarnation;
    options.fleet.started = node.incarnation;
    options.lane_secret = "secret of " + node.name;
    options.scheduler = scheduler_;
    Actions out;
    node.state = StartNode(options, now(), out).value();
    Apply(node, out);
  }

  void Apply(TestNode& node, Actions& out) {
    for (Action& action : out) {
      std::visit([&](auto& each) { ApplyAction(node, each); }, action);
    }
  }

  void ApplyAction(TestNode& node, SendCall& action) {
    node.sent.push_back(action);
  }
  void ApplyAction(TestNode& node, CancelCall& action) {
    node.cancels.push_back(action);
  }
  void ApplyAction(TestNode& node, AnswerError& action) {
    node.errors.push_back(action);
  }
  void ApplyAction(TestNode& node, AnswerStored& action) {
    node.stored.push_back(action);
  }
  void ApplyAction(TestNode& node, ForwardCall& action) {
    node.forwards.push_back(action);
  }
  void ApplyAction(TestNode& node, Decision& action) {
    node.decisions.push_back(action);
  }
  void ApplyAction(TestNode& from, fleet::SendMessage& action) {
    for (TestNode& to : nodes_) {
      const bool is_receiver = action.peer_address ==
                               (to.name == "n1" ? "10.0.1.1:2" : "10.0.1.2:2");
      if (!is_receiver || !to.running || !to.state) continue;
      Actions out;
      node::OnMessage(*to.state, {from.name, from.incarnation}, action.message,
                      now(), out);
      Apply(to, out);
    }
  }
  void ApplyAction(TestNode& node, fleet::ReadRulesDocument& action) {
    const auto in_force = RulesOf(*node.state);
    const bool is_unchanged = in_force != nullptr && in_force->text == text_;
    // A watch that ends without a change returns an empty document, not null.
    const std::string empty;
    Actions out;
    OnRulesDocument(*node.state, action.watch && is_unchanged ? &empty : &text_,
                    now(), out);
    Apply(node, out);
  }
  void ApplyAction(TestNode& node, fleet::ReadVmList&) {
    const std::vector<fleet::VmEntry> vms = {
        {"n1", false}, {"n2", false}, {"e1", false}, {"e2", false}};
    Actions out;
    OnVmList(*node.state, &vms, now(), out);
    Apply(node, out);
  }
  void ApplyAction(TestNode& node, fleet::ReadReport& action) {
    policy::EngineReport report;
    report.boot = boot_;
    Actions out;
    OnReport(*node.state, action.endpoint, &report, now(), out);
    Apply(node, out);
  }
  void ApplyAction(TestNode&, fleet::OrderEngine&) {}
  void ApplyAction(TestNode&, fleet::RulesInForce&) {}
  void ApplyAction(TestNode&, fleet::RulesRefused&) {}

  kernel::ManualClock clock_;
  std::string scheduler_;
  std::string text_;
  std::uint64_t boot_ = 1;
  std::vector<TestNode> nodes_;
};

}  // namespace egretladder::node::test
