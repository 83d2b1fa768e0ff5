#include <CppUTest/TestHarness.h>

#include <string>

#include "harness.h"

using namespace std::chrono_literals;
namespace en = egretladder::node;
namespace ep = egretladder::policy;
using en::AnswerCode;
using en::Ran;

namespace {

void CheckError(const en::test::TestNode& node, AnswerCode code, Ran ran) {
  CHECK_FALSE(node.errors.empty());
  const en::AnswerError& error = node.errors.back();
  STRCMP_EQUAL(NameOf(code), NameOf(error.code));
  STRCMP_EQUAL(NameOf(ran), NameOf(error.ran));
}

bool Decided(const en::test::TestNode& node, const std::string& kind,
             const std::string& reason) {
  for (const en::Decision& decision : node.decisions) {
    if (decision.kind == kind && decision.reason == reason) return true;
  }
  return false;
}

}  // namespace

TEST_GROUP(Calls) {
  en::test::Harness harness_;
  en::test::TestNode& n1_ = harness_.n1();
};

// A client is set up with a wrong name. It must learn which one, and nothing of
// its call may run under somebody else's limits.
TEST(Calls, RefusesNamesThatTheRulesDoNotDeclare) {
  en::Call call = harness_.MakeCall("buyer", 1);
  call.account = "nobody";
  harness_.Send(n1_, call);
  CheckError(n1_, AnswerCode::kUnknownAccount, Ran::kNo);
  call = harness_.MakeCall("none", 2);
  harness_.Send(n1_, call);
  CheckError(n1_, AnswerCode::kUnknownClass, Ran::kNo);
  call = harness_.MakeCall("buyer", 3);
  call.account = "broker";
  harness_.Send(n1_, call);
  CheckError(n1_, AnswerCode::kClassNotAllowed, Ran::kNo);
  call = harness_.MakeCall("buyer", 4);
  call.target = "none";
  harness_.Send(n1_, call);
  CheckError(n1_, AnswerCode::kUnknownTarget, Ran::kNo);
  CHECK_TRUE(IsIdle(*n1_.state));
  CHECK_EQUAL(0U, n1_.sent.size());
}

// A node starts while the platform is down and knows no limits yet. A caller
// who got no answer at once would wait here instead of asking another node.
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

TEST(Calls, SendsAndAnswersWithADecisionForTheLog) {
  harness_.Send(n1_, harness_.MakeCall("buyer", 1));
  CHECK_EQUAL(1U, n1_.sent.size());
  const en::SendCall send = n1_.sent[0];
  CHECK_TRUE(harness_.AskSend(n1_, send));
  CHECK_FALSE(harness_.AskSend(n1_, send));
  harness_.Answer(n1_, send);
  CHECK_TRUE(IsIdle(*n1_.state));
  CHECK_EQUAL(0U, n1_.errors.size());
  CHECK_TRUE(Decided(n1_, "dispatch", NameOf(ep::PickReason::kBaseline)));
}

// An endpoint refuses the connection. The call certainly did not run, so it
// goes to the other endpoint and its caller notices a few milliseconds.
TEST(Calls, RetriesElsewhereWhatDidNotRun) {
  harness_.Send(n1_, harness_.MakeCall("buyer", 1));
  const en::SendCall first = n1_.sent[0];
  harness_.AskSend(n1_, first);
  harness_.Fail(n1_, first, ep::EndKind::kNotRun);
  CHECK_EQUAL(1U, n1_.sent.size());  // Only after a delay.
  harness_.Step(200ms);
  CHECK_EQUAL(2U, n1_.sent.size());
  CHECK_EQUAL(2, n1_.sent[1].attempt);
  // What the first attempt still says counts no more.
  harness_.Fail(n1_, first, ep::EndKind::kFailed);
  CHECK_TRUE(harness_.AskSend(n1_, n1_.sent[1]));
  harness_.Answer(n1_, n1_.sent[1]);
  CHECK_EQUAL(0U, n1_.errors.size());
}

