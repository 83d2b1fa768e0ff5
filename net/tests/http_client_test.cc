#include "egretladder/net/http_client.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>
#include <vector>

#include "egretladder/net/limits.h"
#include "harness.h"

namespace en = egretladder::net;
namespace et = egretladder::net::test;
namespace ek = egretladder::kernel;
using namespace std::chrono_literals;

namespace {

constexpr int kSmallBuffer = 16'384;
// More than the buffers of both sockets can hold.
constexpr std::size_t kLongBody = std::size_t{16} << 20U;

std::string MakeAnswer(const std::string& body,
                       const std::string& extra_fields = "") {
  return "HTTP/1.1 200 OK\r\n" + extra_fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// What the handlers of an exchange were called with.
struct Outcome {
  int sends = 0;
  int heads = 0;
  int status = 0;
  std::string body;
  int ends = 0;
  int errors = 0;
  en::ExchangeError error{};
  bool finished() const { return ends + errors > 0; }
};

}  // namespace

TEST_GROUP(HttpClient) {
  et::TestLoop test_loop;
  std::unique_ptr<et::RawListener> endpoint;
  std::unique_ptr<en::HttpClient> client;

  void setup() override {
    endpoint = std::make_unique<et::RawListener>(kSmallBuffer);
    client = std::make_unique<en::HttpClient>(test_loop.loop);
  }

  en::HttpExchangePtr Start(
      Outcome & outcome, const std::string& path, const std::string& body = "",
      const std::string& id = "", const std::string& successor_id = "") {
    en::ExchangeRequest request;
    request.id = id;
    request.successor_id = successor_id;
    request.address = endpoint->address();
    request.head = en::FormatRequestHead("POST", path, {{"Host", "h"}},
                                         en::BodyFraming::kLength, body.size());
    request.body = std::make_shared<const std::string>(body);
    en::ExchangeHandlers handlers;
    handlers.may_send = [&outcome] {
      ++outcome.sends;
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
    handlers.on_end = [&outcome](en::AnswerEnd /*end*/) { ++outcome.ends; };
    handlers.on_error = [&outcome](en::ExchangeError error,
                                   const std::string& /*detail*/) {
      ++outcome.errors;
      outcome.error = error;
    };
    return client->Start(std::move(request), std::move(handlers));
  }

  et::RawSocketPtr Accept() {
    et::RawSocketPtr peer;
    test_loop.WaitUntil([&] {
      peer = endpoint->Accept();
      return peer != nullptr;
    });
    return peer;
  }

  // Receives until a complete head has arrived.
  void ReceiveHead(et::RawSocket & peer) {
    const std::size_t from = peer.received().size();
    test_loop.WaitUntil([&peer, from] {
      peer.Receive(1000);
      return peer.received().find("\r\n\r\n", from) != std::string::npos;
    });
  }

  void ReceiveUntilEnd(et::RawSocket & peer) {
    test_loop.WaitUntil([&peer] {
      peer.Receive();
      return peer.end() != et::ConnectionEnd::kOpen;
    });
  }

  void WaitUntilFinished(const Outcome& outcome) {
    test_loop.WaitUntil([&outcome] { return outcome.finished(); });
  }

  // Refuses the request that the connection carries.
  void Refuse(et::RawSocket & peer, const Outcome& outcome) {
    ReceiveHead(peer);
    peer.Send("HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n");
    WaitUntilFinished(outcome);
    LONGS_EQUAL(1, outcome.ends);
  }

  bool HasReusable(const std::string& id) const {
    return client->HasReusable(endpoint->address(), en::ConnectionReuse::kAny,
                               id, 0);
  }

  // Completes one exchange. Returns its connection, which is idle then.
  et::RawSocketPtr MakeIdleConnection() {
    Outcome first;
    Start(first, "/first");
    auto peer = Accept();
    ReceiveHead(*peer);
    peer->Send(MakeAnswer("first"));
    WaitUntilFinished(first);
    LONGS_EQUAL(1, first.ends);
    return peer;
  }
};

// Guards against a new connection for each request, which costs the endpoint
// work and the request a round trip.
TEST(HttpClient, ReusesAnIdleConnection) {
  auto peer = MakeIdleConnection();
  Outcome second;
  Start(second, "/second");
  ReceiveHead(*peer);
  peer->Send(MakeAnswer("second"));
  WaitUntilFinished(second);
  LONGS_EQUAL(1, second.ends);
  STRCMP_EQUAL("second", second.body.c_str());
  LONGS_EQUAL(1, client->connections_opened());
}

// Guards against a handler that cancels its exchange, and runs on without what
// it refers to.
TEST(HttpClient, AHandlerOutlivesTheExchangeThatItCancels) {
  constexpr int kHandlers = 4;
  for (int canceller = 0; canceller < kHandlers; ++canceller) {
    en::HttpExchangePtr exchange;
    int cancelled = 0;
    const auto make_action = [&](int number) {
      auto owned = std::make_shared<int>(number);
      const std::weak_ptr<int> is_owned = owned;
      return [&exchange, &cancelled, canceller, owned, is_owned] {
        if (*owned != canceller) return;
        // The action itself may be gone after the cancel.
        auto check = is_owned;
        int& count = cancelled;
        en::Cancel(exchange);
        ++count;
        CHECK_FALSE(check.expired());
        check.reset();
      };
    };
    en::ExchangeRequest request;
    request.address = endpoint->address();
    request.head = en::FormatRequestHead("GET", "/", {{"Host", "h"}},
                                         en::BodyFraming::kNone, 0);
    en::ExchangeHandlers handlers;
    handlers.on_connected =
        [act = make_action(0)](std::chrono::milliseconds /*elapsed*/) {
          act();
        };
    handlers.may_send = [act = make_action(1)] {
      act();
      return true;
    };
    handlers.on_head = [act = make_action(2)](const en::HttpAnswerHead&) {
      act();
      return en::HeadVerdict::kAccept;
    };
    handlers.on_body = [act = make_action(3)](std::string_view /*piece*/) {
      act();
    };
    exchange = client->Start(std::move(request), std::move(handlers));
    const auto peer = Accept();
    peer->Send(MakeAnswer("body"));
    test_loop.WaitUntil([&cancelled] { return cancelled > 0; });
    test_loop.Settle();
    LONGS_EQUAL(1, cancelled);
  }
}

// A caller leaves while the body of its request is being sent. The connection
// must be closed: the endpoint can stop then, and another request on the
// connection would be read as the rest of that body.
TEST(HttpClient, ClosesTheConnectionOfACancelledBody) {
  Outcome first;
  const auto exchange = Start(first, "/first", std::string(kLongBody, 'b'));
  auto cancelled = Accept();
  ReceiveHead(*cancelled);
  en::Cancel(exchange);
  Outcome second;
  Start(second, "/second");
  ReceiveUntilEnd(*cancelled);
  CHECK(cancelled->received().size() < kLongBody);
  CHECK(cancelled->received().find("/second") == std::string::npos);
  auto other = Accept();
  ReceiveHead(*other);
  LONGS_EQUAL(0, other->received().find("POST /second "));
  other->Send(MakeAnswer("second"));
  WaitUntilFinished(second);
  LONGS_EQUAL(1, second.ends);
  LONGS_EQUAL(2, client->connections_opened());
  CHECK_FALSE(first.finished());
}

// A caller leaves while it waits for an answer. The answer may still arrive,
// and on a reused connection the next caller would get it.
TEST(HttpClient, ClosesTheConnectionOfACancelledAnswer) {
  Outcome first;
  const auto exchange = Start(first, "/first");
  auto peer = Accept();
  ReceiveHead(*peer);
  en::Cancel(exchange);
  peer->SendSome(MakeAnswer("first"));
  Outcome second;
  Start(second, "/second");
  auto other = Accept();
  ReceiveHead(*other);
  other->Send(MakeAnswer("second"));
  WaitUntilFinished(second);
  STRCMP_EQUAL("second", second.body.c_str());
  CHECK_FALSE(first.finished());
}

// An endpoint refuses a request after its head and doesn't wait for the body.
// The caller gets that answer. The rest of the body is still being sent, so
// that another request must not use the connection.
TEST(HttpClient, DropsAConnectionIfTheAnswerArrivesBeforeTheBodyIsSent) {
  Outcome first;
  Start(first, "/first", std::string(kLongBody, 'b'));
  auto peer = Accept();
  ReceiveHead(*peer);
  peer->Send(MakeAnswer("too large"));
  WaitUntilFinished(first);
  LONGS_EQUAL(1, first.ends);
  STRCMP_EQUAL("too large", first.body.c_str());
  Outcome second;
  Start(second, "/second");
  auto other = Accept();
  ReceiveHead(*other);
  LONGS_EQUAL(0, other->received().find("POST /second "));
  ReceiveUntilEnd(*peer);
  CHECK(peer->received().find("/second") == std::string::npos);
  other->Send(MakeAnswer("second"));
  WaitUntilFinished(second);
  LONGS_EQUAL(1, second.ends);
  LONGS_EQUAL(2, client->connections_opened());
}

// An endpoint refuses a request after its head and closes at once, so that the
// rest of the body is answered with a reset. The refusal arrived before the
// reset. If it were dropped, the outcome of the request would count as unknown.
TEST(HttpClient, DeliversAnAnswerThatArrivedBeforeAReset) {
  Outcome first;
  Start(first, "/first", std::string(kLongBody, 'b'));
  auto peer = Accept();
  ReceiveHead(*peer);
  peer->Send(MakeAnswer("too large"));
  peer->Close();
  WaitUntilFinished(first);
  LONGS_EQUAL(1, first.ends);
  STRCMP_EQUAL("too large", first.body.c_str());
}

// An endpoint closes an idle connection. The next request must use a new one.
TEST(HttpClient, DoesNotReuseAConnectionThatTheEndpointClosed) {
  auto peer = MakeIdleConnection();
  peer->Close();
  test_loop.Settle();
  Outcome second;
  Start(second, "/second");
  auto other = Accept();
  ReceiveHead(*other);
  other->Send(MakeAnswer("second"));
  WaitUntilFinished(second);
  LONGS_EQUAL(1, second.ends);
  LONGS_EQUAL(2, client->connections_opened());
}

// The node's kernel has received the close of an idle connection, but the node
// has not read it yet when a request takes the connection. Nothing of the
// request was sent, so that it can still be sent elsewhere. Reported as broken,
// its outcome would count as unknown, and a non-idempotent request would fail.
TEST(HttpClient, DoesNotReportBrokenForARequestThatWasNotSent) {
  auto peer = MakeIdleConnection();
  peer->Close();
  Outcome second;
  Start(second, "/second");
  et::RawSocketPtr other;
  test_loop.WaitUntil([&] {
    other = endpoint->Accept();
    return other != nullptr || second.finished();
  });
  if (other == nullptr) {
    LONGS_EQUAL(0, second.sends);
    CHECK(second.error == en::ExchangeError::kNotConnected);
    return;
  }
  ReceiveHead(*other);
  other->Send(MakeAnswer("second"));
  WaitUntilFinished(second);
  LONGS_EQUAL(1, second.ends);
  LONGS_EQUAL(1, second.sends);
}

// An endpoint receives a request and closes without an answer. The request may
// have run. That is reported once, and the client doesn't send the request
// again.
TEST(HttpClient, ReportsBrokenForARequestWithoutAnAnswer) {
  auto peer = MakeIdleConnection();
  Outcome second;
  Start(second, "/second");
  ReceiveHead(*peer);
  peer->Close();
  WaitUntilFinished(second);
  test_loop.Settle();
  LONGS_EQUAL(1, second.sends);
  LONGS_EQUAL(1, second.errors);
  CHECK(second.error == en::ExchangeError::kBroken);
  CHECK(endpoint->Accept() == nullptr);
}

// Nothing listens at the endpoint's address. Nothing of the request was sent,
// so that it can be sent elsewhere.
TEST(HttpClient, ReportsNotConnectedForARefusedConnection) {
  Outcome first;
  const std::string address = endpoint->address();
  endpoint.reset();
  en::ExchangeRequest request;
  request.address = address;
  en::ExchangeHandlers handlers;
  handlers.may_send = [&first] {
    ++first.sends;
    return true;
  };
  handlers.on_error = [&first](en::ExchangeError error,
                               const std::string& /*detail*/) {
    ++first.errors;
    first.error = error;
  };
  client->Start(std::move(request), std::move(handlers));
  WaitUntilFinished(first);
  test_loop.Settle();
  LONGS_EQUAL(1, first.errors);
  LONGS_EQUAL(0, first.sends);
  CHECK(first.error == en::ExchangeError::kNotConnected);
}

// An endpoint crashes in the middle of an answer. The part that arrived is
// delivered, and then the error is reported once.
TEST(HttpClient, ReportsAResetWithinAnAnswerOnce) {
  Outcome first;
  Start(first, "/first");
  auto peer = Accept();
  ReceiveHead(*peer);
  peer->Send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
  test_loop.WaitUntil([&first] { return first.body == "half"; });
  peer->Reset();
  WaitUntilFinished(first);
  test_loop.Settle();
  LONGS_EQUAL(1, first.heads);
  LONGS_EQUAL(1, first.errors);
  LONGS_EQUAL(0, first.ends);
  CHECK(first.error == en::ExchangeError::kBroken);
}

// An answer without a length ends with its connection. A reset is not a regular
// end, so that the answer must not count as complete.
TEST(HttpClient, AResetDoesNotCompleteAnAnswerWithoutLength) {
  Outcome first;
  Start(first, "/first");
  auto peer = Accept();
  ReceiveHead(*peer);
  peer->Send("HTTP/1.1 200 OK\r\n\r\nhalf");
  test_loop.WaitUntil([&first] { return first.body == "half"; });
  peer->Reset();
  WaitUntilFinished(first);
  LONGS_EQUAL(1, first.errors);
  LONGS_EQUAL(0, first.ends);
  CHECK(first.error == en::ExchangeError::kBroken);
}

// Guards against a part of an answer that is told as whole: its endpoint begins
// it during an upload, and its connection ends before the upload has.
TEST(HttpClient, AnEndDuringTheUploadDoesNotCompleteAnAnswerWithoutLength) {
  using End = void (*)(et::RawSocket&);
  const std::vector<End> ends = {
      [](et::RawSocket& peer) { peer.Reset(); },
      [](et::RawSocket& peer) { peer.Close(); },
      [](et::RawSocket& peer) { peer.HalfClose(); },
  };
  for (const End end : ends) {
    Outcome first;
    Start(first, "/first", std::string(kLongBody, 'b'));
    auto peer = Accept();
    ReceiveHead(*peer);
    peer->Send("HTTP/1.1 200 OK\r\n\r\nhalf");
    end(*peer);
    WaitUntilFinished(first);
    LONGS_EQUAL(1, first.errors);
    LONGS_EQUAL(0, first.ends);
    CHECK(first.error == en::ExchangeError::kBroken);
  }
}

// Guards against a refusal without a length that is lost since it comes during
// the upload.
TEST(HttpClient, AnEndDuringTheUploadCompletesARefusalWithoutLength) {
  Outcome first;
  Start(first, "/first", std::string(kLongBody, 'b'));
  auto peer = Accept();
  ReceiveHead(*peer);
  peer->Send("HTTP/1.1 413 Too Large\r\n\r\ntoo large");
  peer->HalfClose();
  WaitUntilFinished(first);
  LONGS_EQUAL(1, first.ends);
  STRCMP_EQUAL("too large", first.body.c_str());
}

// Guards against a caller that waits for the answer behind one whose status no
// answer can have.
TEST(HttpClient, AStatusBelowAllOthersIsNoAnswer) {
  for (const std::string status : {"000", "099"}) {
    Outcome first;
    Start(first, "/first");
    auto peer = Accept();
    ReceiveHead(*peer);
    peer->Send("HTTP/1.1 " + status + " OK\r\nContent-Length: 2\r\n\r\nno");
    WaitUntilFinished(first);
    LONGS_EQUAL(0, first.heads);
    LONGS_EQUAL(1, first.errors);
    CHECK(first.error == en::ExchangeError::kBadAnswer);
  }
}

// An endpoint closes the connection in the middle of an answer with a length,
// or of a chunked answer.
TEST(HttpClient, ReportsBrokenForATruncatedAnswer) {
  for (const std::string head : {"Content-Length: 10\r\n\r\n",
                                 "Transfer-Encoding: chunked\r\n\r\n4\r\n"}) {
    Outcome first;
    Start(first, "/first");
    auto peer = Accept();
    ReceiveHead(*peer);
    peer->Send("HTTP/1.1 200 OK\r\n" + head + "half");
    peer->Close();
    WaitUntilFinished(first);
    LONGS_EQUAL(1, first.errors);
    LONGS_EQUAL(0, first.ends);
    CHECK(first.error == en::ExchangeError::kBroken);
  }
}

// An endpoint sends extra bytes after its answer. If the connection were
// reused, the next request would get them as its answer.
TEST(HttpClient, DropsAConnectionWithBytesAfterTheAnswer) {
  Outcome first;
  Start(first, "/first");
  auto peer = Accept();
  ReceiveHead(*peer);
  peer->Send(MakeAnswer("first") + MakeAnswer("stale"));
  WaitUntilFinished(first);
  LONGS_EQUAL(1, first.ends);
  STRCMP_EQUAL("first", first.body.c_str());
  Outcome second;
  Start(second, "/second");
  auto other = Accept();
  ReceiveHead(*other);
  other->Send(MakeAnswer("second"));
  WaitUntilFinished(second);
  STRCMP_EQUAL("second", second.body.c_str());
}

// An endpoint sends extra bytes while the connection is idle. If it were
// reused, the next request would get them as its answer.
TEST(HttpClient, DropsAnIdleConnectionThatReceivesBytes) {
  auto peer = MakeIdleConnection();
  peer->Send(MakeAnswer("stale"));
  test_loop.Settle();
  Outcome second;
  Start(second, "/second");
  auto other = Accept();
  ReceiveHead(*other);
  other->Send(MakeAnswer("second"));
  WaitUntilFinished(second);
  STRCMP_EQUAL("second", second.body.c_str());
  LONGS_EQUAL(2, client->connections_opened());
}

// The node's kernel has received extra bytes on an idle connection, but the
// node has not read them yet when a request takes the connection. They arrived
// before the request was sent, so that they can't be its answer.
TEST(HttpClient, IgnoresBytesThatArrivedBeforeTheRequest) {
  auto peer = MakeIdleConnection();
  peer->Send(MakeAnswer("stale"));
  Outcome second;
  Start(second, "/second");
  et::RawSocketPtr other;
  test_loop.WaitUntil([&] {
    other = endpoint->Accept();
    if (peer->end() == et::ConnectionEnd::kOpen) peer->Receive();
    return other != nullptr || second.finished() ||
           peer->received().find("/second") != std::string::npos;
  });
  if (other != nullptr) ReceiveHead(*other);
  (other != nullptr ? other : peer)->SendSome(MakeAnswer("second"));
  WaitUntilFinished(second);
  CHECK(second.body != "stale");
  LONGS_EQUAL(1, second.ends);
  STRCMP_EQUAL("second", second.body.c_str());
}

// An endpoint announces that it closes the connection after an answer, or how
// long it keeps the connection open. The client must not reuse it after that.
TEST(HttpClient, DoesNotReuseAConnectionBeyondItsKeepAlive) {
  Outcome first;
  Start(first, "/first");
  auto peer = Accept();
  ReceiveHead(*peer);
  peer->Send(MakeAnswer("first", "Connection: close\r\n"));
  WaitUntilFinished(first);
  Outcome second;
  Start(second, "/second");
  auto other = Accept();
  ReceiveHead(*other);
  other->Send(MakeAnswer("second", "Keep-Alive: timeout=5\r\n"));
  WaitUntilFinished(second);
  ek::Advance(test_loop.clock, 2900ms);
  Outcome third;
  Start(third, "/third");
  ReceiveHead(*other);
  other->Send(MakeAnswer("third", "Keep-Alive: timeout=5\r\n"));
  WaitUntilFinished(third);
  LONGS_EQUAL(2, client->connections_opened());
  ek::Advance(test_loop.clock, 3100ms);
  Outcome fourth;
  Start(fourth, "/fourth");
  auto last = Accept();
  ReceiveHead(*last);
  last->Send(MakeAnswer("fourth"));
  WaitUntilFinished(fourth);
  LONGS_EQUAL(1, fourth.ends);
  LONGS_EQUAL(3, client->connections_opened());
}

// Guards against connections that each hold a long line that may not end: its
// sender needs only to stop below the size of the buffer.
TEST(HttpClient, ALineLongerThanAHeadHasNoEnd) {
  Outcome outcome;
  Start(outcome, "/a");
  const auto peer = Accept();
  ReceiveHead(*peer);
  peer->Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;" +
             std::string(2 * en::kMaxAnswerHeadBytes, 'a'));
  WaitUntilFinished(outcome);
  CHECK(outcome.error == en::ExchangeError::kBadAnswer);
}

// Guards against a copy of a refusal that is taken for the answer to the same
// request, which is sent again on the same connection.
TEST(HttpClient, DoesNotSendARequestWhereItWasRefused) {
  Outcome first;
  Start(first, "/", "", "a");
  const auto refusing = Accept();
  Refuse(*refusing, first);
  CHECK_FALSE(HasReusable("a"));
  CHECK(HasReusable("b"));
  Outcome second;
  Start(second, "/", "", "a");
  const auto other = Accept();
  Refuse(*other, second);
  Outcome third;
  Start(third, "/", "", "b");
  Refuse(*other, third);
  CHECK(HasReusable("c"));
  LONGS_EQUAL(2, client->connections_opened());
}

// Guards against a connection whose refusals are forgotten.
TEST(HttpClient, ClosesAConnectionAfterManyRefusals) {
  et::RawSocketPtr peer;
  for (std::size_t i = 1; i <= en::kMaxRefusalsOfConnection; ++i) {
    Outcome outcome;
    Start(outcome, "/", "", std::to_string(i));
    if (peer == nullptr) peer = Accept();
    Refuse(*peer, outcome);
    CHECK_EQUAL(i < en::kMaxRefusalsOfConnection, HasReusable("next"));
  }
  LONGS_EQUAL(1, client->connections_opened());
}

// Guards against a copy of a refusal that names no request and is taken for the
// answer to one that has an id.
TEST(HttpClient, SendsNoRequestWithAnIdAfterARefusalWithoutOne) {
  Outcome outcome;
  Start(outcome, "/");
  const auto peer = Accept();
  Refuse(*peer, outcome);
  CHECK_FALSE(HasReusable("a"));
  CHECK(HasReusable(""));
  Outcome named;
  Start(named, "/", "", "a");
  Refuse(*Accept(), named);
  LONGS_EQUAL(2, client->connections_opened());
}

// Guards against a question whose connection the request behind it may not use,
// so that another process may get the request.
TEST(HttpClient, AQuestionGoesWhereItsRequestMayFollow) {
  Outcome first;
  Start(first, "/", "", "a");
  const auto refusing = Accept();
  Refuse(*refusing, first);
  Outcome question;
  Start(question, "/", "", "", "a");
  const auto asked = Accept();
  ReceiveHead(*asked);
  asked->Send(MakeAnswer("report"));
  WaitUntilFinished(question);
  Outcome second;
  Start(second, "/", "", "a");
  ReceiveHead(*asked);
  LONGS_EQUAL(2, client->connections_opened());
}
