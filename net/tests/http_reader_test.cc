#include "egretladder/net/http_reader.h"

#include <CppUTest/TestHarness.h>

#include <string>

#include "egretladder/net/limits.h"

namespace en = egretladder::net;

namespace {

constexpr en::ReadLimits kLimits{4096, 64};

// A reader that is fed byte by byte, and the bytes that it has not consumed.
struct SlowReader {
  en::RequestReader reader{kLimits};
  std::string rest;
};

void FeedSlowly(SlowReader& slow, const std::string& text) {
  for (const char c : text) {
    slow.rest += c;
    if (slow.reader.state() == en::ReadState::kFailed ||
        slow.reader.state() == en::ReadState::kDone) {
      continue;
    }
    slow.rest.erase(0, slow.reader.Feed(slow.rest));
  }
}

en::ReadError GetReadError(const std::string& text) {
  SlowReader slow;
  FeedSlowly(slow, text);
  en::RequestReader whole(kLimits);
  whole.Feed(text);
  // The result must not depend on the pieces in which the bytes arrive.
  CHECK(slow.reader.error() == whole.error());
  return whole.error();
}

bool IsRefused(const std::string& text) {
  return GetReadError(text) == en::ReadError::kSyntax;
}

}  // namespace

TEST_GROUP(RequestReader){};

TEST(RequestReader, ReadsOneRequestAndLeavesTheNext) {
  const std::string text =
      "POST /a/b?c=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET /";
  en::RequestReader reader(kLimits);
  LONGS_EQUAL(text.size() - 5, reader.Feed(text));
  CHECK(reader.state() == en::ReadState::kDone);
  STRCMP_EQUAL("POST", reader.request().method.c_str());
  STRCMP_EQUAL("/a/b?c=1", reader.request().target.c_str());
  STRCMP_EQUAL("abc", reader.request().body.c_str());
  CHECK(reader.request().keep_alive);
}

TEST(RequestReader, ReadsChunks) {
  SlowReader slow;
  FeedSlowly(slow,
             "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
             "2\r\nab\r\n1;x=y\r\nc\r\n0\r\nTrailer: dropped\r\n\r\nG");
  CHECK(slow.reader.state() == en::ReadState::kDone);
  STRCMP_EQUAL("abc", slow.reader.request().body.c_str());
  STRCMP_EQUAL("G", slow.rest.c_str());
  LONGS_EQUAL(0, en::CountFields(slow.reader.request().fields, "Trailer"));
}

