#include "egretladder/routing/caller_backlog.h"

#include <CppUTest/TestHarness.h>

namespace er = egretladder::routing;

TEST_GROUP(CallerBacklog){};

// Guards against the backlogs of many callers that add up beyond the memory.
TEST(CallerBacklog, StreamsWaitBeforeAnswersGo) {
  constexpr std::size_t kMemory = 1000;
  constexpr std::size_t kMax = 64;
  LONGS_EQUAL(kMax, er::MaxStreamBacklog({100, kMemory}, kMax));
  LONGS_EQUAL(0, er::MaxStreamBacklog({101, kMemory}, kMax));
  CHECK_FALSE(er::IsBacklogTooLarge({200, kMemory}));
  CHECK_TRUE(er::IsBacklogTooLarge({201, kMemory}));
}

// Guards against an end of patience that comes late or never.
TEST(CallerBacklog, PatienceEndsAsBacklogsGrow) {
  using std::chrono::milliseconds;
  constexpr std::size_t kMemory = 1000;
  CHECK_FALSE(er::UnreadPatience({200, kMemory}).has_value());
  milliseconds last{2001};
  for (const std::size_t unread : {201U, 225U, 250U, 275U, 300U}) {
    const auto patience = er::UnreadPatience({unread, kMemory});
    CHECK(patience.has_value() && *patience < last);
    last = *patience;
  }
  LONGS_EQUAL(0, last.count());
  LONGS_EQUAL(0, er::UnreadPatience({5000, kMemory})->count());
}
