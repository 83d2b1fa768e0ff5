// The order of waiting work: tier, then what can still be in time, then
// deadline between classes; fair among the accounts of a class.
//
// Fairness counts tokens as they are produced, since nobody knows the length of
// an answer beforehand (Virtual Token Counter: Sheng et al., "Fairness in
// Serving Large Language Models", OSDI 2024). Among the accounts of a class the
// one with the fewest tokens per share goes first; within an account, deadline.
//
// Load: a class over capacity. Without "in time first", deadline order spends
// the slots on work that is late already, and makes the rest late one by one.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "egretladder/kernel/time.h"
#include "egretladder/policy/scheduler.h"

namespace egretladder::policy {

/// One waiting request.
struct WaitingRequest {
  Request request;
  std::uint8_t tier = rules::kBottomTier;
  Time queue_deadline{};     ///< Refused when it still waits then.
  std::uint64_t number = 0;  ///< Of arrival; set by `Push`.
  bool late = false;         ///< Can't meet its deadline any more.
};

/// Place of a request among others, smallest first.
struct QueueEntry {
  Time time{};
  std::uint64_t number = 0;
  RequestId request = 0;
};
/// By time, then by arrival.
bool operator<(const QueueEntry& left, const QueueEntry& right);

/// Requests in the order of their places.
using QueueEntries = std::set<QueueEntry>;

/// The accounts that wait in one class, by what they were served. `order` holds
/// lower bounds: what an account was served only rises, so an outdated entry is
/// put right when it comes to the front.
struct FairQueue {
  std::unordered_map<std::uint32_t, QueueEntries> flows;  ///< By account.
  std::set<std::pair<double, std::uint32_t>> order;
  std::unordered_map<std::uint32_t, double> order_key;  ///< Of each in `order`.
};

/// One class at one target.
struct ClassQueue {
  FairQueue in_time;
  FairQueue late;
  QueueEntries by_deadline;        ///< Those in `in_time`.
  QueueEntries by_queue_deadline;  ///< All.
};

/// What one account was served in one class.
struct AccountUsage {
  double tokens = 0;  ///< Per share.
  double credit = 0;  ///< Charged beforehand, not produced; used up first.
  std::uint32_t waiting = 0;
};

/// All requests that wait at a node, and what accounts were served.
struct WaitQueue {
  std::unordered_map<RequestId, WaitingRequest> requests;
  std::vector<std::vector<ClassQueue>> queues;          ///< By target, class.
  std::vector<std::vector<std::uint32_t>> num_waiting;  ///< By target, class.
  std::vector<std::vector<AccountUsage>> usage;         ///< By class, account.
  std::vector<std::uint32_t> waiting_accounts;          ///< By class.
  std::uint64_t arrivals = 0;
};

/// Makes room for handles up to these; never shrinks.
void Resize(WaitQueue& queue, std::size_t targets, std::size_t classes,
            std::size_t accounts);

/// O(log n). The request's id must not wait yet.
void Push(WaitQueue& queue, WaitingRequest waiting);

/// Removes and returns a request; nothing when it doesn't wait. O(log n).
std::optional<WaitingRequest> Remove(WaitQueue& queue, RequestId request);

/// True when `account` may not start more work now.
using AccountBlockedFn = bool (*)(const void* context, AccountHandle account);

/// The request that goes next in one class at one target, or null. `in_time_by`
/// is now plus the time to a first token: what has its deadline before that is
/// late. O(log n) on average, plus the accounts held.
const WaitingRequest* FindHead(WaitQueue& queue, TargetHandle target,
                               ClassHandle cls, Time earliest_feasible_deadline,
                               AccountBlockedFn is_blocked,
                               const void* context);

/// True when `left` goes before `right`, both heads of their classes.
bool GoesBefore(const WaitingRequest& left, const WaitingRequest& right);

/// Charges `tokens` to an account's share.
void Charge(WaitQueue& queue, ClassHandle cls, AccountHandle account,
            double tokens, std::uint32_t share);
/// Notes tokens that were charged and not produced.
void Refund(WaitQueue& queue, ClassHandle cls, AccountHandle account,
            double tokens, std::uint32_t share);

/// Appends the requests of one class at one target whose bound is before
/// `time`.
void ListExpiringBefore(const WaitQueue& queue, TargetHandle target,
                        ClassHandle cls, Time time,
                        std::vector<RequestId>& out);

/// The newest request of the lowest tier that waits, if that is lower than
/// `tier`; null otherwise. O(targets x classes), only when the queue is full.
const WaitingRequest* FindShedCandidate(const WaitQueue& queue,
                                        std::uint8_t tier);

/// The newest request of the account that waits most in `cls`, if that account
/// waits more than twice as much as `account`; null otherwise.
const WaitingRequest* FindOverShareCandidate(const WaitQueue& queue,
                                             ClassHandle cls,
                                             AccountHandle account);

}  // namespace egretladder::policy
