// The order of waiting requests: by tier, then requests that can still meet
// their deadline, then by deadline between classes; fair sharing among the
// accounts of a class.
//
// Fairness counts tokens as they are produced, since the length of an answer is
// not known beforehand (Virtual Token Counter: Sheng et al., "Fairness in
// Serving Large Language Models", OSDI 2024). Among the accounts of a class,
// the one with the fewest tokens per share goes first; within an account,
// requests go by deadline.
//
// Requests that are already late go last. Otherwise a class over capacity
// spends its slots on them in deadline order, which makes the remaining
// requests late one after the other.
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
  Time queue_deadline{};     ///< Refused if it still waits at this time.
  std::uint64_t number = 0;  ///< Arrival order; set by `Push`.
  bool late = false;         ///< Can no longer meet its deadline.
};

/// A reference to a waiting request in an ordered set.
struct QueueEntry {
  Time time{};
  std::uint64_t number = 0;  ///< Arrival order.
  RequestId request = 0;
};
/// Orders entries by time, then by arrival.
bool operator<(const QueueEntry& left, const QueueEntry& right);

using QueueEntries = std::set<QueueEntry>;

/// The waiting requests of a class by account, with the accounts ordered by the
/// tokens that they were served.
///
/// `order` holds lower bounds: the tokens served to an account only increase,
/// so that an outdated entry is corrected when it comes to the front.
struct FairQueue {
  std::unordered_map<std::uint32_t, QueueEntries> flows;  ///< By account.
  std::set<std::pair<double, std::uint32_t>> order;  ///< (tokens, account).
  std::unordered_map<std::uint32_t, double>
      order_key;  ///< Tokens in `order`, by account.
};

/// The waiting requests of one class at one target.
struct ClassQueue {
  FairQueue in_time;
  FairQueue late;
  QueueEntries by_deadline;        ///< The requests in `in_time`.
  QueueEntries by_queue_deadline;  ///< All requests.
};

/// What one account was served in one class.
struct AccountUsage {
  double tokens = 0;  ///< Tokens served, divided by the account's share.
  double credit = 0;  ///< Tokens per share that were charged in advance but not
                      ///< produced. Later charges use them up first.
  std::uint32_t waiting = 0;  ///< Waiting requests.
};

/// All waiting requests of a node, and the usage of the accounts.
struct WaitQueue {
  std::unordered_map<RequestId, WaitingRequest> requests;
  std::vector<std::vector<ClassQueue>> queues;          ///< By target, class.
  std::vector<std::vector<std::uint32_t>> num_waiting;  ///< By target, class.
  std::vector<std::vector<AccountUsage>> usage;         ///< By class, account.
  std::vector<std::uint32_t> waiting_accounts;  ///< Number of them, by class.
  std::uint64_t arrivals = 0;                   ///< Calls of `Push`.
};

/// Grows the tables for these numbers of handles. Never shrinks them.
void Resize(WaitQueue& queue, std::size_t targets, std::size_t classes,
            std::size_t accounts);

/// Adds a request whose id is not in the queue yet. O(log n).
void Push(WaitQueue& queue, WaitingRequest waiting);

/// Removes and returns a request, or nothing when it is not in the queue.
/// O(log n).
std::optional<WaitingRequest> Remove(WaitQueue& queue, RequestId request);

/// Returns true when `account` may not start more requests now.
using AccountBlockedFn = bool (*)(const void* context, AccountHandle account);

/// Returns the next request of one class at one target, or null.
///
/// `earliest_feasible_deadline` is now plus the time to a first token; requests
/// with an earlier deadline are late. Requests of accounts for which
/// `is_blocked` returns true are skipped; it may be null. O(log n) on average,
/// plus the number of blocked accounts.
const WaitingRequest* FindHead(WaitQueue& queue, TargetHandle target,
                               ClassHandle cls, Time earliest_feasible_deadline,
                               AccountBlockedFn is_blocked,
                               const void* context);

/// Returns true when `left` is served before `right`. Both are the heads of
/// their classes.
bool GoesBefore(const WaitingRequest& left, const WaitingRequest& right);

/// Charges `tokens` to an account that has the weight `share` in the class.
void Charge(WaitQueue& queue, ClassHandle cls, AccountHandle account,
            double tokens, std::uint32_t share);
/// Credits tokens to an account that were charged but not produced.
void Refund(WaitQueue& queue, ClassHandle cls, AccountHandle account,
            double tokens, std::uint32_t share);

/// Appends the requests of one class at one target whose queue deadline is
/// before `time`.
void ListExpiringBefore(const WaitQueue& queue, TargetHandle target,
                        ClassHandle cls, Time time,
                        std::vector<RequestId>& out);

/// Returns the newest request of the lowest tier that has waiting requests, if
/// that tier is lower than `tier`; null otherwise. Only the request with the
/// latest queue deadline of each class and target is considered. O(targets x
/// classes); called only when the queue is full.
const WaitingRequest* FindShedCandidate(const WaitQueue& queue,
                                        std::uint8_t tier);

/// Returns the newest request of the account with the most requests waiting in
/// `cls`, if these are more than twice as many as `account` would have with one
/// more; null otherwise. Only the request that the account would start last at
/// each target is considered, among those in time and among the late ones.
const WaitingRequest* FindOverShareCandidate(const WaitQueue& queue,
                                             ClassHandle cls,
                                             AccountHandle account);

}  // namespace egretladder::policy
