// Answers that stop at any of their bytes, and then the end of the connection.
#include <CppUTest/TestHarness.h>

#include <array>
#include <memory>
#include <string>
#include <vector>

#include "egretladder/net/http_client.h"
#include "egretladder/net/http_reader.h"
#include "harness.h"

namespace en = egretladder::net;
namespace et = egretladder::net::test;

namespace {

// How the endpoint's side of a connection ends.
enum class Ending : std::uint8_t { kClose, kHalfClose, kReset };
constexpr std::array<Ending, 3> kEndings = {Ending::kClose, Ending::kHalfClose,
                                            Ending::kReset};

struct WholeAnswer {
  const char* name;
  std::string before;  // Interim answers, or those to other requests.
  std::string head;
  std::string body;  // With its framing.
  std::string content;
  bool ends_with_connection = false;
  bool is_head_request = false;

  std::string bytes() const { return before + head + body; }
  // Returns true if the first `size` bytes and that end make an answer.
  bool IsWhole(std::size_t size, Ending ending) const {
    if (size == bytes().size())
      return !ends_with_connection || ending != Ending::kReset;
    return ends_with_connection && ending != Ending::kReset &&
           size >= before.size() + head.size();
  }
  // The content of these bytes, whole or not.
  std::string ContentOf(std::size_t size) const {
    if (!ends_with_connection) return content;
    return content.substr(0, size - before.size() - head.size());
  }
};

std::string Head(const std::string& fields,
                 const std::string& line = "200 OK") {
  return "HTTP/1.1 " + line + "\r\nX-Id: r\r\n" + fields + "\r\n";
}

std::vector<WholeAnswer> WholeAnswers() {
  const std::string chunked = Head("Transfer-Encoding: chunked\r\n");
  return {
      {"length", "", Head("Content-Length: 5\r\n"), "whole", "whole"},
      {"a length of 0", "", Head("Content-Length: 0\r\n"), "", ""},
      {"chunks", "", chunked, "3\r\nwho\r\n2;a=b\r\nle\r\n0\r\n\r\n", "whole"},
      {"chunks and a trailer", "", chunked,
       "5\r\nwhole\r\n0\r\nX-Sum: 1\r\n\r\n", "whole"},
      {"no chunk", "", chunked, "0\r\n\r\n", ""},
      {"no length", "", Head(""), "whole", "whole", true},
      {"no length and no body", "", Head(""), "", "", true},
      {"HTTP/1.0", "", "HTTP/1.0 200 OK\r\nX-Id: r\r\n\r\n", "whole", "whole",
       true},
      {"no content", "", Head("", "204 No Content"), "", ""},
      {"the answer to HEAD", "", Head("Content-Length: 5\r\n"), "", "", false,
       true},
      {"after interim answers",
       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n",
       Head(""), "whole", "whole", true},
      {"after another request's answer",
       "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 1\r\n\r\nx",
       Head("Content-Length: 5\r\n"), "whole", "whole"},
  };
}

std::string Describe(const WholeAnswer& answer, std::size_t size,
                     Ending ending) {
  return std::string(answer.name) + ", " + std::to_string(size) +
         " bytes, ending " + std::to_string(static_cast<int>(ending));
}

}  // namespace

