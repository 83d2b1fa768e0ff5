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
