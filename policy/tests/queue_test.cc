#include "egretladder/policy/queue.h"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "egretladder/kernel/hash.h"

using namespace std::chrono_literals;
namespace ep = egretladder::policy;
namespace ek = egretladder::kernel;

namespace {

constexpr std::uint32_t kAccounts = 5;
const ep::Time kStart{1h};

// The same rules by plain scans over one list.
struct SlowQueue {
  std::vector<ep::Waiting> waiting;
  std::vector<ep::Served> served{kAccounts};
  std::uint64_t arrivals = 0;

  void Push(ep::Waiting one) {
    ep::Served& account = served[one.request.account.idx];
    std::optional<double> least;
    for (const ep::Waiting& other : waiting) {
      if (other.late) continue;
      const double tokens = served[other.request.account.idx].tokens;
      if (!least || tokens < *least) least = tokens;
    }
    if (account.waiting++ == 0 && least) {
      account.tokens = std::max(account.tokens, *least);
    }
    one.number = ++arrivals;
    waiting.push_back(one);
  }

  const ep::Waiting* Head(ep::Time now, std::uint32_t held) {
    const ep::Waiting* best = nullptr;
    for (ep::Waiting& one : waiting) {
      one.late = one.late || one.request.deadline < now;
    }
    for (const ep::Waiting& one : waiting) {
      if (one.request.account.idx == held) continue;
      if (best == nullptr || Before(one, *best)) best = &one;
    }
    return best;
  }

  bool Before(const ep::Waiting& left, const ep::Waiting& right) const {
    if (left.late != right.late) return right.late;
    const std::uint32_t l = left.request.account.idx;
    const std::uint32_t r = right.request.account.idx;
    if (l != r) {
      return std::pair(served[l].tokens, l) < std::pair(served[r].tokens, r);
    }
    const auto place = [](const ep::Waiting& of) {
      return std::pair(of.late ? of.request.arrived : of.request.deadline,
                       of.number);
    };
    return place(left) < place(right);
  }

  bool Take(ep::RequestId id) {
    for (auto it = waiting.begin(); it != waiting.end(); ++it) {
      if (it->request.id != id) continue;
      --served[it->request.account.idx].waiting;
      waiting.erase(it);
      return true;
    }
    return false;
  }

  void Charge(std::uint32_t account, double tokens) {
    ep::Served& of = served[account];
    const double from_credit = std::min(of.credit, tokens);
    of.credit -= from_credit;
    of.tokens += tokens - from_credit;
  }
};

ep::Waiting MakeWaiting(ep::RequestId id, std::uint32_t account, ep::Time now,
                        std::chrono::milliseconds target) {
  ep::Waiting one;
  one.request.id = id;
  one.request.cls.idx = 0;
  one.request.target.idx = 0;
  one.request.account.idx = account;
  one.request.arrived = now;
  one.request.deadline = now + target;
  one.bound = now + 2 * target;
  return one;
}

bool IsHeld(const void* context, ep::AccountHandle account) {
  return account.idx == *static_cast<const std::uint32_t*>(context);
}

}  // namespace

TEST_GROUP(Queue) {
  ep::WaitQueue queue_;
  ep::TargetHandle target_{0};
  ep::ClassHandle cls_{0};
  void setup() override { ep::Resize(queue_, 1, 1, kAccounts); }

  ep::RequestId Head(ep::Time now) {
    const ep::Waiting* head =
        ep::HeadOf(queue_, target_, cls_, now, nullptr, nullptr);
    return head == nullptr ? 0 : head->request.id;
  }
};

