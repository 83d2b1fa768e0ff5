#include "egretladder/net/event_splitter.h"

#include <CppUTest/TestHarness.h>

namespace en = egretladder::net;

TEST_GROUP(EventSplitter){};

// An endpoint crashes in the middle of an event. If the caller had received a
// part of the event, no other endpoint could resume the stream.
TEST(EventSplitter, HoldsBackAnIncompleteEvent) {
  en::EventSplitter splitter;
  STRCMP_EQUAL(
      "id: 1\ndata: a\n\n",
      en::SplitEvents(splitter, "id: 1\ndata: a\n\nid: 2\nda").c_str());
  STRCMP_EQUAL("1", splitter.last_id.c_str());
  LONGS_EQUAL(1, splitter.events);
  STRCMP_EQUAL("", en::SplitEvents(splitter, "ta: b\n").c_str());
  STRCMP_EQUAL("id: 2\ndata: b\n\n", en::SplitEvents(splitter, "\n").c_str());
  STRCMP_EQUAL("2", splitter.last_id.c_str());
  LONGS_EQUAL(0, splitter.incomplete_event.size());
}

// Guards against comments and empty lines without end that count as events.
TEST(EventSplitter, CommentsAndEmptyLinesAreNoEvents) {
  en::EventSplitter splitter;
  STRCMP_EQUAL("", en::SplitEvents(splitter, ": wait\n\n\n").c_str());
  LONGS_EQUAL(0, splitter.events);
  STRCMP_EQUAL(": wait\n\n\nid: 1\n\n",
               en::SplitEvents(splitter, "id: 1\n\n").c_str());
  LONGS_EQUAL(1, splitter.events);
  LONGS_EQUAL(0, splitter.bytes_since_event);
  STRCMP_EQUAL(": wait\n\n\n",
               en::SplitEvents(splitter, ": wait\n\n\n").c_str());
  LONGS_EQUAL(1, splitter.events);
  LONGS_EQUAL(9, splitter.bytes_since_event);
  STRCMP_EQUAL("", en::SplitEvents(splitter, "data: 2\n").c_str());
  LONGS_EQUAL(17, splitter.bytes_since_event);
}

TEST(EventSplitter, AcceptsBytesInAnyPiecesAndBothLineEnds) {
  const std::string text = "id:7\r\ndata: x\r\n\r\nid:8\r\ndata: y\r\n\r\n";
  en::EventSplitter splitter;
  std::string passed;
  for (const char c : text) {
    passed += en::SplitEvents(splitter, std::string(1, c));
  }
  STRCMP_EQUAL(text.c_str(), passed.c_str());
  STRCMP_EQUAL("8", splitter.last_id.c_str());
  LONGS_EQUAL(2, splitter.events);
}

// Guards against streams of engines that end their lines with CR alone: none of
// their events would get through.
TEST(EventSplitter, ACarriageReturnEndsALine) {
  en::EventSplitter splitter;
  STRCMP_EQUAL("id: 1\rdata: a\r\r",
               en::SplitEvents(splitter, "id: 1\rdata: a\r\rid: 2\r").c_str());
  STRCMP_EQUAL("1", splitter.last_id.c_str());
  LONGS_EQUAL(1, splitter.events);
  STRCMP_EQUAL("", en::SplitEvents(splitter, "data: b\r").c_str());
  STRCMP_EQUAL("id: 2\rdata: b\r\r", en::SplitEvents(splitter, "\r").c_str());
  STRCMP_EQUAL("2", splitter.last_id.c_str());
  LONGS_EQUAL(2, splitter.events);
  LONGS_EQUAL(0, splitter.incomplete_event.size());
}

// Guards against the two bytes of a line's end in two pieces: taken for two
// ends, they would make an event of each line.
TEST(EventSplitter, ALineEndInTwoPiecesIsOne) {
  en::EventSplitter splitter;
  STRCMP_EQUAL("", en::SplitEvents(splitter, "id: 1\r").c_str());
  STRCMP_EQUAL("", en::SplitEvents(splitter, "\ndata: a\r").c_str());
  STRCMP_EQUAL("", en::SplitEvents(splitter, "\n").c_str());
  // Callers that know CRLF alone wait for both of its bytes.
  STRCMP_EQUAL("", en::SplitEvents(splitter, "\r").c_str());
  LONGS_EQUAL(0, splitter.events);
  STRCMP_EQUAL("id: 1\r\ndata: a\r\n\r\n",
               en::SplitEvents(splitter, "\n").c_str());
  LONGS_EQUAL(1, splitter.events);
}

