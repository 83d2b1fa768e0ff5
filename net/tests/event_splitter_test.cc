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
