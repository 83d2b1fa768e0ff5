#include <CppUTest/TestHarness.h>

#include <string>

#include "harness.h"

using namespace std::chrono_literals;
namespace en = egretladder::node;
namespace ep = egretladder::policy;
using en::AnswerCode;
using en::RunStatus;

namespace {

void CheckError(const en::test::TestNode& node, AnswerCode code,
                RunStatus ran) {
  CHECK_FALSE(node.errors.empty());
  const en::AnswerError& error = node.errors.back();
  STRCMP_EQUAL(NameOf(code), NameOf(error.code));
  STRCMP_EQUAL(NameOf(ran), NameOf(error.ran));
}

bool HasDecision(const en::test::TestNode& node, const std::string& kind,
                 const std::string& reason) {
  for (const en::Decision& decision : node.decisions) {
    if (decision.kind == kind && decision.reason == reason) return true;
  }
  return false;
}

}  // namespace

TEST_GROUP(Calls) {
  en::test::Harness harness_;
  en::test::TestNode& node1_ = harness_.node1();
};

// A misconfigured client sends a name that the rules don't declare. It must be
// told which name is wrong, and its call must not run under the limits of
// another account or class.
TEST(Calls, RefusesUndeclaredNames) {
  en::Call call = harness_.MakeCall("buyer", 1);
  call.account = "nobody";
  harness_.Send(node1_, call);
  CheckError(node1_, AnswerCode::kUnknownAccount, RunStatus::kDidNotRun);
  call = harness_.MakeCall("none", 2);
  harness_.Send(node1_, call);
  CheckError(node1_, AnswerCode::kUnknownClass, RunStatus::kDidNotRun);
  call = harness_.MakeCall("buyer", 3);
  call.account = "broker";
  harness_.Send(node1_, call);
  CheckError(node1_, AnswerCode::kClassNotAllowed, RunStatus::kDidNotRun);
  call = harness_.MakeCall("buyer", 4);
  call.target = "none";
  harness_.Send(node1_, call);
  CheckError(node1_, AnswerCode::kUnknownTarget, RunStatus::kDidNotRun);
  CHECK_TRUE(IsIdle(*node1_.state));
  CHECK_EQUAL(0U, node1_.sent.size());
}

// A node that starts while the platform is down has no rules yet. If it didn't
// answer at once, its callers would wait here instead of trying another node.
TEST(Calls, AnswersNotReadyBeforeRulesAreInForce) {
  en::Actions out;
  en::NodeOptions options;
  options.fleet.node = "n9";
  const auto node = en::StartNode(options, harness_.now(), out);
  out.clear();
  en::OnCall(*node.value(), harness_.MakeCall("buyer", 1), harness_.now(), out);
  CHECK_EQUAL(1U, out.size());
  CHECK(std::get<en::AnswerError>(out[0]).code == AnswerCode::kNotReady);
  options.scheduler = "none";
  CHECK_FALSE(en::StartNode(options, harness_.now(), out).has_value());
}

TEST(Calls, EmitsADispatchDecisionForAnAnsweredCall) {
  harness_.Send(node1_, harness_.MakeCall("buyer", 1));
  CHECK_EQUAL(1U, node1_.sent.size());
  const en::SendCall send = node1_.sent[0];
  CHECK_TRUE(harness_.TrySend(node1_, send));
  CHECK_FALSE(harness_.TrySend(node1_, send));
  harness_.Answer(node1_, send);
  CHECK_TRUE(IsIdle(*node1_.state));
  CHECK_EQUAL(0U, node1_.errors.size());
  CHECK_TRUE(
      HasDecision(node1_, "dispatch", NameOf(ep::PickReason::kBaseline)));
}

// An endpoint refuses the connection. The call has certainly not run, so it is
// retried at the other endpoint after a short delay, without an error.
TEST(Calls, RetriesACallThatDidNotRunAtAnotherEndpoint) {
  harness_.Send(node1_, harness_.MakeCall("buyer", 1));
  const en::SendCall first = node1_.sent[0];
  harness_.TrySend(node1_, first);
  harness_.Fail(node1_, first, ep::EndKind::kNotRun);
  CHECK_EQUAL(1U, node1_.sent.size());  // The retry is delayed.
  harness_.RunFor(200ms);
  CHECK_EQUAL(2U, node1_.sent.size());
  CHECK_EQUAL(2, node1_.sent[1].attempt);
  // Late events of the first attempt are ignored.
  harness_.Fail(node1_, first, ep::EndKind::kFailed);
  CHECK_TRUE(harness_.TrySend(node1_, node1_.sent[1]));
  harness_.Answer(node1_, node1_.sent[1]);
  CHECK_EQUAL(0U, node1_.errors.size());
}