// Guards against a stream of mixed line ends, cut anywhere, that loses bytes,
// has an event too many or ends inside one.
TEST(EventSplitter, MixedLineEndsInAnyPiecesMakeTheSameEvents) {
  const std::string text =
      "id:1\rdata: a\r\rid:2\ndata: b\n\n:c\r\n\r\nid:3\r\ndata: c\r\n\r\n"
      "id:4\rdata: d\r\r\nid:5\ndata: e\n\r\n";
  for (std::size_t first = 0; first <= text.size(); ++first) {
    for (std::size_t second = first; second <= text.size(); ++second) {
      en::EventSplitter splitter;
      std::string passed = en::SplitEvents(splitter, text.substr(0, first));
      passed += en::SplitEvents(splitter, text.substr(first, second - first));
      passed += en::SplitEvents(splitter, text.substr(second));
      STRCMP_EQUAL(text.c_str(), passed.c_str());
      STRCMP_EQUAL("5", splitter.last_id.c_str());
      LONGS_EQUAL(5, splitter.events);
    }
  }
}

// Guards against events that depend on how a stream is cut into pieces.
TEST(EventSplitter, AllShortStreamsAreReadAlikeByteByByte) {
  constexpr std::string_view kBytes = "a:\r\n";
  constexpr std::size_t kLength = 7;
  for (std::size_t number = 0; number < std::size_t{1} << (2 * kLength);
       ++number) {
    std::string text;
    for (std::size_t at = 0; at < kLength; ++at)
      text += kBytes[(number >> (2 * at)) % kBytes.size()];
    en::EventSplitter whole;
    const std::string events = en::SplitEvents(whole, text);
    en::EventSplitter slow;
    std::string passed;
    for (const char c : text)
      passed += en::SplitEvents(slow, std::string(1, c));
    CHECK_TRUE(events == passed);
    LONGS_EQUAL(whole.events, slow.events);
    LONGS_EQUAL(whole.bytes_since_event, slow.bytes_since_event);
  }
}

// Guards against a mark that is read of another event than its own, or of
// another field that begins alike.
TEST(EventSplitter, TheMarkedFieldBelongsToItsEvent) {
  en::EventSplitter marked;
  marked.mark_field = "weights";
  en::SplitEvents(marked,
                  "weights: 8\nid: 1\ndata: a\n\nweights-of: 9\nid: 2\n\n");
  LONGS_EQUAL(2, marked.last_events.size());
  STRCMP_EQUAL("8", marked.last_events[0].mark.c_str());
  STRCMP_EQUAL("1", marked.last_events[0].id.c_str());
  STRCMP_EQUAL("", marked.last_events[1].mark.c_str());
}

namespace {

en::SplitEvent SplitOne(const std::string& event) {
  en::EventSplitter splitter;
  splitter.mark_field = "mark";
  en::SplitEvents(splitter, event + "\n\n");
  LONGS_EQUAL(1, splitter.last_events.size());
  return splitter.last_events.front();
}

}  // namespace

// Guards against an event of other fields that looks like those before it.
TEST(EventSplitter, TellsEventsApartByTheNamesOfTheirFields) {
  const std::uint64_t usual = SplitOne("id: 1\ndata: a").fields;
  for (const char* alike :
       {"id:27\ndata", "mark: 3\nid: 2\ndata: b", ": c\nid: 2\ndata: b",
        "\xef\xbb\xbfid: 1\ndata: a"})
    CHECK_TEXT(SplitOne(alike).fields == usual, alike);
  for (const char* other :
       {"data: a", "data: a\nid: 1", "id: 1\nid: 2\ndata: a",
        "id: 1\ndata: a\ndata: b", "id: 1\ndaid: 2\ndata: a"})
    CHECK_TEXT(SplitOne(other).fields != usual, other);
}

// Guards against bytes that pass as an event, and against sound text that
// doesn't.
TEST(EventSplitter, TellsEventsFromOtherBytes) {
  for (const char* readable :
       {"id: 1\ndata: a", "data", "x-Field_2: y", "data: \xc3\xa9\t\x1b",
        "event: ping\nretry: 5", ": \xff\ndata: a"})
    CHECK_TEXT(SplitOne(readable).is_readable, readable);
  for (const char* other : {"id: 1\xff\ndata: a", "data: \xc3", "noise",
                            "a b: c", "id: 1\nnoise\ndata: a", "\xc3\xa9: a"})
    CHECK_FALSE_TEXT(SplitOne(other).is_readable, other);
}

// Guards against an event that is judged by the one before it.
TEST(EventSplitter, TheFormOfAnEventIsItsOwn) {
  en::EventSplitter splitter;
  en::SplitEvents(splitter, "noise\n\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  LONGS_EQUAL(3, splitter.last_events.size());
  CHECK_FALSE(splitter.last_events[0].is_readable);
  CHECK(splitter.last_events[1].is_readable);
  CHECK(splitter.last_events[1].fields == splitter.last_events[2].fields);
}