// A service restarts between two calls. The next call finds nobody listening:
// the node gives up its slots there, so that the fresh process is not sent what
// the warm one bore.
TEST(Calls, GivesUpItsSlotsAtAnEndpointThatTakesNoConnection) {
  const auto slots_at = [&](ep::EndpointHandle endpoint) {
    for (const auto& view :
         ViewOf(*n1_.state, harness_.now()).scheduler.endpoints) {
      if (view.endpoint == endpoint) return view.slots;
    }
    return 0U;
  };
  harness_.Send(n1_, harness_.MakeCall("buyer", 1));
  const en::SendCall send = n1_.sent[0];
  const auto before = slots_at(send.endpoint);
  harness_.Fail(n1_, send, ep::EndKind::kNotRun);
  CHECK(slots_at(send.endpoint) < before);
  // A driver that dropped the call says nothing of the endpoint.
  harness_.Step(100ms);
  const en::SendCall again = n1_.sent[1];
  const auto other = slots_at(again.endpoint);
  harness_.Fail(n1_, again, ep::EndKind::kCancelled);
  CHECK_EQUAL(other, slots_at(again.endpoint));
}

// An answer breaks off in its middle. Sent again from its beginning, the caller
// would read two answers mixed into one.
TEST(Calls, NeverRetriesOnceTheAnswerStarted) {
  harness_.Send(n1_, harness_.MakeCall("buyer", 1));
  harness_.AskSend(n1_, n1_.sent[0]);
  en::OnFirstToken(*n1_.state, 1, 1, harness_.now());
  harness_.Fail(n1_, n1_.sent[0], ep::EndKind::kFailed);
  CheckError(n1_, AnswerCode::kEndpointFailed, Ran::kUnknown);
  CHECK_TRUE(Decided(n1_, "no_retry", NameOf(ep::RetryReason::kAnswerStarted)));
  CHECK_TRUE(IsIdle(*n1_.state));
}

// Endpoint after endpoint breaks off. The caller gets its final answer once the
// attempts are spent, and it says that the call may have run.
TEST(Calls, GivesUpAfterTheAttemptsAreSpent) {
  harness_.Send(n1_, harness_.MakeCall("buyer", 1));
  for (std::size_t i = 0; i < n1_.sent.size(); ++i) {
    const en::SendCall send = n1_.sent[i];
    harness_.AskSend(n1_, send);
    harness_.Fail(n1_, send, ep::EndKind::kFailed);
    harness_.Step(300ms);
  }
  CHECK_EQUAL(std::size_t{ep::kMaxAttempts}, n1_.sent.size());
  CheckError(n1_, AnswerCode::kEndpointFailed, Ran::kUnknown);
  CHECK(n1_.errors[0].retry_after > 0ms);
  CHECK_EQUAL(1U, n1_.errors.size());
}

// The caller's patience ends while its call waits, or while it runs. In the
// first case it is told that nothing ran; in the second nobody can know.
TEST(Calls, TimesOutWithWhatIsCertain) {
  en::Call call = harness_.MakeCall("buyer", 1);
  call.timeout = 500ms;
  harness_.Send(n1_, call);
  harness_.Step(600ms);
  CheckError(n1_, AnswerCode::kTimeout, Ran::kNo);
  CHECK_EQUAL(1U, n1_.cancels.size());
  call.id = 2;
  harness_.Send(n1_, call);
  CHECK_TRUE(harness_.AskSend(n1_, n1_.sent.back()));
  harness_.Step(600ms);
  CheckError(n1_, AnswerCode::kTimeout, Ran::kUnknown);
  CHECK_TRUE(IsIdle(*n1_.state));
}

// A phone loses its connection in the middle of an answer. Its work is
// cancelled at the endpoint, so that the slot is free for those who still wait.
TEST(Calls, CancelsTheWorkOfACallerThatWentAway) {
  harness_.Send(n1_, harness_.MakeCall("buyer", 1));
  harness_.AskSend(n1_, n1_.sent[0]);
  harness_.Gone(n1_, 1);
  CHECK_EQUAL(1U, n1_.cancels.size());
  CHECK_TRUE(IsIdle(*n1_.state));
  harness_.Answer(n1_, n1_.sent[0]);
  CHECK_EQUAL(0U, n1_.errors.size());
}

// More calls than slots. Those without a slot wait, and go out as slots come
// back; the longest wait of the class ends with "not run".
TEST(Calls, QueuesWhatHasNoSlotAndRefusesItAfterItsLongestWait) {
  for (en::CallId id = 1; id <= 40; ++id) {
    harness_.Send(n1_, harness_.MakeCall("buyer", id));
  }
  const std::size_t sent = n1_.sent.size();
  CHECK(sent > 0 && sent < 40);
  harness_.AskSend(n1_, n1_.sent[0]);
  harness_.Answer(n1_, n1_.sent[0]);
  CHECK_EQUAL(sent + 1, n1_.sent.size());
  for (const en::SendCall& send : n1_.sent) harness_.AskSend(n1_, send);
  harness_.Step(21s);
  CheckError(n1_, AnswerCode::kOverloaded, Ran::kNo);
  // The log line says which bound it was, not only that the node is overloaded.
  CHECK_TRUE(Decided(n1_, "refuse", NameOf(ep::RefuseReason::kWaitedTooLong)));
}