TEST_GROUP(CutAnswers) {
  et::TestLoop test_loop;
  et::RawListener endpoint;
  std::unique_ptr<en::HttpClient> client =
      std::make_unique<en::HttpClient>(test_loop.loop);
  std::string body;
  int heads = 0;
  int ends = 0;
  en::AnswerEnd told_end{};
  int errors = 0;

  void Start(bool is_head_request) {
    body.clear();
    heads = ends = errors = 0;
    en::ExchangeRequest request;
    request.address = endpoint.address();
    request.is_head_request = is_head_request;
    request.head = en::FormatRequestHead("GET", "/a", {{"Host", "h"}},
                                         en::BodyFraming::kNone, 0);
    en::ExchangeHandlers handlers;
    handlers.on_head = [this](const en::HttpAnswerHead& head) {
      if (en::FirstFieldValue(head.fields, "X-Id") != "r")
        return en::HeadVerdict::kSkip;
      ++heads;
      return en::HeadVerdict::kAccept;
    };
    handlers.on_body = [this](std::string_view piece) { body += piece; };
    handlers.on_end = [this](en::AnswerEnd end) {
      ++ends;
      told_end = end;
    };
    handlers.on_error = [this](en::ExchangeError /*error*/,
                               const std::string& /*detail*/) { ++errors; };
    client->Start(std::move(request), std::move(handlers));
  }

  et::RawSocketPtr Accept() {
    et::RawSocketPtr peer;
    test_loop.WaitUntil([&] {
      peer = endpoint.Accept();
      return peer != nullptr;
    });
    return peer;
  }

  // Receives the next request, after `size` bytes of earlier ones.
  void AwaitRequest(et::RawSocket & peer, std::size_t size = 0) {
    test_loop.WaitUntil([&peer, size] {
      peer.Receive();
      return peer.received().find("\r\n\r\n", size) != std::string::npos;
    });
  }

  // Lets the endpoint send the first `size` bytes and end the connection, and
  // checks what the exchange was told.
  void CheckCut(et::RawSocket & peer, const WholeAnswer& answer,
                std::size_t size, Ending ending) {
    const std::string text = Describe(answer, size, ending);
    peer.Send(answer.bytes().substr(0, size));
    if (ending == Ending::kClose) peer.Close();
    if (ending == Ending::kHalfClose) peer.HalfClose();
    if (ending == Ending::kReset) peer.Reset();
    test_loop.WaitUntil([this] { return ends + errors > 0; });
    const bool is_whole = answer.IsWhole(size, ending);
    LONGS_EQUAL_TEXT(is_whole ? 1 : 0, ends, text.c_str());
    LONGS_EQUAL_TEXT(is_whole ? 0 : 1, errors, text.c_str());
    const bool is_told_by_connection = told_end == en::AnswerEnd::kConnection;
    if (is_whole)
      CHECK_TEXT(is_told_by_connection == answer.ends_with_connection,
                 text.c_str());
    if (is_whole)
      STRCMP_EQUAL_TEXT(answer.ContentOf(size).c_str(), body.c_str(),
                        text.c_str());
    if (size < answer.before.size() + answer.head.size())
      LONGS_EQUAL_TEXT(0, heads, text.c_str());
  }
};

// Guards against a reader that takes the end of the connection for the end of a
// head, a chunk, a trailer or a body of a known length.
TEST(CutAnswers, TheReaderTakesNoneForWhole) {
  for (const WholeAnswer& answer : WholeAnswers()) {
    const std::string bytes = answer.head + answer.body;
    for (std::size_t size = 0; size <= bytes.size(); ++size) {
      // In one piece, and byte by byte.
      for (const std::size_t step : {bytes.size() + 1, std::size_t{1}}) {
        en::AnswerReader reader({4096, 4096}, answer.is_head_request);
        std::string input;
        for (std::size_t at = 0; at < size; at += step) {
          input += bytes.substr(at, std::min(step, size - at));
          while (!input.empty() && reader.state() != en::ReadState::kDone) {
            const std::size_t used = reader.Feed(input);
            if (used == 0) break;
            input.erase(0, used);
          }
        }
        if (reader.state() != en::ReadState::kDone) reader.FeedEof();
        const bool is_whole =
            answer.IsWhole(answer.before.size() + size, Ending::kClose);
        CHECK_EQUAL_TEXT(is_whole, reader.state() == en::ReadState::kDone,
                         Describe(answer, size, Ending::kClose).c_str());
      }
    }
  }
}

// Guards against the same at the client, on a new connection.
TEST(CutAnswers, TheClientTakesNoneForWhole) {
  for (const WholeAnswer& answer : WholeAnswers()) {
    for (const Ending ending : kEndings) {
      for (std::size_t size = 0; size <= answer.bytes().size(); ++size) {
        Start(answer.is_head_request);
        const et::RawSocketPtr peer = Accept();
        AwaitRequest(*peer);
        CheckCut(*peer, answer, size, ending);
      }
    }
  }
}

// Guards against the same on a connection that had an answer before.
TEST(CutAnswers, TheClientTakesNoneForWholeOnAKeptConnection) {
  for (const WholeAnswer& answer : WholeAnswers()) {
    for (const Ending ending : kEndings) {
      for (std::size_t size = 0; size <= answer.bytes().size(); ++size) {
        Start(false);
        const et::RawSocketPtr peer = Accept();
        AwaitRequest(*peer);
        peer->Send(Head("Content-Length: 5\r\n") + "first");
        test_loop.WaitUntil([this] { return ends > 0; });
        const std::size_t received = peer->received().size();
        Start(answer.is_head_request);
        AwaitRequest(*peer, received);
        CheckCut(*peer, answer, size, ending);
      }
    }
  }
}
