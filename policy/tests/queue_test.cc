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

// A reference implementation of the queue's order by scans over one list.
struct ReferenceQueue {
  std::vector<ep::WaitingRequest> waiting;
  std::vector<ep::AccountUsage> usage_by_account{kAccounts};
  std::uint64_t arrivals = 0;

  void Push(ep::WaitingRequest entry) {
    ep::AccountUsage& account = usage_by_account[entry.request.account.idx];
    std::optional<double> min_tokens;
    for (const ep::WaitingRequest& other : waiting) {
      if (other.late) continue;
      const double tokens = usage_by_account[other.request.account.idx].tokens;
      if (!min_tokens || tokens < *min_tokens) min_tokens = tokens;
    }
    if (account.waiting++ == 0 && min_tokens) {
      account.tokens = std::max(account.tokens, *min_tokens);
    }
    entry.number = ++arrivals;
    waiting.push_back(entry);
  }

  const ep::WaitingRequest* FindHead(ep::Time now,
                                     std::uint32_t blocked_account) {
    const ep::WaitingRequest* best = nullptr;
    for (ep::WaitingRequest& entry : waiting) {
      entry.late = entry.late || entry.request.deadline < now;
    }
    for (const ep::WaitingRequest& entry : waiting) {
      if (entry.request.account.idx == blocked_account) continue;
      if (best == nullptr || GoesBefore(entry, *best)) best = &entry;
    }
    return best;
  }

  bool GoesBefore(const ep::WaitingRequest& left,
                  const ep::WaitingRequest& right) const {
    if (left.late != right.late) return right.late;
    const std::uint32_t left_account = left.request.account.idx;
    const std::uint32_t right_account = right.request.account.idx;
    if (left_account != right_account) {
      return std::pair(usage_by_account[left_account].tokens, left_account) <
             std::pair(usage_by_account[right_account].tokens, right_account);
    }
    const auto sort_key = [](const ep::WaitingRequest& entry) {
      return std::pair(
          entry.late ? entry.request.arrived : entry.request.deadline,
          entry.number);
    };
    return sort_key(left) < sort_key(right);
  }

  bool Remove(ep::RequestId id) {
    for (auto it = waiting.begin(); it != waiting.end(); ++it) {
      if (it->request.id != id) continue;
      --usage_by_account[it->request.account.idx].waiting;
      waiting.erase(it);
      return true;
    }
    return false;
  }

  void Charge(std::uint32_t account, double tokens) {
    ep::AccountUsage& usage = usage_by_account[account];
    const double from_credit = std::min(usage.credit, tokens);
    usage.credit -= from_credit;
    usage.tokens += tokens - from_credit;
  }
};

ep::WaitingRequest MakeWaiting(ep::RequestId id, std::uint32_t account,
                               ep::Time now, std::chrono::milliseconds target) {
  ep::WaitingRequest entry;
  entry.request.id = id;
  entry.request.cls.idx = 0;
  entry.request.target.idx = 0;
  entry.request.account.idx = account;
  entry.request.arrived = now;
  entry.request.deadline = now + target;
  entry.queue_deadline = now + 2 * target;
  return entry;
}

bool IsBlocked(const void* context, ep::AccountHandle account) {
  return account.idx == *static_cast<const std::uint32_t*>(context);
}

}  // namespace

TEST_GROUP(Queue) {
  ep::WaitQueue queue_;
  ep::TargetHandle target_{0};
  ep::ClassHandle cls_{0};
  void setup() override { ep::Resize(queue_, 1, 1, kAccounts); }

  ep::RequestId FindHeadId(ep::Time now) {
    const ep::WaitingRequest* head =
        ep::FindHead(queue_, target_, cls_, now, nullptr, nullptr);
    return head == nullptr ? 0 : head->request.id;
  }
};

