#include "egretladder/net/http_client.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>
#include <vector>

#include "harness.h"

namespace en = egretladder::net;
namespace et = egretladder::net::test;
namespace ek = egretladder::kernel;
using namespace std::chrono_literals;

namespace {

constexpr int kSmallBuffer = 16'384;
// More than the buffers of both sockets hold.
constexpr std::size_t kLongBody = std::size_t{16} << 20U;

std::string AnswerOf(const std::string& body, const std::string& more = "") {
  return "HTTP/1.1 200 OK\r\n" + more +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// What came of an exchange.
struct Outcome {
  int sendings = 0;
  int heads = 0;
  int status = 0;
  std::string body;
  int ends = 0;
  int faults = 0;
  en::ExchangeError fault{};
  bool over() const { return ends + faults > 0; }
};

}  // namespace

TEST_GROUP(HttpClient) {
  et::Stage stage;
  std::unique_ptr<et::PeerListener> endpoint;
  std::unique_ptr<en::HttpClient> client;

  void setup() override {
    endpoint = std::make_unique<et::PeerListener>(kSmallBuffer);
    client = std::make_unique<en::HttpClient>(stage.loop);
  }

  en::HttpExchangePtr Start(Outcome & outcome, const std::string& path,
                            const std::string& body = "") {
    en::ExchangeRequest request;
    request.address = endpoint->address();
    request.head = en::FormatRequestHead("POST", path, {{"Host", "h"}},
                                         en::BodyFraming::kLength, body.size());
    request.body = body;
    en::ExchangeHandlers handlers;
    handlers.may_send = [&outcome] {
      ++outcome.sendings;
      return true;
    };
    handlers.on_head = [&outcome](const en::HttpAnswerHead& head) {
      ++outcome.heads;
      outcome.status = head.status;
      return en::HeadVerdict::kAccept;
    };
    handlers.on_body = [&outcome](std::string_view piece) {
      outcome.body += piece;
    };
    handlers.on_end = [&outcome] { ++outcome.ends; };
    handlers.on_error = [&outcome](en::ExchangeError fault,
                                   const std::string& /*detail*/) {
      ++outcome.faults;
      outcome.fault = fault;
    };
    return client->Start(std::move(request), std::move(handlers));
  }

  et::PeerPtr Accept() {
    et::PeerPtr peer;
    stage.Until([&] {
      peer = endpoint->Accept();
      return peer != nullptr;
    });
    return peer;
  }

  // Reads until a head is there.
  void TakeHead(et::Peer & peer) {
    const std::size_t from = peer.taken().size();
    stage.Until([&peer, from] {
      peer.Take(1000);
      return peer.taken().find("\r\n\r\n", from) != std::string::npos;
    });
  }

  void TakeToTheEnd(et::Peer & peer) {
    stage.Until([&peer] {
      peer.Take();
      return peer.end() != et::PeerEnd::kOpen;
    });
  }

  void UntilOver(const Outcome& outcome) {
    stage.Until([&outcome] { return outcome.over(); });
  }

  // One exchange that ends well and leaves its connection idle.
  et::PeerPtr LeaveIdle() {
    Outcome first;
    Start(first, "/first");
    auto peer = Accept();
    TakeHead(*peer);
    peer->Send(AnswerOf("first"));
    UntilOver(first);
    LONGS_EQUAL(1, first.ends);
    return peer;
  }
};

// Most requests go over a connection that is open already: opening one costs
// the endpoint and a round trip.
TEST(HttpClient, UsesAConnectionAgain) {
  auto peer = LeaveIdle();
  Outcome second;
  Start(second, "/second");
  TakeHead(*peer);
  peer->Send(AnswerOf("second"));
  UntilOver(second);
  LONGS_EQUAL(1, second.ends);
  STRCMP_EQUAL("second", second.body.c_str());
  LONGS_EQUAL(1, client->connections_opened());
}

// A caller leaves while the body of its request is half sent. The endpoint sees
// the connection end and stops; another request on it would be read as the rest
// of that body.
TEST(HttpClient, ClosesTheConnectionOfACancelledBody) {
  Outcome first;
  const auto exchange = Start(first, "/first", std::string(kLongBody, 'b'));
  auto half = Accept();
  TakeHead(*half);
  en::Cancel(exchange);
  Outcome second;
  Start(second, "/second");
  TakeToTheEnd(*half);
  CHECK(half->taken().size() < kLongBody);
  CHECK(half->taken().find("/second") == std::string::npos);
  auto other = Accept();
  TakeHead(*other);
  LONGS_EQUAL(0, other->taken().find("POST /second "));
  other->Send(AnswerOf("second"));
  UntilOver(second);
  LONGS_EQUAL(1, second.ends);
  LONGS_EQUAL(2, client->connections_opened());
  CHECK_FALSE(first.over());
}

// A caller leaves while it waits for an answer. That answer may still come, and
// would be given to the next caller.
TEST(HttpClient, ClosesTheConnectionOfACancelledAnswer) {
  Outcome first;
  const auto exchange = Start(first, "/first");
  auto peer = Accept();
  TakeHead(*peer);
  en::Cancel(exchange);
  peer->SendSome(AnswerOf("first"));
  Outcome second;
  Start(second, "/second");
  auto other = Accept();
  TakeHead(*other);
  other->Send(AnswerOf("second"));
  UntilOver(second);
  STRCMP_EQUAL("second", second.body.c_str());
  CHECK_FALSE(first.over());
}

// An endpoint refuses a request by its head and doesn't wait for the body. The
// caller gets that answer. The rest of the body is still on its way, and must
// not come before another request.
TEST(HttpClient, DropsAConnectionWhoseBodyIsNotOutWhenTheAnswerCame) {
  Outcome first;
  Start(first, "/first", std::string(kLongBody, 'b'));
  auto peer = Accept();
  TakeHead(*peer);
  peer->Send(AnswerOf("too large"));
  UntilOver(first);
  LONGS_EQUAL(1, first.ends);
  STRCMP_EQUAL("too large", first.body.c_str());
  Outcome second;
  Start(second, "/second");
  auto other = Accept();
  TakeHead(*other);
  LONGS_EQUAL(0, other->taken().find("POST /second "));
  TakeToTheEnd(*peer);
  CHECK(peer->taken().find("/second") == std::string::npos);
  other->Send(AnswerOf("second"));
  UntilOver(second);
  LONGS_EQUAL(1, second.ends);
  LONGS_EQUAL(2, client->connections_opened());
}

// An endpoint refuses a request by its head and closes at once, so that the
// body that still comes is answered with a reset. The refusal arrived before
// it; a caller that isn't given it believes that its request may have run.
TEST(HttpClient, TakesAnAnswerThatCameBeforeAReset) {
  Outcome first;
  Start(first, "/first", std::string(kLongBody, 'b'));
  auto peer = Accept();
  TakeHead(*peer);
  peer->Send(AnswerOf("too large"));
  peer->Close();
  UntilOver(first);
  LONGS_EQUAL(1, first.ends);
  STRCMP_EQUAL("too large", first.body.c_str());
}

// An endpoint closes a connection that is idle. The next request takes a new
// one and nobody notices.
TEST(HttpClient, DoesNotUseAnIdleConnectionThatTheEndpointClosed) {
  auto peer = LeaveIdle();
  peer->Close();
  stage.Settle();
  Outcome second;
  Start(second, "/second");
  auto other = Accept();
  TakeHead(*other);
  other->Send(AnswerOf("second"));
  UntilOver(second);
  LONGS_EQUAL(1, second.ends);
  LONGS_EQUAL(2, client->connections_opened());
}

// The close of an idle connection is in the node's kernel, unread, when a
// request takes that connection. Nothing of the request has left, so it can
// still go anywhere. Told as broken, its outcome counts as unknown, and a
// request that may run only once fails for its caller.
TEST(HttpClient, DoesNotBreakARequestThatNeverLeft) {
  auto peer = LeaveIdle();
  peer->Close();
  Outcome second;
  Start(second, "/second");
  et::PeerPtr other;
  stage.Until([&] {
    other = endpoint->Accept();
    return other != nullptr || second.over();
  });
  if (other == nullptr) {
    LONGS_EQUAL(0, second.sendings);
    CHECK(second.fault == en::ExchangeError::kNotConnected);
    return;
  }
  TakeHead(*other);
  other->Send(AnswerOf("second"));
  UntilOver(second);
  LONGS_EQUAL(1, second.ends);
  LONGS_EQUAL(1, second.sendings);
}

// An endpoint takes a request and closes without a word. It may have run, so
// the outcome is unknown, told once, and the request isn't sent again here.
TEST(HttpClient, TellsThatASentRequestBroke) {
  auto peer = LeaveIdle();
  Outcome second;
  Start(second, "/second");
  TakeHead(*peer);
  peer->Close();
  UntilOver(second);
  stage.Settle();
  LONGS_EQUAL(1, second.sendings);
  LONGS_EQUAL(1, second.faults);
  CHECK(second.fault == en::ExchangeError::kBroken);
  CHECK(endpoint->Accept() == nullptr);
}

// Nobody listens at the endpoint's address. Nothing left, and the request can
// go elsewhere.
TEST(HttpClient, TellsThatNothingWasConnected) {
  Outcome first;
  const std::string address = endpoint->address();
  endpoint.reset();
  en::ExchangeRequest request;
  request.address = address;
  en::ExchangeHandlers handlers;
  handlers.may_send = [&first] {
    ++first.sendings;
    return true;
  };
  handlers.on_error = [&first](en::ExchangeError fault,
                               const std::string& /*detail*/) {
    ++first.faults;
    first.fault = fault;
  };
  client->Start(std::move(request), std::move(handlers));
  UntilOver(first);
  stage.Settle();
  LONGS_EQUAL(1, first.faults);
  LONGS_EQUAL(0, first.sendings);
  CHECK(first.fault == en::ExchangeError::kNotConnected);
}

// An endpoint's process dies in the middle of an answer. The part that came is
// given on, then the break, once.
TEST(HttpClient, TellsOnceThatAnAnswerWasReset) {
  Outcome first;
  Start(first, "/first");
  auto peer = Accept();
  TakeHead(*peer);
  peer->Send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
  stage.Until([&first] { return first.body == "half"; });
  peer->Reset();
  UntilOver(first);
  stage.Settle();
  LONGS_EQUAL(1, first.heads);
  LONGS_EQUAL(1, first.faults);
  LONGS_EQUAL(0, first.ends);
  CHECK(first.fault == en::ExchangeError::kBroken);
}

// The same for an answer that ends with its connection: a reset is no such end,
// and half an answer must not pass for a whole one.
TEST(HttpClient, TakesNoResetForTheEndOfAnAnswer) {
  Outcome first;
  Start(first, "/first");
  auto peer = Accept();
  TakeHead(*peer);
  peer->Send("HTTP/1.1 200 OK\r\n\r\nhalf");
  stage.Until([&first] { return first.body == "half"; });
  peer->Reset();
  UntilOver(first);
  LONGS_EQUAL(1, first.faults);
  LONGS_EQUAL(0, first.ends);
  CHECK(first.fault == en::ExchangeError::kBroken);
}

// An endpoint closes in the middle of an answer with a length, or of one in
// chunks.
TEST(HttpClient, TellsThatAnAnswerBrokeOff) {
  for (const std::string head : {"Content-Length: 10\r\n\r\n",
                                 "Transfer-Encoding: chunked\r\n\r\n4\r\n"}) {
    Outcome first;
    Start(first, "/first");
    auto peer = Accept();
    TakeHead(*peer);
    peer->Send("HTTP/1.1 200 OK\r\n" + head + "half");
    peer->Close();
    UntilOver(first);
    LONGS_EQUAL(1, first.faults);
    LONGS_EQUAL(0, first.ends);
    CHECK(first.fault == en::ExchangeError::kBroken);
  }
}

// An endpoint sends more than its answer. Nobody asked for those bytes; kept,
// they would be given to the next request as its answer.
TEST(HttpClient, DropsAConnectionWithBytesAfterTheAnswer) {
  Outcome first;
  Start(first, "/first");
  auto peer = Accept();
  TakeHead(*peer);
  peer->Send(AnswerOf("first") + AnswerOf("stale"));
  UntilOver(first);
  LONGS_EQUAL(1, first.ends);
  STRCMP_EQUAL("first", first.body.c_str());
  Outcome second;
  Start(second, "/second");
  auto other = Accept();
  TakeHead(*other);
  other->Send(AnswerOf("second"));
  UntilOver(second);
  STRCMP_EQUAL("second", second.body.c_str());
}

// Such bytes come later, while the connection is idle.
TEST(HttpClient, DropsAnIdleConnectionThatSpeaks) {
  auto peer = LeaveIdle();
  peer->Send(AnswerOf("stale"));
  stage.Settle();
  Outcome second;
  Start(second, "/second");
  auto other = Accept();
  TakeHead(*other);
  other->Send(AnswerOf("second"));
  UntilOver(second);
  STRCMP_EQUAL("second", second.body.c_str());
  LONGS_EQUAL(2, client->connections_opened());
}

// Such bytes are in the node's kernel, unread, when the next request takes the
// connection. They came before it left and can't be its answer; the caller
// would get another one's, or an endpoint's word on an idle connection.
TEST(HttpClient, TakesNoBytesFromBeforeTheRequestForItsAnswer) {
  auto peer = LeaveIdle();
  peer->Send(AnswerOf("stale"));
  Outcome second;
  Start(second, "/second");
  et::PeerPtr other;
  stage.Until([&] {
    other = endpoint->Accept();
    if (peer->end() == et::PeerEnd::kOpen) peer->Take();
    return other != nullptr || second.over() ||
           peer->taken().find("/second") != std::string::npos;
  });
  if (other != nullptr) TakeHead(*other);
  (other != nullptr ? other : peer)->SendSome(AnswerOf("second"));
  UntilOver(second);
  CHECK(second.body != "stale");
  LONGS_EQUAL(1, second.ends);
  STRCMP_EQUAL("second", second.body.c_str());
}

// An endpoint says that it closes with this answer, or how long it keeps the
// connection. It isn't used beyond that.
TEST(HttpClient, KeepsAConnectionNoLongerThanTheEndpoint) {
  Outcome first;
  Start(first, "/first");
  auto peer = Accept();
  TakeHead(*peer);
  peer->Send(AnswerOf("first", "Connection: close\r\n"));
  UntilOver(first);
  Outcome second;
  Start(second, "/second");
  auto other = Accept();
  TakeHead(*other);
  other->Send(AnswerOf("second", "Keep-Alive: timeout=5\r\n"));
  UntilOver(second);
  ek::Advance(stage.clock, 2900ms);
  Outcome third;
  Start(third, "/third");
  TakeHead(*other);
  other->Send(AnswerOf("third", "Keep-Alive: timeout=5\r\n"));
  UntilOver(third);
  LONGS_EQUAL(2, client->connections_opened());
  ek::Advance(stage.clock, 3100ms);
  Outcome fourth;
  Start(fourth, "/fourth");
  auto last = Accept();
  TakeHead(*last);
  last->Send(AnswerOf("fourth"));
  UntilOver(fourth);
  LONGS_EQUAL(1, fourth.ends);
  LONGS_EQUAL(3, client->connections_opened());
}