// A service restarts between two calls and the next connection is refused. If
// the node kept its slots there, it would send the cold process as many calls
// as the warm one could handle.
TEST(Calls, ReleasesSlotsOfAnEndpointThatRefusesConnections) {
  const auto slots_at = [&](ep::EndpointHandle endpoint) {
    for (const auto& view :
         ViewOf(*node1_.state, harness_.now()).scheduler.endpoints) {
      if (view.endpoint == endpoint) return view.slots;
    }
    return 0U;
  };
  harness_.Send(node1_, harness_.MakeCall("buyer", 1));
  const en::SendCall send = node1_.sent[0];
  const auto before = slots_at(send.endpoint);
  harness_.Fail(node1_, send, ep::EndKind::kNotRun);
  CHECK(slots_at(send.endpoint) < before);
  // A call that the driver dropped says nothing about the endpoint.
  harness_.RunFor(100ms);
  const en::SendCall again = node1_.sent[1];
  const auto other = slots_at(again.endpoint);
  harness_.Fail(node1_, again, ep::EndKind::kCancelled);
  CHECK_EQUAL(other, slots_at(again.endpoint));
}

// An endpoint fails in the middle of an answer. After a retry, the caller would
// read parts of two answers as one.
TEST(Calls, NeverRetriesAfterTheAnswerStarted) {
  harness_.Send(node1_, harness_.MakeCall("buyer", 1));
  harness_.TrySend(node1_, node1_.sent[0]);
  en::OnFirstToken(*node1_.state, 1, 1, harness_.now());
  harness_.Fail(node1_, node1_.sent[0], ep::EndKind::kFailed);
  CheckError(node1_, AnswerCode::kEndpointFailed, RunStatus::kUnknown);
  CHECK_TRUE(
      HasDecision(node1_, "no_retry", NameOf(ep::RetryReason::kAnswerStarted)));
  CHECK_TRUE(IsIdle(*node1_.state));
}

// Every attempt fails after it was sent. The caller gets one error answer after
// the last attempt, and it says that the call may have run.
TEST(Calls, FailsACallAfterTheLastAttempt) {
  harness_.Send(node1_, harness_.MakeCall("buyer", 1));
  for (std::size_t i = 0; i < node1_.sent.size(); ++i) {
    const en::SendCall send = node1_.sent[i];
    harness_.TrySend(node1_, send);
    harness_.Fail(node1_, send, ep::EndKind::kFailed);
    harness_.RunFor(300ms);
  }
  CHECK_EQUAL(std::size_t{ep::kMaxAttempts}, node1_.sent.size());
  CheckError(node1_, AnswerCode::kEndpointFailed, RunStatus::kUnknown);
  CHECK(node1_.errors[0].retry_after > 0ms);
  CHECK_EQUAL(1U, node1_.errors.size());
}

// A call times out before it is sent, or while it runs. In the first case its
// caller is told that it did not run; in the second the outcome is unknown.
TEST(Calls, TimeoutSaysWhetherTheCallMayHaveRun) {
  en::Call call = harness_.MakeCall("buyer", 1);
  call.timeout = 500ms;
  harness_.Send(node1_, call);
  harness_.RunFor(600ms);
  CheckError(node1_, AnswerCode::kTimeout, RunStatus::kDidNotRun);
  CHECK_EQUAL(1U, node1_.cancels.size());
  call.id = 2;
  harness_.Send(node1_, call);
  CHECK_TRUE(harness_.TrySend(node1_, node1_.sent.back()));
  harness_.RunFor(600ms);
  CheckError(node1_, AnswerCode::kTimeout, RunStatus::kUnknown);
  CHECK_TRUE(IsIdle(*node1_.state));
}

// A caller disconnects while its call runs. If the work were not cancelled at
// the endpoint, it would hold a slot that waiting calls need.
TEST(Calls, CancelsTheWorkOfADisconnectedCaller) {
  harness_.Send(node1_, harness_.MakeCall("buyer", 1));
  harness_.TrySend(node1_, node1_.sent[0]);
  harness_.DisconnectCaller(node1_, 1);
  CHECK_EQUAL(1U, node1_.cancels.size());
  CHECK_TRUE(IsIdle(*node1_.state));
  harness_.Answer(node1_, node1_.sent[0]);
  CHECK_EQUAL(0U, node1_.errors.size());
}

