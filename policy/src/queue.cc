#include "egretladder/policy/queue.h"

#include <algorithm>
#include <tuple>

namespace egretladder::policy {
namespace {

Place PlaceOf(Time time, const Waiting& waiting) {
  return {time, waiting.number, waiting.request.id};
}

ClassQueue& QueueOf(WaitQueue& queue, const Request& request) {
  return queue.queues[request.target.idx][request.cls.idx];
}

Served& ServedOf(WaitQueue& queue, ClassHandle cls, AccountHandle account) {
  return queue.served[cls.idx][account.idx];
}

void SetKey(FairList& list, std::uint32_t account, double tokens) {
  const auto it = list.key.find(account);
  if (it != list.key.end()) list.order.erase({it->second, account});
  list.order.emplace(tokens, account);
  list.key[account] = tokens;
}

void DropKey(FairList& list, std::uint32_t account) {
  const auto it = list.key.find(account);
  if (it == list.key.end()) return;
  list.order.erase({it->second, account});
  list.key.erase(it);
}

void AddTo(FairList& list, std::uint32_t account, const Place& place,
           double tokens) {
  Places& flow = list.flows[account];
  if (flow.empty()) SetKey(list, account, tokens);
  flow.insert(place);
}

void RemoveFrom(FairList& list, std::uint32_t account, const Place& place) {
  const auto it = list.flows.find(account);
  if (it == list.flows.end()) return;
  it->second.erase(place);
  if (!it->second.empty()) return;
  DropKey(list, account);
  list.flows.erase(it);
}

void MoveLate(WaitQueue& all, ClassQueue& queue, Time in_time_by) {
  while (!queue.by_deadline.empty() &&
         queue.by_deadline.begin()->time < in_time_by) {
    const RequestId id = queue.by_deadline.begin()->request;
    queue.by_deadline.erase(queue.by_deadline.begin());
    Waiting& waiting = all.requests.at(id);
    const Request& request = waiting.request;
    waiting.late = true;
    RemoveFrom(queue.in_time, request.account.idx,
               PlaceOf(request.deadline, waiting));
    AddTo(queue.late, request.account.idx, PlaceOf(request.arrived, waiting),
          ServedOf(all, request.cls, request.account).tokens);
  }
}

// Puts outdated entries right until the first one is true.
void SettleFront(const WaitQueue& all, FairList& list, ClassHandle cls) {
  while (!list.order.empty()) {
    const auto [key, account] = *list.order.begin();
    const double tokens = all.served[cls.idx][account].tokens;
    if (key >= tokens) return;
    SetKey(list, account, tokens);
  }
}

const Waiting* FrontOf(WaitQueue& all, FairList& list, ClassHandle cls,
                       AccountHeld held, const void* context) {
  SettleFront(all, list, cls);
  auto it = list.order.begin();
  while (it != list.order.end()) {
    const auto [key, account] = *it;
    const double tokens = all.served[cls.idx][account].tokens;
    if (key < tokens) {
      // Put right, it may belong before the next one: look again.
      SetKey(list, account, tokens);
      it = list.order.begin();
      continue;
    }
    if (held == nullptr || !held(context, AccountHandle{account})) {
      const RequestId id = list.flows.at(account).begin()->request;
      return &all.requests.at(id);
    }
    ++it;
  }
  return nullptr;
}

// An account that comes back from idling starts level with those that waited:
// otherwise it could save up for a burst that shuts the others out.
void LiftIdle(const WaitQueue& all, ClassQueue& queue, ClassHandle cls,
              Served& served) {
  if (served.waiting > 0 || queue.in_time.order.empty()) return;
  SettleFront(all, queue.in_time, cls);
  served.tokens = std::max(served.tokens, queue.in_time.order.begin()->first);
}

}  // namespace

bool operator<(const Place& left, const Place& right) {
  return std::tie(left.time, left.number) < std::tie(right.time, right.number);
}

void Resize(WaitQueue& queue, std::size_t targets, std::size_t classes,
            std::size_t accounts) {
  targets = std::max(targets, queue.queues.size());
  classes = std::max(classes, queue.served.size());
  queue.queues.resize(targets);
  queue.waiting.resize(targets);
  for (auto& row : queue.queues) row.resize(classes);
  for (auto& row : queue.waiting) row.resize(classes);
  queue.served.resize(classes);
  queue.accounts_waiting.resize(classes);
  for (auto& row : queue.served) {
    if (row.size() < accounts) row.resize(accounts);
  }
}

void Push(WaitQueue& queue, Waiting waiting) {
  waiting.number = ++queue.arrivals;
  waiting.late = false;
  const Request request = waiting.request;
  ClassQueue& cls = QueueOf(queue, request);
  Served& served = ServedOf(queue, request.cls, request.account);
  LiftIdle(queue, cls, request.cls, served);
  const Place place = PlaceOf(request.deadline, waiting);
  AddTo(cls.in_time, request.account.idx, place, served.tokens);
  cls.by_deadline.insert(place);
  cls.by_bound.insert(PlaceOf(waiting.bound, waiting));
  if (served.waiting++ == 0) ++queue.accounts_waiting[request.cls.idx];
  ++queue.waiting[request.target.idx][request.cls.idx];
  queue.requests.emplace(request.id, waiting);
}

std::optional<Waiting> Take(WaitQueue& queue, RequestId request) {
  const auto it = queue.requests.find(request);
  if (it == queue.requests.end()) return std::nullopt;
  Waiting waiting = it->second;
  queue.requests.erase(it);
  const Request& taken = waiting.request;
  ClassQueue& cls = QueueOf(queue, taken);
  const Place by_deadline = PlaceOf(taken.deadline, waiting);
  if (waiting.late) {
    RemoveFrom(cls.late, taken.account.idx, PlaceOf(taken.arrived, waiting));
  } else {
    RemoveFrom(cls.in_time, taken.account.idx, by_deadline);
    cls.by_deadline.erase(by_deadline);
  }
  cls.by_bound.erase(PlaceOf(waiting.bound, waiting));
  Served& served = ServedOf(queue, taken.cls, taken.account);
  if (--served.waiting == 0) --queue.accounts_waiting[taken.cls.idx];
  --queue.waiting[taken.target.idx][taken.cls.idx];
  return waiting;
}

const Waiting* HeadOf(WaitQueue& queue, TargetHandle target, ClassHandle cls,
                      Time in_time_by, AccountHeld held, const void* context) {
  ClassQueue& waiting = queue.queues[target.idx][cls.idx];
  MoveLate(queue, waiting, in_time_by);
  const Waiting* head = FrontOf(queue, waiting.in_time, cls, held, context);
  if (head != nullptr) return head;
  return FrontOf(queue, waiting.late, cls, held, context);
}

bool GoesBefore(const Waiting& left, const Waiting& right) {
  return std::tie(left.tier, left.late, left.request.deadline, left.number) <
         std::tie(right.tier, right.late, right.request.deadline, right.number);
}

void Charge(WaitQueue& queue, ClassHandle cls, AccountHandle account,
            double tokens, std::uint32_t share) {
  Served& served = ServedOf(queue, cls, account);
  const double per_share = tokens / std::max(1U, share);
  const double from_credit = std::min(served.credit, per_share);
  served.credit -= from_credit;
  served.tokens += per_share - from_credit;
}

void Refund(WaitQueue& queue, ClassHandle cls, AccountHandle account,
            double tokens, std::uint32_t share) {
  ServedOf(queue, cls, account).credit += tokens / std::max(1U, share);
}

void ListBoundBefore(const WaitQueue& queue, TargetHandle target,
                     ClassHandle cls, Time time, std::vector<RequestId>& out) {
  for (const Place& place : queue.queues[target.idx][cls.idx].by_bound) {
    if (place.time >= time) break;
    out.push_back(place.request);
  }
}

const Waiting* FindToShed(const WaitQueue& queue, std::uint8_t tier) {
  const Waiting* found = nullptr;
  for (const auto& classes : queue.queues) {
    for (const ClassQueue& cls : classes) {
      if (cls.by_bound.empty()) continue;
      const Waiting& newest = queue.requests.at(cls.by_bound.rbegin()->request);
      if (newest.tier <= tier) continue;
      if (found == nullptr || std::tie(found->tier, found->number) <
                                  std::tie(newest.tier, newest.number)) {
        found = &newest;
      }
    }
  }
  return found;
}

const Waiting* FindOverShare(const WaitQueue& queue, ClassHandle cls,
                             AccountHandle account) {
  const std::vector<Served>& accounts = queue.served[cls.idx];
  const auto most = std::max_element(
      accounts.begin(), accounts.end(),
      [](const Served& l, const Served& r) { return l.waiting < r.waiting; });
  if (most == accounts.end()) return nullptr;
  if (most->waiting <= 2 * (accounts[account.idx].waiting + 1)) return nullptr;
  const auto over = static_cast<std::uint32_t>(most - accounts.begin());
  const Waiting* newest = nullptr;
  for (const auto& classes : queue.queues) {
    for (const FairList* list :
         {&classes[cls.idx].in_time, &classes[cls.idx].late}) {
      const auto flow = list->flows.find(over);
      if (flow == list->flows.end()) continue;
      const Waiting& last = queue.requests.at(flow->second.rbegin()->request);
      if (newest == nullptr || newest->number < last.number) newest = &last;
    }
  }
  return newest;
}

}  // namespace egretladder::policy
