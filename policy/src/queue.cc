#include "egretladder/policy/queue.h"

#include <algorithm>
#include <tuple>

namespace egretladder::policy {
namespace {

QueueEntry MakeEntry(Time time, const WaitingRequest& waiting) {
  return {time, waiting.number, waiting.request.id};
}

ClassQueue& GetClassQueue(WaitQueue& queue, const Request& request) {
  return queue.queues[request.target.idx][request.cls.idx];
}

AccountUsage& GetUsage(WaitQueue& queue, ClassHandle cls,
                       AccountHandle account) {
  return queue.usage[cls.idx][account.idx];
}

void SetOrderKey(FairQueue& fair_queue, std::uint32_t account, double tokens) {
  const auto it = fair_queue.order_key.find(account);
  if (it != fair_queue.order_key.end())
    fair_queue.order.erase({it->second, account});
  fair_queue.order.emplace(tokens, account);
  fair_queue.order_key[account] = tokens;
}

void RemoveOrderKey(FairQueue& fair_queue, std::uint32_t account) {
  const auto it = fair_queue.order_key.find(account);
  if (it == fair_queue.order_key.end()) return;
  fair_queue.order.erase({it->second, account});
  fair_queue.order_key.erase(it);
}

void AddToFlow(FairQueue& fair_queue, std::uint32_t account,
               const QueueEntry& entry, double tokens) {
  QueueEntries& flow = fair_queue.flows[account];
  if (flow.empty()) SetOrderKey(fair_queue, account, tokens);
  flow.insert(entry);
}

void RemoveFromFlow(FairQueue& fair_queue, std::uint32_t account,
                    const QueueEntry& entry) {
  const auto it = fair_queue.flows.find(account);
  if (it == fair_queue.flows.end()) return;
  it->second.erase(entry);
  if (!it->second.empty()) return;
  RemoveOrderKey(fair_queue, account);
  fair_queue.flows.erase(it);
}

void MoveLateRequests(WaitQueue& queue, ClassQueue& class_queue,
                      Time earliest_feasible_deadline) {
  while (!class_queue.by_deadline.empty() &&
         class_queue.by_deadline.begin()->time < earliest_feasible_deadline) {
    const RequestId id = class_queue.by_deadline.begin()->request;
    class_queue.by_deadline.erase(class_queue.by_deadline.begin());
    WaitingRequest& waiting = queue.requests.at(id);
    const Request& request = waiting.request;
    waiting.late = true;
    RemoveFromFlow(class_queue.in_time, request.account.idx,
                   MakeEntry(request.deadline, waiting));
    AddToFlow(class_queue.late, request.account.idx,
              MakeEntry(request.arrived, waiting),
              GetUsage(queue, request.cls, request.account).tokens);
  }
}

// Corrects outdated entries of `order` until the first one is accurate.
void RefreshFront(const WaitQueue& queue, FairQueue& fair_queue,
                  ClassHandle cls) {
  while (!fair_queue.order.empty()) {
    const auto [order_key, account] = *fair_queue.order.begin();
    const double tokens = queue.usage[cls.idx][account].tokens;
    if (order_key >= tokens) return;
    SetOrderKey(fair_queue, account, tokens);
  }
}

const WaitingRequest* FindFront(WaitQueue& queue, FairQueue& fair_queue,
                                ClassHandle cls, AccountBlockedFn is_blocked,
                                const void* context) {
  RefreshFront(queue, fair_queue, cls);
  auto it = fair_queue.order.begin();
  while (it != fair_queue.order.end()) {
    const auto [order_key, account] = *it;
    const double tokens = queue.usage[cls.idx][account].tokens;
    if (order_key < tokens) {
      // Its corrected position may be further back, so that the search
      // restarts.
      SetOrderKey(fair_queue, account, tokens);
      it = fair_queue.order.begin();
      continue;
    }
    if (is_blocked == nullptr || !is_blocked(context, AccountHandle{account})) {
      const RequestId id = fair_queue.flows.at(account).begin()->request;
      return &queue.requests.at(id);
    }
    ++it;
  }
  return nullptr;
}

// Raises the usage of an account that was idle to the lowest one among the
// waiting accounts. Otherwise it could save up for a burst that starves them.
void RaiseIdleAccount(const WaitQueue& queue, ClassQueue& class_queue,
                      ClassHandle cls, AccountUsage& usage) {
  if (usage.waiting > 0 || class_queue.in_time.order.empty()) return;
  RefreshFront(queue, class_queue.in_time, cls);
  usage.tokens =
      std::max(usage.tokens, class_queue.in_time.order.begin()->first);
}

}  // namespace

bool operator<(const QueueEntry& left, const QueueEntry& right) {
  return std::tie(left.time, left.number) < std::tie(right.time, right.number);
}

void Resize(WaitQueue& queue, std::size_t targets, std::size_t classes,
            std::size_t accounts) {
  targets = std::max(targets, queue.queues.size());
  classes = std::max(classes, queue.usage.size());
  queue.queues.resize(targets);
  queue.num_waiting.resize(targets);
  for (auto& row : queue.queues) row.resize(classes);
  for (auto& row : queue.num_waiting) row.resize(classes);
  queue.usage.resize(classes);
  queue.waiting_accounts.resize(classes);
  for (auto& row : queue.usage) {
    if (row.size() < accounts) row.resize(accounts);
  }
}

void Push(WaitQueue& queue, WaitingRequest waiting) {
  waiting.number = ++queue.arrivals;
  waiting.late = false;
  const Request request = waiting.request;
  ClassQueue& class_queue = GetClassQueue(queue, request);
  AccountUsage& usage = GetUsage(queue, request.cls, request.account);
  RaiseIdleAccount(queue, class_queue, request.cls, usage);
  const QueueEntry entry = MakeEntry(request.deadline, waiting);
  AddToFlow(class_queue.in_time, request.account.idx, entry, usage.tokens);
  class_queue.by_deadline.insert(entry);
  class_queue.by_queue_deadline.insert(
      MakeEntry(waiting.queue_deadline, waiting));
  if (usage.waiting++ == 0) ++queue.waiting_accounts[request.cls.idx];
  ++queue.num_waiting[request.target.idx][request.cls.idx];
  queue.requests.emplace(request.id, waiting);
}

std::optional<WaitingRequest> Remove(WaitQueue& queue, RequestId request) {
  const auto it = queue.requests.find(request);
  if (it == queue.requests.end()) return std::nullopt;
  WaitingRequest waiting = it->second;
  queue.requests.erase(it);
  const Request& removed = waiting.request;
  ClassQueue& class_queue = GetClassQueue(queue, removed);
  const QueueEntry by_deadline = MakeEntry(removed.deadline, waiting);
  if (waiting.late) {
    RemoveFromFlow(class_queue.late, removed.account.idx,
                   MakeEntry(removed.arrived, waiting));
  } else {
    RemoveFromFlow(class_queue.in_time, removed.account.idx, by_deadline);
    class_queue.by_deadline.erase(by_deadline);
  }
  class_queue.by_queue_deadline.erase(
      MakeEntry(waiting.queue_deadline, waiting));
  AccountUsage& usage = GetUsage(queue, removed.cls, removed.account);
  if (--usage.waiting == 0) --queue.waiting_accounts[removed.cls.idx];
  --queue.num_waiting[removed.target.idx][removed.cls.idx];
  return waiting;
}

const WaitingRequest* FindHead(WaitQueue& queue, TargetHandle target,
                               ClassHandle cls, Time earliest_feasible_deadline,
                               AccountBlockedFn is_blocked,
                               const void* context) {
  ClassQueue& class_queue = queue.queues[target.idx][cls.idx];
  MoveLateRequests(queue, class_queue, earliest_feasible_deadline);
  const WaitingRequest* head =
      FindFront(queue, class_queue.in_time, cls, is_blocked, context);
  if (head != nullptr) return head;
  return FindFront(queue, class_queue.late, cls, is_blocked, context);
}

bool GoesBefore(const WaitingRequest& left, const WaitingRequest& right) {
  return std::tie(left.tier, left.late, left.request.deadline, left.number) <
         std::tie(right.tier, right.late, right.request.deadline, right.number);
}

void Charge(WaitQueue& queue, ClassHandle cls, AccountHandle account,
            double tokens, std::uint32_t share) {
  AccountUsage& usage = GetUsage(queue, cls, account);
  const double per_share = tokens / std::max(1U, share);
  const double from_credit = std::min(usage.credit, per_share);
  usage.credit -= from_credit;
  usage.tokens += per_share - from_credit;
}

void Refund(WaitQueue& queue, ClassHandle cls, AccountHandle account,
            double tokens, std::uint32_t share) {
  GetUsage(queue, cls, account).credit += tokens / std::max(1U, share);
}

void ListExpiringBefore(const WaitQueue& queue, TargetHandle target,
                        ClassHandle cls, Time time,
                        std::vector<RequestId>& out) {
  for (const QueueEntry& entry :
       queue.queues[target.idx][cls.idx].by_queue_deadline) {
    if (entry.time >= time) break;
    out.push_back(entry.request);
  }
}

const WaitingRequest* FindShedCandidate(const WaitQueue& queue,
                                        std::uint8_t tier) {
  const WaitingRequest* candidate = nullptr;
  for (const auto& classes : queue.queues) {
    for (const ClassQueue& class_queue : classes) {
      if (class_queue.by_queue_deadline.empty()) continue;
      const WaitingRequest& newest =
          queue.requests.at(class_queue.by_queue_deadline.rbegin()->request);
      if (newest.tier <= tier) continue;
      if (candidate == nullptr || std::tie(candidate->tier, candidate->number) <
                                      std::tie(newest.tier, newest.number)) {
        candidate = &newest;
      }
    }
  }
  return candidate;
}

const WaitingRequest* FindOverShareCandidate(const WaitQueue& queue,
                                             ClassHandle cls,
                                             AccountHandle account) {
  const std::vector<AccountUsage>& accounts = queue.usage[cls.idx];
  const auto heaviest = std::max_element(
      accounts.begin(), accounts.end(),
      [](const AccountUsage& left_usage, const AccountUsage& right_usage) {
        return left_usage.waiting < right_usage.waiting;
      });
  if (heaviest == accounts.end()) return nullptr;
  if (heaviest->waiting <= 2 * (accounts[account.idx].waiting + 1))
    return nullptr;
  const auto heaviest_account =
      static_cast<std::uint32_t>(heaviest - accounts.begin());
  const WaitingRequest* newest = nullptr;
  for (const auto& classes : queue.queues) {
    for (const FairQueue* fair_queue :
         {&classes[cls.idx].in_time, &classes[cls.idx].late}) {
      const auto flow = fair_queue->flows.find(heaviest_account);
      if (flow == fair_queue->flows.end()) continue;
      const WaitingRequest& last =
          queue.requests.at(flow->second.rbegin()->request);
      if (newest == nullptr || newest->number < last.number) newest = &last;
    }
  }
  return newest;
}

}  // namespace egretladder::policy