// The process stands still for seconds between the choice of an endpoint and
// the first byte. By then operators have taken the zone out, and the caller may
// have turned to another node; nothing old may be sent.
TEST(Calls, SendsNothingOldAfterAPause) {
  harness_.Send(n1_, harness_.MakeCall("bulk", 1));
  harness_.Pause(5s);
  CHECK_FALSE(harness_.AskSend(n1_, n1_.sent[0]));
  CHECK_TRUE(Decided(n1_, "hold", "knowledge_old"));
  // Both nodes were silent: no keeper has support until they have answered each
  // other for a mandate and a lease.
  harness_.Step(6s);
  CHECK(n1_.sent.size() >= 2U);
  CHECK_TRUE(harness_.AskSend(n1_, n1_.sent.back()));
  // Past the class's longest wait it is not worth sending at all.
  harness_.Send(n1_, harness_.MakeCall("buyer", 2));
  harness_.Pause(25s);
  CHECK_FALSE(harness_.AskSend(n1_, n1_.sent.back()));
  CheckError(n1_, AnswerCode::kTimeout, Ran::kNo);
}

// A node is cut off from all others, and stops sending, since a zone may be out
// that it can't hear of. A call there is not held for as long as the cut lasts:
// after its class's longest wait its caller hears that it did not run.
TEST(Calls, RefusesAfterItsLongestWaitWhatIsHeldAgainAndAgain) {
  harness_.Send(n1_, harness_.MakeCall("buyer", 1));
  std::size_t asked = 0;
  for (int i = 0; i < 200 && n1_.errors.empty(); ++i) {
    harness_.Pause(450ms);  // Old again each time it is asked.
    for (; asked < n1_.sent.size(); ++asked) {
      CHECK_FALSE(harness_.AskSend(n1_, n1_.sent[asked]));
    }
    harness_.Step(20ms);
  }
  CHECK_EQUAL(1U, n1_.errors.size());
  STRCMP_EQUAL("no", NameOf(n1_.errors[0].ran));
  CHECK(n1_.decisions.back().waited < 22s);
}

// Operators take a zone out between the choice of an endpoint and the first
// byte; the call goes to the zone that remains.
TEST(Calls, HoldsWhatWasChosenBeforeTheZoneWentOut) {
  for (en::CallId id = 1; id <= 2; ++id) {
    harness_.Send(n1_, harness_.MakeCall("buyer", id));
  }
  harness_.Publish(en::test::RulesText(2, "out=yes"));
  harness_.Step(3s);
  CHECK_EQUAL(2U, RulesOf(*n1_.state)->version);
  const std::vector<en::SendCall> before = n1_.sent;
  for (const en::SendCall& send : before) {
    const bool in_yeka = send.address == "10.0.0.2:1";
    CHECK_EQUAL(in_yeka, harness_.AskSend(n1_, send));
  }
  harness_.Step(1s);
  CHECK(n1_.sent.size() > before.size());
  for (std::size_t i = before.size(); i < n1_.sent.size(); ++i) {
    STRCMP_EQUAL("10.0.0.2:1", n1_.sent[i].address.c_str());
  }
  CHECK_TRUE(Decided(n1_, "hold", "endpoint_unavailable"));
}

