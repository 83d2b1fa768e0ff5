#include "egretladder/net/http_reader.h"

#include <CppUTest/TestHarness.h>

#include <string>

namespace en = egretladder::net;

namespace {

constexpr en::ReadLimits kLimits{4096, 64};

// Feeds byte by byte, as a slow caller would, and returns what was not used.
struct Fed {
  en::RequestReader reader{kLimits};
  std::string rest;
};

void FeedSlowly(Fed& fed, const std::string& text) {
  for (const char c : text) {
    fed.rest += c;
    if (fed.reader.state() == en::ReadState::kFailed ||
        fed.reader.state() == en::ReadState::kDone) {
      continue;
    }
    fed.rest.erase(0, fed.reader.Feed(fed.rest));
  }
}

en::ReadFault FaultOf(const std::string& text) {
  Fed slow;
  FeedSlowly(slow, text);
  en::RequestReader whole(kLimits);
  whole.Feed(text);
  // The cut of the bytes must not matter.
  CHECK(slow.reader.fault() == whole.fault());
  return whole.fault();
}

bool IsRefused(const std::string& text) {
  return FaultOf(text) == en::ReadFault::kSyntax;
}

}  // namespace

TEST_GROUP(RequestReader){};

TEST(RequestReader, ReadsAWholeRequestAndLeavesTheNext) {
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
  Fed fed;
  FeedSlowly(fed,
             "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
             "2\r\nab\r\n1;x=y\r\nc\r\n0\r\nTrailer: dropped\r\n\r\nG");
  CHECK(fed.reader.state() == en::ReadState::kDone);
  STRCMP_EQUAL("abc", fed.reader.request().body.c_str());
  STRCMP_EQUAL("G", fed.rest.c_str());
  LONGS_EQUAL(0, en::CountFields(fed.reader.request().fields, "Trailer"));
}

// A caller sends two lengths. This node would take one, the endpoint the other,
// and the bytes between them would run at the endpoint as a request that nobody
// sent, under another client account's key.
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

// A field name with a space before its colon is skipped by one reader and
// believed by the next: the body then stands as a request of its own.
TEST(RequestReader, RefusesASpaceBeforeTheColon) {
  CHECK(
      IsRefused("POST / HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\n"
                "abc"));
}

// Numbers that one reader takes and another does not end the body elsewhere.
TEST(RequestReader, RefusesNumbersThatAreNotPlain) {
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

// Both framings at once, or one that only some readers know.
TEST(RequestReader, RefusesAFramingThatIsOpenToDoubt) {
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

TEST(RequestReader, RefusesMissingAndDoubleHostsAndOddTargets) {
  CHECK(IsRefused("GET / HTTP/1.1\r\n\r\n"));
  CHECK(IsRefused("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n"));
  CHECK(IsRefused("GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n"));
  CHECK(IsRefused("OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n"));
  CHECK(IsRefused("GET / HTTP/2.0\r\nHost: h\r\n\r\n"));
  CHECK(IsRefused("\x16\x03\x01 hello\r\n\r\n"));
}

TEST(RequestReader, BoundsHeadAndBody) {
  CHECK(FaultOf("GET / HTTP/1.1\r\nHost: h\r\nA: " + std::string(5000, 'a') +
                "\r\n\r\n") == en::ReadFault::kHeadTooLarge);
  CHECK(FaultOf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n") ==
        en::ReadFault::kBodyTooLarge);
  CHECK(FaultOf("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
                "\r\n60\r\n" +
                std::string(96, 'a')) == en::ReadFault::kBodyTooLarge);
}

// A caller's head and body come in pieces, cut anywhere, and the body holds
// line feeds and blanks. Taken for a part of the head, they would have a sound
// request refused.
TEST(RequestReader, ReadsTheSameHoweverTheBytesAreCut) {
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

TEST(RequestReader, SaysWhenACallerWaitsToSendItsBody) {
  en::RequestReader reader(kLimits);
  reader.Feed(
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
      "Expect: 100-continue\r\n\r\n");
  CHECK(reader.WantsContinue());
}

TEST_GROUP(AnswerReader){};

TEST(AnswerReader, ReadsWhatHasALength) {
  en::AnswerReader reader(kLimits, false);
  const std::string text =
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nA: b\r\n\r\nokHTTP";
  LONGS_EQUAL(text.size() - 4, reader.Feed(text));
  CHECK(reader.state() == en::ReadState::kDone);
  LONGS_EQUAL(200, reader.head().status);
  STRCMP_EQUAL("ok", reader.TakeBody().c_str());
}

// An endpoint's answer has no length and ends with its connection. If the
// connection is reset instead, the reader is never told of an end, so that the
// answer stays incomplete.
TEST(AnswerReader, CompletesAnAnswerWithoutLengthAtItsEndOnly) {
  en::AnswerReader reader(kLimits, false);
  reader.Feed("HTTP/1.1 200 OK\r\n\r\npart");
  CHECK(reader.state() == en::ReadState::kBody);
  reader.FeedEnd();
  CHECK(reader.state() == en::ReadState::kDone);
  STRCMP_EQUAL("part", reader.TakeBody().c_str());
}

// An endpoint crashes in the middle of its answer: the caller must not get the
// half as a whole.
TEST(AnswerReader, FailsWhenTheConnectionEndsBeforeTheLength) {
  en::AnswerReader reader(kLimits, false);
  reader.Feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart");
  reader.FeedEnd();
  CHECK(reader.state() == en::ReadState::kFailed);
  en::AnswerReader chunked(kLimits, false);
  chunked.Feed(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "4\r\npart\r\n");
  chunked.FeedEnd();
  CHECK(chunked.state() == en::ReadState::kFailed);
}

TEST(AnswerReader, RefusesBytesThatAreNoAnswer) {
  en::AnswerReader reader(kLimits, false);
  reader.Feed("\x01\x02garbage\r\n\r\n");
  CHECK(reader.state() == en::ReadState::kFailed);
}
