#include "egretladder/policy/incomplete_messages.h"

#include <CppUTest/TestHarness.h>

namespace pol = egretladder::policy;

namespace {

using Indexes = std::vector<std::size_t>;
using Messages = std::vector<pol::IncompleteMessage>;

constexpr std::size_t kMaxBytes = 1000;

}  // namespace

TEST_GROUP(IncompleteMessages){};

TEST(IncompleteMessages, NoneIsAbandonedWithinTheBound) {
  CHECK(pol::MessagesToAbandon({}, kMaxBytes).empty());
  CHECK(pol::MessagesToAbandon({{0, 1}, {1000, 0}}, kMaxBytes).empty());
}

TEST(IncompleteMessages, OldestLargeOnesGoUntilHalfIsFree) {
  const Messages messages = {{300, 7}, {300, 2}, {300, 5}, {300, 3}};
  CHECK(pol::MessagesToAbandon(messages, kMaxBytes) == Indexes({1, 3, 2}));
}

// Guards against the loss of a peer that completes its messages, beside a crowd
// that doesn't: its message is the latest.
TEST(IncompleteMessages, NewestStaysWhateverItsSize) {
  const Messages messages = {{500, 9}, {300, 1}, {300, 2}};
  CHECK(pol::MessagesToAbandon(messages, kMaxBytes) == Indexes({1, 2}));
}

TEST(IncompleteMessages, SmallOnesStayHoweverOld) {
  const Messages messages = {{50, 0}, {50, 1}, {600, 9}, {600, 8}};
  CHECK(pol::MessagesToAbandon(messages, kMaxBytes) == Indexes({3, 2}));
}

// Any sum above the bound has a message above the even share.
TEST(IncompleteMessages, WhatIsLeftHasAtMostHalf) {
  for (std::size_t count = 1; count <= 100; ++count) {
    Messages messages;
    for (std::size_t i = 0; i < count; ++i)
      messages.push_back({kMaxBytes / count + 1 + i % 7, i * 31 % count});
    std::size_t left = 0;
    for (const auto& message : messages) left += message.bytes;
    for (const std::size_t index : pol::MessagesToAbandon(messages, kMaxBytes))
      left -= messages[index].bytes;
    CHECK_COMPARE(left, <=, kMaxBytes / 2);
  }
}
