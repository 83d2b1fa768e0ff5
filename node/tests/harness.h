// Nodes wired together on one paused clock, with endpoints and platform played
// by the test.
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

/// Two nodes, two endpoints and one class of each kind.
inline std::string RulesText(int version = 1, const std::string& bole = "") {
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
  Harness() : text_(RulesText()) {
    for (const char* name : {"n1", "n2"}) StartOne(name);
    Step(milliseconds(12000));  // Leases of slots are out by then.
  }

  TestNode& n1() { return nodes_[0]; }
  TestNode& n2() { return nodes_[1]; }
  kernel::Time now() const { return clock_.now; }

  void Publish(const std::string& text) { text_ = text; }

  /// Moves the clock without a tick, as a paused process sees it.
  void Pause(milliseconds span) { kernel::Advance(clock_, span); }

  void Step(milliseconds span) {
    for (milliseconds done{0}; done < span; done += kNodeTick) {
      kernel::Advance(clock_, kNodeTick);
      for (TestNode& node : nodes_) {
        Actions out;
        if (node.running) OnTick(*node.state, now(), out);
        Take(node, out);
      }
    }
  }

  /// A call of account `abay`; its body is its number.
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
    Take(node, out);
  }
  bool AskSend(TestNode& node, const SendCall& send) {
    Actions out;
    const bool may = MaySend(*node.state, send.call, send.attempt, now(), out);
    Take(node, out);
    return may;
  }
  void Answer(TestNode& node, const SendCall& send,
              const std::string& body = "") {
    Actions out;
    auto answer = std::make_shared<fleet::StoredAnswer>();
    answer->status = 200;
    answer->body = body;
    OnAnswer(*node.state, send.call, send.attempt, answer, now(), out);
    Take(node, out);
  }
  /// An answer that was too large to be kept.
  void AnswerUnkept(TestNode& node, const SendCall& send) {
    Actions out;
    OnAnswer(*node.state, send.call, send.attempt, nullptr, now(), out);
    Take(node, out);
  }
  void Fail(TestNode& node, const SendCall& send, policy::EndKind end) {
    Actions out;
    OnFailure(*node.state, send.call, send.attempt, end, "connect: e", now(),
              out);
    Take(node, out);
  }
  void Gone(TestNode& node, CallId call) {
    Actions out;
    OnCallerGone(*node.state, call, now(), out);
    Take(node, out);
  }
  void LeaveNode(TestNode& node) {
    Actions out;
    Leave(*node.state, now(), out);
    Take(node, out);
  }
  void Forwarded(TestNode& node, CallId call, bool answered, bool sent) {
    Actions out;
    OnForwarded(*node.state, call, answered, sent, now(), out);
    Take(node, out);
  }
  std::string LaneOf(TestNode& node) {
    return Where(*node.state, "bole", now()).lane;
  }
  /// Starts the node anew, without memory.
  void Restart(TestNode& node) {
    ++node.incarnation;
    StartState(node);
    Step(milliseconds(12000));
  }

 private:
  void StartOne(const char* name) {
    TestNode& node = nodes_.emplace_back();
    node.name = name;
    node.incarnation = 100 * nodes_.size();
    StartState(node);
  }

  void StartState(TestNode& node) {
    const bool first = node.name == "n1";
    NodeOptions options;
    options.fleet.node = node.name;
    options.fleet.caller_address = first ? "10.0.1.1:1" : "10.0.1.2:1";
    options.fleet.peer_address = first ? "10.0.1.1:2" : "10.0.1.2:2";
    options.fleet.zone = first ? "bole" : "yeka";
    options.fleet.incarnation = node.incarnation;
    options.fleet.started = node.incarnation;
    options.lane_secret = "secret of " + node.name;
    options.scheduler = "least";
    Actions out;
    node.state = StartNode(options, now(), out).value();
    Take(node, out);
  }

  void Take(TestNode& node, Actions& out) {
    for (Action& action : out) {
      std::visit([&](auto& a) { TakeOne(node, a); }, action);
    }
  }

  void TakeOne(TestNode& node, SendCall& a) { node.sent.push_back(a); }
  void TakeOne(TestNode& node, CancelCall& a) { node.cancels.push_back(a); }
  void TakeOne(TestNode& node, AnswerError& a) { node.errors.push_back(a); }
  void TakeOne(TestNode& node, AnswerStored& a) { node.stored.push_back(a); }
  void TakeOne(TestNode& node, ForwardCall& a) { node.forwards.push_back(a); }
  void TakeOne(TestNode& node, Decision& a) { node.decisions.push_back(a); }
  void TakeOne(TestNode& from, fleet::SendMessage& a) {
    for (TestNode& to : nodes_) {
      const bool is_to =
          a.peer_address == (to.name == "n1" ? "10.0.1.1:2" : "10.0.1.2:2");
      if (!is_to || !to.running || !to.state) continue;
      Actions out;
      node::OnMessage(*to.state, {from.name, from.incarnation}, a.message,
                      now(), out);
      Take(to, out);
    }
  }
  void TakeOne(TestNode& node, fleet::ReadRulesDocument& a) {
    const auto in_force = RulesOf(*node.state);
    const bool same = in_force != nullptr && in_force->text == text_;
    // A watch that ends without news gives an empty document, not none.
    const std::string nothing;
    Actions out;
    OnRulesDocument(*node.state, a.watch && same ? &nothing : &text_, now(),
                    out);
    Take(node, out);
  }
  void TakeOne(TestNode& node, fleet::ReadVmList&) {
    const std::vector<fleet::VmEntry> vms = {
        {"n1", false}, {"n2", false}, {"e1", false}, {"e2", false}};
    Actions out;
    OnVmList(*node.state, &vms, now(), out);
    Take(node, out);
  }
  void TakeOne(TestNode& node, fleet::ReadReport& a) {
    policy::EngineReport report;
    report.boot = 1;
    Actions out;
    OnReport(*node.state, a.endpoint, &report, now(), out);
    Take(node, out);
  }
  void TakeOne(TestNode&, fleet::OrderEngine&) {}
  void TakeOne(TestNode&, fleet::RulesInForce&) {}
  void TakeOne(TestNode&, fleet::RulesRefused&) {}

  kernel::ManualClock clock_;
  std::string text_;
  std::vector<TestNode> nodes_;
};

}  // namespace egretladder::node::test