// Request smuggling: a caller sends two lengths. If this node used one and the
// endpoint the other, the endpoint would run the bytes between them as a
// separate request, possibly with the key of another client account.
TEST(RequestReader, RefusesTwoLengths) {
  CHECK(
      IsRefused("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                "Content-Length: 40\r\n\r\nabc"));
  CHECK(
      IsRefused("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                "Content-Length: 3\r\n\r\nabc"));
  CHECK(
      IsRefused("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3, 3\r\n\r\n"
                "abc"));
}

// Some parsers ignore a field whose name has a space before the colon, others
// accept it. For the first, the body would be a separate request.
TEST(RequestReader, RefusesASpaceBeforeTheColon) {
  CHECK(
      IsRefused("POST / HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\n"
                "abc"));
}

// Lengths that only some parsers accept make the end of the body ambiguous.
TEST(RequestReader, RefusesLengthsThatAreNotPlainNumbers) {
  for (const char* length : {"+3", "0x3", "-1", "3 4", "", "three"}) {
    CHECK(IsRefused("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                    std::string(length) + "\r\n\r\nabc"));
  }
  for (const char* size : {"0x3", "+3", "-3", "3 3"}) {
    CHECK(
        IsRefused("POST / HTTP/1.1\r\nHost: h\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n" +
                  std::string(size) + "\r\nabc\r\n0\r\n\r\n"));
  }
}

// Two framings at once, or a transfer coding that only some parsers support.
TEST(RequestReader, RefusesAnAmbiguousFraming) {
  CHECK(
      IsRefused("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"));
  CHECK(
      IsRefused("POST / HTTP/1.1\r\nHost: h\r\n"
                "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n"
                "0\r\n\r\n"));
  CHECK(
      IsRefused("POST / HTTP/1.1\r\nHost: h\r\n"
                "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"));
  CHECK(
      IsRefused("POST / HTTP/1.1\r\nHost: h\r\n"
                "Transfer-Encoding: xchunked\r\n\r\n"));
  CHECK(
      IsRefused("POST / HTTP/1.1\r\nHost: h\r\n"
                "Transfer-Encoding: chunked\r\n"
                "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"));
}

TEST(RequestReader, RefusesFoldedLinesAndBareLineFeeds) {
  CHECK(IsRefused("GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n c\r\n\r\n"));
  CHECK(IsRefused("GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n\tc\r\n\r\n"));
  CHECK(IsRefused("GET / HTTP/1.1\nHost: h\n\n"));
}

TEST(RequestReader, RefusesInvalidHostsTargetsAndVersions) {
  CHECK(IsRefused("GET / HTTP/1.1\r\n\r\n"));
  CHECK(IsRefused("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n"));
  CHECK(IsRefused("GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n"));
  CHECK(IsRefused("OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n"));
  CHECK(IsRefused("GET / HTTP/2.0\r\nHost: h\r\n\r\n"));
  CHECK(IsRefused("\x16\x03\x01 hello\r\n\r\n"));
}

TEST(RequestReader, LimitsTheSizeOfHeadAndBody) {
  CHECK(
      GetReadError("GET / HTTP/1.1\r\nHost: h\r\nA: " + std::string(5000, 'a') +
                   "\r\n\r\n") == en::ReadError::kHeadTooLarge);
  CHECK(GetReadError(
            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n") ==
        en::ReadError::kBodyTooLarge);
  CHECK(GetReadError(
            "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
            "\r\n60\r\n" +
            std::string(96, 'a')) == en::ReadError::kBodyTooLarge);
}

// Head and body arrive in pieces, split at any position, and the body contains
// line feeds and spaces. If these were checked as a part of the head, a valid
// request would be refused.
TEST(RequestReader, TheResultDoesNotDependOnTheSplitOfTheBytes) {
  const std::string text =
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 12\r\n\r\n"
      " a\n\n b\r\n c\r\n";
  for (std::size_t cut = 1; cut < text.size(); ++cut) {
    en::RequestReader reader(kLimits);
    std::string rest = text.substr(0, cut);
    rest.erase(0, reader.Feed(rest));
    rest += text.substr(cut);
    reader.Feed(rest);
    CHECK(reader.state() == en::ReadState::kDone);
    STRCMP_EQUAL(" a\n\n b\r\n c\r\n", reader.request().body.c_str());
  }
}

TEST(RequestReader, RecognizesExpectContinue) {
  en::RequestReader reader(kLimits);
  reader.Feed(
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
      "Expect: 100-continue\r\n\r\n");
  CHECK(reader.WantsContinue());
}

TEST_GROUP(AnswerReader){};

TEST(AnswerReader, ReadsAnAnswerWithALength) {
  en::AnswerReader reader(kLimits, false);
  const std::string text =
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nA: b\r\n\r\nokHTTP";
  LONGS_EQUAL(text.size() - 4, reader.Feed(text));
  CHECK(reader.state() == en::ReadState::kDone);
  LONGS_EQUAL(200, reader.head().status);
  STRCMP_EQUAL("ok", reader.TakeBody().c_str());
}

// An answer without a length ends with its connection. If the connection is
// reset instead, `FeedEof` is not called, so that the answer stays incomplete.
TEST(AnswerReader, CompletesAnAnswerWithoutLengthOnlyAtItsEnd) {
  en::AnswerReader reader(kLimits, false);
  reader.Feed("HTTP/1.1 200 OK\r\n\r\npart");
  CHECK(reader.state() == en::ReadState::kBody);
  reader.FeedEof();
  CHECK(reader.state() == en::ReadState::kDone);
  STRCMP_EQUAL("part", reader.TakeBody().c_str());
}

// An endpoint crashes in the middle of its answer. The part must not count as a
// complete answer.
// Guards against a process that an assertion of the parser ends when the last
// chunk of a body without others comes in pieces.
TEST(AnswerReader, ReadsALastChunkInPieces) {
  for (const char* last : {"0\r\n\r\n", "0\r\nX-A: b\r\n\r\n"}) {
    en::AnswerReader reader(kLimits, false);
    std::string rest;
    for (const char c :
         std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") +
             last) {
      rest += c;
      rest.erase(0, reader.Feed(rest));
    }
    CHECK(reader.state() == en::ReadState::kDone);
  }
}

TEST(AnswerReader, FailsWhenTheConnectionEndsBeforeTheLength) {
  en::AnswerReader reader(kLimits, false);
  reader.Feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart");
  reader.FeedEof();
  CHECK(reader.state() == en::ReadState::kFailed);
  en::AnswerReader chunked(kLimits, false);
  chunked.Feed(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "4\r\npart\r\n");
  chunked.FeedEof();
  CHECK(chunked.state() == en::ReadState::kFailed);
}

TEST(AnswerReader, RefusesBytesThatAreNotHttp) {
  en::AnswerReader reader(kLimits, false);
  reader.Feed("\x01\x02garbage\r\n\r\n");
  CHECK(reader.state() == en::ReadState::kFailed);
}

// Guards against a head whose fields take twenty times the memory of its bytes.
TEST(AnswerReader, RefusesAHeadOfManySmallFields) {
  const auto state_after = [](std::size_t fields) {
    std::string head = "HTTP/1.1 200 OK\r\n";
    for (std::size_t i = 0; i < fields; ++i) head += "a:\r\n";
    en::AnswerReader reader({en::kMaxAnswerHeadBytes, 64, en::kMaxAnswerFields},
                            false);
    reader.Feed(head + "\r\n");
    return reader.state();
  };
  CHECK(state_after(250) == en::ReadState::kBody);
  CHECK(state_after(1000) == en::ReadState::kFailed);
  CHECK(state_after(8000) == en::ReadState::kFailed);
}