// A fault in the order would leave the requests of one account waiting for
// ever. Random operations over many seeds must give the same heads as the
// reference.
TEST(Queue, AgreesWithReferenceQueueUnderRandomOperations) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    ek::Random random(seed);
    ep::WaitQueue queue;
    ep::Resize(queue, 1, 1, kAccounts);
    ReferenceQueue reference;
    ep::Time now = kStart;
    for (ep::RequestId step = 1; step <= 400; ++step) {
      const auto account =
          static_cast<std::uint32_t>(ek::RandomBelow(random, kAccounts));
      const std::uint64_t operation = ek::RandomBelow(random, 10);
      if (operation < 5) {
        const auto entry = MakeWaiting(
            step, account, now,
            std::chrono::milliseconds(1 + ek::RandomBelow(random, 400)));
        ep::Push(queue, entry);
        reference.Push(entry);
      } else if (operation < 6) {
        const ep::RequestId id = 1 + ek::RandomBelow(random, step);
        CHECK_EQUAL(reference.Remove(id), ep::Remove(queue, id).has_value());
      } else if (operation < 7) {
        const auto tokens = static_cast<double>(ek::RandomBelow(random, 50));
        ep::Charge(queue, {0}, {account}, tokens, 1);
        reference.Charge(account, tokens);
      } else if (operation < 8) {
        const auto tokens = static_cast<double>(ek::RandomBelow(random, 20));
        ep::Refund(queue, {0}, {account}, tokens, 1);
        reference.usage_by_account[account].credit += tokens;
      } else {
        now += std::chrono::milliseconds(ek::RandomBelow(random, 60));
      }
      const std::uint32_t blocked_account =
          ek::RandomBelow(random, 4) == 0 ? account : 99;
      const ep::WaitingRequest* expected =
          reference.FindHead(now, blocked_account);
      const ep::WaitingRequest* actual =
          ep::FindHead(queue, {0}, {0}, now, IsBlocked, &blocked_account);
      CHECK_EQUAL(expected == nullptr, actual == nullptr);
      if (expected == nullptr || actual == nullptr) continue;
      CHECK_EQUAL(expected->request.id, actual->request.id);
      if (ek::RandomBelow(random, 3) != 0) continue;
      const ep::RequestId id = expected->request.id;
      reference.Remove(id);
      (void)ep::Remove(queue, id);
    }
    CHECK_EQUAL(reference.waiting.size(), queue.requests.size());
  }
}

// A batch of one account was queued before a single request of another. In
// order of arrival this request would wait for the whole batch.
TEST(Queue, SmallAccountPassesABatch) {
  for (ep::RequestId id = 1; id <= 100; ++id) {
    ep::Push(queue_, MakeWaiting(id, 0, kStart, 5s));
  }
  ep::Charge(queue_, {0}, {0}, 10, 1);
  ep::Push(queue_, MakeWaiting(101, 1, kStart + 1s, 5s));
  ep::Charge(queue_, {0}, {0}, 10, 1);
  CHECK_EQUAL(101U, FindHeadId(kStart + 1s));
}

// Under overload the earliest deadlines have just been missed. If these
// requests were served first, every answer would be a little late.
TEST(Queue, RequestsInTimeGoBeforeLateOnes) {
  ep::Push(queue_, MakeWaiting(1, 0, kStart, 100ms));
  ep::Push(queue_, MakeWaiting(2, 0, kStart, 900ms));
  CHECK_EQUAL(1U, FindHeadId(kStart));
  CHECK_EQUAL(2U, FindHeadId(kStart + 500ms));
  (void)ep::Remove(queue_, 2);
  CHECK_EQUAL(1U, FindHeadId(kStart + 500ms));
}

// An account with twice the share may use twice the tokens.
TEST(Queue, ShareDividesTheCharge) {
  ep::Charge(queue_, {0}, {0}, 100, 2);
  ep::Charge(queue_, {0}, {1}, 60, 1);
  ep::Push(queue_, MakeWaiting(1, 0, kStart, 5s));
  ep::Push(queue_, MakeWaiting(2, 1, kStart, 5s));
  CHECK_EQUAL(1U, FindHeadId(kStart));  // 50 per share against 60.
  ep::Charge(queue_, {0}, {0}, 30, 2);
  CHECK_EQUAL(2U, FindHeadId(kStart));  // 65 per share against 60.
}

// The queue is full of one account's batch when another account's request
// arrives. The newest request of the batch must make room.
TEST(Queue, FindsNewestRequestOfAccountOverShare) {
  for (ep::RequestId id = 1; id <= 9; ++id) {
    ep::Push(queue_, MakeWaiting(id, 0, kStart, 5s));
  }
  CHECK_EQUAL(9U, ep::FindOverShareCandidate(queue_, {0}, {1})->request.id);
  CHECK_TRUE(ep::FindOverShareCandidate(queue_, {0}, {0}) == nullptr);
}