// There are more calls than slots. Calls without a slot wait until one is
// released; after the longest wait of their class they are refused as not run.
TEST(Calls, QueuesCallsWithoutASlotAndRefusesThemAfterMaxWait) {
  for (en::CallId id = 1; id <= 40; ++id) {
    harness_.Send(node1_, harness_.MakeCall("buyer", id));
  }
  const std::size_t sent = node1_.sent.size();
  CHECK(sent > 0 && sent < 40);
  harness_.TrySend(node1_, node1_.sent[0]);
  harness_.Answer(node1_, node1_.sent[0]);
  CHECK_EQUAL(sent + 1, node1_.sent.size());
  for (const en::SendCall& send : node1_.sent) harness_.TrySend(node1_, send);
  harness_.RunFor(21s);
  CheckError(node1_, AnswerCode::kOverloaded, RunStatus::kDidNotRun);
  // The log line names the limit, not only that the node is overloaded.
  CHECK_TRUE(
      HasDecision(node1_, "refuse", NameOf(ep::RefuseReason::kWaitedTooLong)));
}

// The process is paused for seconds between the choice of an endpoint and the
// first byte. Meanwhile operators may have taken the zone out and the caller
// may have turned to another node, so the stale attempt must not be sent.
TEST(Calls, HoldsStaleAttemptsAfterAPause) {
  harness_.Send(node1_, harness_.MakeCall("bulk", 1));
  harness_.PauseFor(5s);
  CHECK_FALSE(harness_.TrySend(node1_, node1_.sent[0]));
  CHECK_TRUE(HasDecision(node1_, "hold", "knowledge_old"));
  // Both nodes were paused: a keeper needs the other node's answers for its
  // mandate and a lease before it can lease slots again.
  harness_.RunFor(6s);
  CHECK(node1_.sent.size() >= 2U);
  CHECK_TRUE(harness_.TrySend(node1_, node1_.sent.back()));
  // After the longest wait of its class, the call isn't sent at all.
  harness_.Send(node1_, harness_.MakeCall("buyer", 2));
  harness_.PauseFor(25s);
  CHECK_FALSE(harness_.TrySend(node1_, node1_.sent.back()));
  CheckError(node1_, AnswerCode::kTimeout, RunStatus::kDidNotRun);
}

// A partitioned node stops sending, since a zone may have been taken out
// without its knowledge. If a call were held for as long as the partition
// lasts, its caller would hang; after the longest wait of its class it must be
// refused as not run.
TEST(Calls, RefusesARepeatedlyHeldCallAfterMaxWait) {
  harness_.Send(node1_, harness_.MakeCall("buyer", 1));
  std::size_t checked = 0;
  for (int i = 0; i < 200 && node1_.errors.empty(); ++i) {
    harness_.PauseFor(450ms);  // The node's view is stale at each attempt.
    for (; checked < node1_.sent.size(); ++checked) {
      CHECK_FALSE(harness_.TrySend(node1_, node1_.sent[checked]));
    }
    harness_.RunFor(20ms);
  }
  CHECK_EQUAL(1U, node1_.errors.size());
  STRCMP_EQUAL("no", NameOf(node1_.errors[0].ran));
  CHECK(node1_.decisions.back().waited < 22s);
}

// Operators take a zone out between the choice of an endpoint and the first
// byte. The call must be held back and sent to the remaining zone.
TEST(Calls, HoldsAttemptsInAZoneThatWasTakenOut) {
  for (en::CallId id = 1; id <= 2; ++id) {
    harness_.Send(node1_, harness_.MakeCall("buyer", id));
  }
  harness_.Publish(en::test::MakeRulesText(2, "out=yes"));
  harness_.RunFor(3s);
  CHECK_EQUAL(2U, RulesOf(*node1_.state)->version);
  const std::vector<en::SendCall> before = node1_.sent;
  for (const en::SendCall& send : before) {
    const bool in_yeka = send.address == "10.0.0.2:1";
    CHECK_EQUAL(in_yeka, harness_.TrySend(node1_, send));
  }
  harness_.RunFor(1s);
  CHECK(node1_.sent.size() > before.size());
  for (std::size_t i = before.size(); i < node1_.sent.size(); ++i) {
    STRCMP_EQUAL("10.0.0.2:1", node1_.sent[i].address.c_str());
  }
  CHECK_TRUE(HasDecision(node1_, "hold", "endpoint_unavailable"));
}