// A fault in the order shows to callers as one account that waits for ever.
// Random operations over many seeds give the same heads as plain scans.
TEST(Queue, AgreesWithAPlainModelUnderRandomOperations) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    ek::Random random(seed);
    ep::WaitQueue queue;
    ep::Resize(queue, 1, 1, kAccounts);
    SlowQueue slow;
    ep::Time now = kStart;
    for (ep::RequestId step = 1; step <= 400; ++step) {
      const auto account =
          static_cast<std::uint32_t>(ek::RandomBelow(random, kAccounts));
      const std::uint64_t what = ek::RandomBelow(random, 10);
      if (what < 5) {
        const auto one = MakeWaiting(
            step, account, now,
            std::chrono::milliseconds(1 + ek::RandomBelow(random, 400)));
        ep::Push(queue, one);
        slow.Push(one);
      } else if (what < 6) {
        const ep::RequestId id = 1 + ek::RandomBelow(random, step);
        CHECK_EQUAL(slow.Take(id), ep::Take(queue, id).has_value());
      } else if (what < 7) {
        const auto tokens = static_cast<double>(ek::RandomBelow(random, 50));
        ep::Charge(queue, {0}, {account}, tokens, 1);
        slow.Charge(account, tokens);
      } else if (what < 8) {
        const auto tokens = static_cast<double>(ek::RandomBelow(random, 20));
        ep::Refund(queue, {0}, {account}, tokens, 1);
        slow.served[account].credit += tokens;
      } else {
        now += std::chrono::milliseconds(ek::RandomBelow(random, 60));
      }
      const std::uint32_t held = ek::RandomBelow(random, 4) == 0 ? account : 99;
      const ep::Waiting* want = slow.Head(now, held);
      const ep::Waiting* got = ep::HeadOf(queue, {0}, {0}, now, IsHeld, &held);
      CHECK_EQUAL(want == nullptr, got == nullptr);
      if (want == nullptr || got == nullptr) continue;
      CHECK_EQUAL(want->request.id, got->request.id);
      if (ek::RandomBelow(random, 3) != 0) continue;
      const ep::RequestId id = want->request.id;
      slow.Take(id);
      (void)ep::Take(queue, id);
    }
    CHECK_EQUAL(slow.waiting.size(), queue.requests.size());
  }
}

// A broker's batch stands before one question of another account. In order of
// arrival the question waits for the whole batch.
TEST(Queue, ASmallAccountPassesABatch) {
  for (ep::RequestId id = 1; id <= 100; ++id) {
    ep::Push(queue_, MakeWaiting(id, 0, kStart, 5s));
  }
  ep::Charge(queue_, {0}, {0}, 10, 1);
  ep::Push(queue_, MakeWaiting(101, 1, kStart + 1s, 5s));
  ep::Charge(queue_, {0}, {0}, 10, 1);
  CHECK_EQUAL(101U, Head(kStart + 1s));
}

// Under overload the earliest deadline is the one just missed. Served first,
// every answer comes a little too late.
TEST(Queue, WhatIsInTimeGoesBeforeWhatIsLate) {
  ep::Push(queue_, MakeWaiting(1, 0, kStart, 100ms));
  ep::Push(queue_, MakeWaiting(2, 0, kStart, 900ms));
  CHECK_EQUAL(1U, Head(kStart));
  CHECK_EQUAL(2U, Head(kStart + 500ms));
  (void)ep::Take(queue_, 2);
  CHECK_EQUAL(1U, Head(kStart + 500ms));
}

// An account with twice the share pays for twice the tokens.
TEST(Queue, SharesWeigh) {
  ep::Charge(queue_, {0}, {0}, 100, 2);
  ep::Charge(queue_, {0}, {1}, 60, 1);
  ep::Push(queue_, MakeWaiting(1, 0, kStart, 5s));
  ep::Push(queue_, MakeWaiting(2, 1, kStart, 5s));
  CHECK_EQUAL(1U, Head(kStart));  // 50 a share against 60.
  ep::Charge(queue_, {0}, {0}, 30, 2);
  CHECK_EQUAL(2U, Head(kStart));  // 65 against 60.
}

// When the queue is full of one account's batch, its own newest makes room.
TEST(Queue, FindsWhoIsOverShare) {
  for (ep::RequestId id = 1; id <= 9; ++id) {
    ep::Push(queue_, MakeWaiting(id, 0, kStart, 5s));
  }
  CHECK_EQUAL(9U, ep::FindOverShare(queue_, {0}, {1})->request.id);
  CHECK_TRUE(ep::FindOverShare(queue_, {0}, {0}) == nullptr);
}
