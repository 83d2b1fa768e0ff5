// Endpoints that refuse a request, and send copies of the refusal later on the
// same connection.
#include <CppUTest/TestHarness.h>

#include <map>
#include <set>
#include <string>

#include "harness.h"

using namespace std::chrono_literals;
namespace ep = egretladder::proxy;
namespace er = egretladder::routing;
namespace et = egretladder::proxy::test;

namespace {

std::string FormatRefusal(const std::string& id, int status) {
  return "HTTP/1.1 " + std::to_string(status) + " Full\r\nX-Id: " + id +
         "\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
}

constexpr int kUntilStopped = 1'000'000;

}  // namespace

TEST_GROUP(RefusalCopies) {
  et::TestEnvironment env;
  int refusals = 1;  // That the endpoint still sends.
  int status = 503;
  bool sends_copies = true;
  int runs = 0;
  std::map<et::TestConnection*, std::set<std::string>> refused;

  // Refuses, then runs. A request that comes again on the connection on which
  // it was refused finds a copy of the refusal before its answer.
  et::FakeEndpoint::Handler RefuseAndCopy() {
    return [this](const et::EndpointRequest& request) {
      if (sends_copies && refused[request.connection].contains(request.id()))
        request.connection->Send(FormatRefusal(request.id(), status));
      if (refusals > 0) {
        --refusals;
        refused[request.connection].insert(request.id());
        request.connection->Send(FormatRefusal(request.id(), status));
        return;
      }
      ++runs;
      request.Answer(200, "ran");
    };
  }

  ep::Proxy& StartNode(std::uint32_t attempts) {
    er::RouteTable table = et::MakeRouteTable();
    for (er::Route& route : table.routes) route.attempts = attempts;
    env.Publish(table);
    ep::Proxy& proxy = env.StartNode(env.MakeOptions("n1"));
    env.WaitUntilReady(proxy, 1);
    return proxy;
  }
};

// Guards against a copy that is taken for the answer to the next attempt: the
// caller is told that a request has not run which runs at that moment.
TEST(RefusalCopies, CopyIsNotTheAnswerToTheNextAttempt) {
  env.AddEndpoint("e1", RefuseAndCopy());
  ep::Proxy& proxy = StartNode(2);
  int requests = 0;
  for (const int refusal : {503, 429}) {
    status = refusal;
    refusals = 1;
    const std::string id = "r" + std::to_string(++requests);
    STRCMP_EQUAL(
        "200",
        env.SendAndDescribe(proxy, {.path = "/once/a", .id = id}).c_str());
    LONGS_EQUAL(requests, runs);
  }
}

// Guards against a copy that makes a node send a request again that may run
// only once.
TEST(RefusalCopies, CopyIsNoReasonForAnotherAttempt) {
  const et::FakeEndpoint& endpoint = env.AddEndpoint("e1", RefuseAndCopy());
  ep::Proxy& proxy = StartNode(4);
  STRCMP_EQUAL("200", env.SendAndDescribe(proxy, {.path = "/once/a"}).c_str());
  env.RunLoopFor(300ms);
  LONGS_EQUAL(1, runs);
  LONGS_EQUAL(2, endpoint.requests().size());
}

// Guards against a copy that reaches another call of the same request, as after
// a handover there and back.
TEST(RefusalCopies, CopyIsNotTheAnswerToTheSameRequestInAnotherCall) {
  refusals = kUntilStopped;
  env.AddEndpoint("e1", RefuseAndCopy());
  ep::Proxy& proxy = StartNode(1);
  STRCMP_EQUAL("503 no", env.SendAndDescribe(
                                proxy, {.path = "/once/a", .timeout_ms = 200})
                             .c_str());
  refusals = 0;
  STRCMP_EQUAL("200", env.SendAndDescribe(proxy, {.path = "/once/a"}).c_str());
  LONGS_EQUAL(1, runs);
}

// A connection that has carried refusals of other requests is used again:
// connections to endpoints are scarce.
TEST(RefusalCopies, RefusalsOfOthersCostNoConnection) {
  sends_copies = false;
  const et::FakeEndpoint& endpoint = env.AddEndpoint("e1", RefuseAndCopy());
  ep::Proxy& proxy = StartNode(2);
  for (int i = 0; i < 10; ++i) {
    refusals = 1;
    const std::string id = "r" + std::to_string(i);
    STRCMP_EQUAL(
        "200",
        env.SendAndDescribe(proxy, {.path = "/once/a", .id = id}).c_str());
  }
  CHECK(endpoint.connections().size() <= 2);
}

// Guards against statuses that promise here and aren't taken for a refusal on
// the connection.
TEST(RefusalCopies, NoStatusMakesARequestRunTwice) {
  env.AddEndpoint("e1", RefuseAndCopy());
  ep::Proxy& proxy = StartNode(2);
  for (const int refusal :
       {200, 400, 404, 408, 409, 421, 429, 500, 502, 503, 504}) {
    status = refusal;
    refusals = 1;
    runs = 0;
    const std::string id = "r" + std::to_string(refusal);
    env.SendAndDescribe(proxy, {.path = "/once/a", .id = id});
    env.RunLoopFor(100ms);
    CHECK_TEXT(runs <= 1, id.c_str());
  }
}

// Guards against a refusal that names no request, such as a copy of another
// one's, and counts as the promise that this one has not run.
TEST(RefusalCopies, ARefusalThatNamesNoRequestIsNoPromise) {
  const et::FakeEndpoint& endpoint =
      env.AddEndpoint("e1", [](const et::EndpointRequest& request) {
        request.connection->Send(
            "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\n"
            "Content-Length: 0\r\n\r\n");
      });
  ep::Proxy& proxy = StartNode(2);
  STRCMP_EQUAL("502 unknown",
               env.SendAndDescribe(proxy, {.path = "/once/a"}).c_str());
  LONGS_EQUAL(1, endpoint.requests().size());
  env.SendAndDescribe(proxy, {.path = "/once/b", .id = "r2"});
  LONGS_EQUAL(2, endpoint.connections().size());
}