// One request's body crashes each engine that runs it. It must not be tried a
// third time, while a call that ran beside it on the same engine must be
// retried and answered.
TEST(Calls, RetriesCallsThatRanBesideAPoisonRequest) {
  harness_.Send(node1_, harness_.MakeCall("bulk", 1));
  const en::SendCall first = node1_.sent[0];
  harness_.TrySend(node1_, first);
  harness_.Fail(node1_, first, ep::EndKind::kDied);
  harness_.RunFor(100ms);
  CHECK_EQUAL(2U, node1_.sent.size());
  harness_.Send(node1_, harness_.MakeCall("bulk", 2));
  for (std::size_t i = 1; i < node1_.sent.size(); ++i) {
    harness_.TrySend(node1_, node1_.sent[i]);
  }
  harness_.Fail(node1_, node1_.sent[1], ep::EndKind::kDied);
  CheckError(node1_, AnswerCode::kEndpointFailed, RunStatus::kUnknown);
  CHECK_TRUE(HasDecision(node1_, "no_retry", NameOf(ep::RetryReason::kPoison)));
  CHECK_EQUAL(1U, node1_.errors.size());
  CHECK_EQUAL(1U, node1_.errors[0].call);
  const en::SendCall neighbour = node1_.sent[2];
  harness_.Fail(node1_, neighbour, ep::EndKind::kDied);
  harness_.RunFor(300ms);
  CHECK_EQUAL(4U, node1_.sent.size());
  CHECK_EQUAL(2U, node1_.sent[3].call);
  CHECK_TRUE(harness_.TrySend(node1_, node1_.sent[3]));
  harness_.Answer(node1_, node1_.sent[3]);
  CHECK_EQUAL(1U, node1_.errors.size());
}

// The caller of a poison request sends it again, to any node. If a node didn't
// know of the quarantine, the request would crash another engine there.
TEST(Calls, RefusesAQuarantinedBodyAtEveryNode) {
  harness_.Send(node1_, harness_.MakeCall("bulk", 1));
  for (std::size_t i = 0; i < 2; ++i) {
    const en::SendCall send = node1_.sent[i];
    CHECK_TRUE(harness_.TrySend(node1_, send));
    harness_.Fail(node1_, send, ep::EndKind::kDied);
    harness_.RunFor(300ms);
  }
  harness_.RunFor(3s);
  for (en::test::TestNode* node : {&node1_, &harness_.node2()}) {
    en::Call again = harness_.MakeCall("bulk", 3);
    again.body_hash = 1;
    harness_.Send(*node, again);
    harness_.RunFor(100ms);
    CheckError(*node, AnswerCode::kQuarantined, RunStatus::kDidNotRun);
  }
}

// Operators stop a node. It is no longer listed in answers to `/where`, new
// calls are refused as not run, and the answer in progress must reach its
// caller completely.
TEST(Calls, LeavesWithoutCancellingRunningCalls) {
  harness_.Send(node1_, harness_.MakeCall("buyer", 1));
  harness_.TrySend(node1_, node1_.sent[0]);
  harness_.BeginLeave(node1_);
  const en::WhereAnswer where =
      en::Where(*node1_.state, "bole", harness_.now());
  CHECK_TRUE(where.lane.empty());
  for (const std::string& address : where.addresses) {
    CHECK(address != "10.0.1.1:1");
  }
  harness_.Send(node1_, harness_.MakeCall("buyer", 2));
  CheckError(node1_, AnswerCode::kLeaving, RunStatus::kDidNotRun);
  CHECK_FALSE(IsIdle(*node1_.state));
  CHECK_EQUAL(0U, node1_.cancels.size());
  harness_.Answer(node1_, node1_.sent[0]);
  CHECK_TRUE(IsIdle(*node1_.state));
  CHECK_FALSE(ViewOf(*node1_.state, harness_.now()).ready);
}

// A network partition separates one node from the two others. It holds no
// leases, so callers that ask it must be given a node of the other side first,
// or they are refused until the partition heals.
TEST(Calls, ListsAMajorityNodeFirstDuringAPartition) {
  std::string text = en::test::MakeRulesText(2);
  text += "n3 = callers=10.0.1.3:1 peers=10.0.1.3:2 zone=yeka ; H\n";
  harness_.Publish(text);
  harness_.RunFor(3s);
  auto where = en::Where(*node1_.state, "bole", harness_.now());
  STRCMP_EQUAL("10.0.1.1:1", where.addresses[0].c_str());
  STRCMP_EQUAL("10.0.1.1:1", where.lane_address.c_str());
  harness_.node2().running = false;
  harness_.RunFor(8s);
  where = en::Where(*node1_.state, "bole", harness_.now());
  CHECK_EQUAL(2U, where.addresses.size());
  CHECK(where.addresses[0] != "10.0.1.1:1");
}

TEST(Calls, EveryErrorCodeHasANameAndAStatus) {
  for (int code = 0; code <= static_cast<int>(AnswerCode::kOutcomeUnknown);
       ++code) {
    const auto value = static_cast<AnswerCode>(code);
    CHECK(std::string(NameOf(value)) != "unknown");
    CHECK(HttpStatusFor(value) >= 400 && HttpStatusFor(value) != 500);
  }
}