// One request's body crashes each engine that runs it. The others that ran
// beside it are innocent: they run again elsewhere and are answered. The body
// itself is not tried on a third endpoint.
TEST(Calls, RetriesTheInnocentAndGivesUpThePoison) {
  harness_.Send(n1_, harness_.MakeCall("bulk", 1));
  const en::SendCall first = n1_.sent[0];
  harness_.AskSend(n1_, first);
  harness_.Fail(n1_, first, ep::EndKind::kDied);
  harness_.Step(100ms);
  CHECK_EQUAL(2U, n1_.sent.size());
  harness_.Send(n1_, harness_.MakeCall("bulk", 2));
  for (std::size_t i = 1; i < n1_.sent.size(); ++i) {
    harness_.AskSend(n1_, n1_.sent[i]);
  }
  harness_.Fail(n1_, n1_.sent[1], ep::EndKind::kDied);
  CheckError(n1_, AnswerCode::kEndpointFailed, Ran::kUnknown);
  CHECK_TRUE(Decided(n1_, "no_retry", NameOf(ep::RetryReason::kPoison)));
  CHECK_EQUAL(1U, n1_.errors.size());
  CHECK_EQUAL(1U, n1_.errors[0].call);
  const en::SendCall innocent = n1_.sent[2];
  harness_.Fail(n1_, innocent, ep::EndKind::kDied);
  harness_.Step(300ms);
  CHECK_EQUAL(4U, n1_.sent.size());
  CHECK_EQUAL(2U, n1_.sent[3].call);
  CHECK_TRUE(harness_.AskSend(n1_, n1_.sent[3]));
  harness_.Answer(n1_, n1_.sent[3]);
  CHECK_EQUAL(1U, n1_.errors.size());
}

// The caller of a poison request sends it again, to another node. Every node
// knows of it by then, and refuses it unrun.
TEST(Calls, RefusesAQuarantinedBodyAtEveryNode) {
  harness_.Send(n1_, harness_.MakeCall("bulk", 1));
  for (std::size_t i = 0; i < 2; ++i) {
    const en::SendCall send = n1_.sent[i];
    CHECK_TRUE(harness_.AskSend(n1_, send));
    harness_.Fail(n1_, send, ep::EndKind::kDied);
    harness_.Step(300ms);
  }
  harness_.Step(3s);
  for (en::test::TestNode* node : {&n1_, &harness_.n2()}) {
    en::Call again = harness_.MakeCall("bulk", 3);
    again.body_hash = 1;
    harness_.Send(*node, again);
    harness_.Step(100ms);
    CheckError(*node, AnswerCode::kQuarantined, Ran::kNo);
  }
}

// Operators stop a node. Callers are no longer sent to it, new calls are turned
// away unrun, and the answer in progress reaches its caller whole.
TEST(Calls, LeavesWithoutCuttingWhatRuns) {
  harness_.Send(n1_, harness_.MakeCall("buyer", 1));
  harness_.AskSend(n1_, n1_.sent[0]);
  harness_.LeaveNode(n1_);
  const en::WhereAnswer where = en::Where(*n1_.state, "bole", harness_.now());
  CHECK_TRUE(where.lane.empty());
  for (const std::string& address : where.addresses) {
    CHECK(address != "10.0.1.1:1");
  }
  harness_.Send(n1_, harness_.MakeCall("buyer", 2));
  CheckError(n1_, AnswerCode::kLeaving, Ran::kNo);
  CHECK_FALSE(IsIdle(*n1_.state));
  CHECK_EQUAL(0U, n1_.cancels.size());
  harness_.Answer(n1_, n1_.sent[0]);
  CHECK_TRUE(IsIdle(*n1_.state));
  CHECK_FALSE(ViewOf(*n1_.state, harness_.now()).ready);
}

// The network cuts one node off from the two others. It holds no leases, so
// callers who ask it are told of a node on the other side first.
TEST(Calls, NamesTheOtherSideOfACutFirst) {
  std::string text = en::test::RulesText(2);
  text += "n3 = callers=10.0.1.3:1 peers=10.0.1.3:2 zone=yeka ; H\n";
  harness_.Publish(text);
  harness_.Step(3s);
  auto where = en::Where(*n1_.state, "bole", harness_.now());
  STRCMP_EQUAL("10.0.1.1:1", where.addresses[0].c_str());
  STRCMP_EQUAL("10.0.1.1:1", where.lane_address.c_str());
  harness_.n2().running = false;
  harness_.Step(8s);
  where = en::Where(*n1_.state, "bole", harness_.now());
  CHECK_EQUAL(2U, where.addresses.size());
  CHECK(where.addresses[0] != "10.0.1.1:1");
}

TEST(Calls, NamesCodesAndStatuses) {
  for (int code = 0; code <= static_cast<int>(AnswerCode::kOutcomeUnknown);
       ++code) {
    const auto value = static_cast<AnswerCode>(code);
    CHECK(std::string(NameOf(value)) != "unknown");
    CHECK(StatusOf(value) >= 400 && StatusOf(value) != 500);
  }
}
