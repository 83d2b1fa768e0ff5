// Endpoints that state in their answers that they leave, or that they want no
// calls for some time.
#include <CppUTest/TestHarness.h>

#include "harness.h"

using namespace std::chrono_literals;
namespace en = egretladder::node;
using en::AnswerCode;
using en::RunStatus;
using en::test::TestNode;

TEST_GROUP(EndpointNotices) {
  en::test::Harness harness{"ladder"};
  TestNode& node = harness.node1();
  en::CallId last_call = 0;

  // Sends a call and answers it. Returns where it was sent, or an invalid
  // handle if it was refused.
  en::EndpointHandle Serve() {
    const std::size_t sent_before = node.sent.size();
    harness.Send(node, harness.MakeCall("buyer", ++last_call));
    if (node.sent.size() == sent_before) return {};
    const en::SendCall send = node.sent.back();
    harness.TrySend(node, send);
    harness.Answer(node, send);
    return send.endpoint;
  }
  // Serves calls. Returns how many of them were sent to the endpoint.
  int CountSentTo(en::EndpointHandle endpoint) {
    constexpr int kCalls = 20;
    int sent = 0;
    for (int i = 0; i < kCalls; ++i) sent += Serve() == endpoint ? 1 : 0;
    return sent;
  }
  // Serves a call whose answer states this. Returns its endpoint.
  en::EndpointHandle ServeWithNotice(const en::EndpointNotice& notice) {
    harness.Send(node, harness.MakeCall("buyer", ++last_call));
    const en::SendCall send = node.sent.back();
    harness.TrySend(node, send);
    harness.Notice(node, send, notice);
    harness.Answer(node, send);
    return send.endpoint;
  }
};

// Guards against calls that are sent to an endpoint that is about to end.
TEST(EndpointNotices, AnEndpointThatLeavesGetsNoCalls) {
  const en::EndpointHandle leaving = ServeWithNotice({true, {}});
  LONGS_EQUAL(0, CountSentTo(leaving));
  harness.RunFor(20s);
  LONGS_EQUAL(0, CountSentTo(leaving));
  // It may say so in an answer to a report as well.
  const en::EndpointHandle other = Serve();
  harness.ReportNotice(node, other, {true, {}});
  Serve();
  CHECK(node.errors.back().code == AnswerCode::kNoEndpoint);
  CHECK(node.errors.back().ran == RunStatus::kDidNotRun);
}

// Guards against calls in the time for which an endpoint asked for none, and
// against callers that return before its end.
TEST(EndpointNotices, AnEndpointIsLeftAloneForTheTimeThatItAskedFor) {
  const en::EndpointHandle busy = ServeWithNotice({false, 3s});
  harness.RunFor(2900ms);
  LONGS_EQUAL(0, CountSentTo(busy));
  const en::EndpointHandle other = Serve();
  harness.ReportNotice(node, other, {false, 60s});
  // A shorter time doesn't end a longer one.
  harness.ReportNotice(node, other, {false, 1s});
  harness.ReportNotice(node, busy, {false, 5s});
  Serve();
  CHECK(node.errors.back().code == AnswerCode::kNoEndpoint);
  CHECK(node.errors.back().retry_after >= 5s);
  harness.RunFor(5100ms);
  CHECK(CountSentTo(busy) == 20);
  LONGS_EQUAL(0, CountSentTo(other));
}

// Guards against a time that overflows.
TEST(EndpointNotices, AHugeTimeIsBounded) {
  const en::EndpointHandle busy =
      ServeWithNotice({false, std::chrono::milliseconds::max()});
  LONGS_EQUAL(0, CountSentTo(busy));
}

// Guards against an engine that gets no calls because of what the process
// before it had stated.
TEST(EndpointNotices, ANewProcessGetsCalls) {
  const en::EndpointHandle leaving = ServeWithNotice({true, 60s});
  LONGS_EQUAL(0, CountSentTo(leaving));
  harness.SetBoot(2);
  harness.RunFor(12s);
  CHECK(CountSentTo(leaving) > 0);
}

// Guards against a call that was placed before its endpoint's statement and is
// sent after it.
TEST(EndpointNotices, APlacedCallIsNotSentAfterTheStatement) {
  harness.Send(node, harness.MakeCall("buyer", ++last_call));
  const en::SendCall placed = node.sent.back();
  harness.ReportNotice(node, placed.endpoint, {true, {}});
  CHECK_FALSE(harness.TrySend(node, placed));
  harness.RunFor(1s);
  CHECK(node.sent.back().call == placed.call);
  CHECK(!(node.sent.back().endpoint == placed.endpoint));
}
