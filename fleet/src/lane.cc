#include "egretladder/fleet/lane.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

#include "egretladder/fleet/limits.h"
#include "egretladder/kernel/hash.h"
#include "lane_p.h"

namespace egretladder::fleet {
namespace {

enum class KeyState : std::uint8_t {
  kRecorded,  ///< Not sent yet.
  kSent,      ///< Its first byte may be out.
  kDone,      ///< Answered.
  kLost,      ///< Sent, and its answer is lost.
  kBurned,    ///< Said to be "not run".
};

struct CallRecord {
  KeyState state = KeyState::kRecorded;
  std::uint64_t body_hash = 0;
  std::chrono::milliseconds expires{};  ///< Of its lane.
  std::chrono::milliseconds ended{};
  std::vector<WaiterId> waiters;
  std::shared_ptr<const StoredAnswer> answer;
};

bool Runs(const CallRecord& call) {
  return call.state == KeyState::kRecorded || call.state == KeyState::kSent;
}

/// What a record takes besides its answer: node of the table, waiters, string.
constexpr std::size_t kRecordOverhead = 192;

std::size_t BytesOf(const std::string& key, const CallRecord& call) {
  std::size_t bytes = kRecordOverhead + key.size();
  if (Runs(call)) bytes += kAnswerReserve;
  if (call.answer != nullptr) {
    bytes += call.answer->body.size() + call.answer->content_type.size();
  }
  return bytes;
}

std::string KeyOf(const Lane& lane, const std::string& key) {
  return std::to_string(lane.number) + '/' + key;
}

}  // namespace

struct LanesState {
  std::string node;
  std::uint64_t incarnation = 0;
  std::string secret;
  Time started{};
  /// The latest moment seen. An expiry stays an expiry when a clock is set
  /// back: forgotten keys would run again otherwise.
  Time latest{};
  std::uint64_t issued = 0;
  /// Lanes up to this number take no new keys; see `RefuseFull`.
  std::uint64_t closed_through = 0;
  std::unordered_map<std::string, CallRecord> calls;
  std::size_t bytes = 0;
};

namespace {

std::chrono::milliseconds Elapsed(LanesState& state, Time now) {
  state.latest = std::max(state.latest, now);
  return std::chrono::duration_cast<std::chrono::milliseconds>(state.latest -
                                                               state.started);
}

bool IsExpired(LanesState& state, const Lane& lane, Time now) {
  return Elapsed(state, now) >= lane.expires;
}

std::string SignatureOf(const LanesState& state, const Lane& lane) {
  return kernel::Sign(state.secret, LaneFields(lane) + '.' + lane.node);
}

CallRecord* Find(LanesState& state, const Lane& lane, const std::string& key) {
  const auto found = state.calls.find(KeyOf(lane, key));
  return found == state.calls.end() ? nullptr : &found->second;
}

/// Ends a call in `next` and hands out its waiters.
std::vector<WaiterId> EndCall(LanesState& state, const std::string& full_key,
                              CallRecord& call, KeyState next, Time now) {
  state.bytes -= BytesOf(full_key, call);
  call.state = next;
  call.ended = Elapsed(state, now);
  state.bytes += BytesOf(full_key, call);
  return std::exchange(call.waiters, {});
}

LaneDecision RepeatCall(CallRecord& call, std::uint64_t body_hash,
                        WaiterId waiter) {
  // "Not run" would be wrong here: the key's first body may have run, and a
  // caller whose retry differs in a date only would believe it had not.
  if (call.body_hash != body_hash) {
    return RefuseCall{LaneRefusal::kOtherBody, false};
  }
  switch (call.state) {
    case KeyState::kDone:
      return RepeatAnswer{call.answer};
    case KeyState::kLost:
      return OutcomeUnknown{};
    case KeyState::kBurned:
      return RefuseCall{LaneRefusal::kKeyBurned, true};
    case KeyState::kRecorded:
    case KeyState::kSent:
      break;
  }
  if (call.waiters.size() >= kWaitersMost) return OutcomeUnknown{};
  call.waiters.push_back(waiter);
  return JoinCall{};
}

/// Refuses a key that can't be recorded, for good: the lanes issued so far take
/// no new keys any more. Without that, a second copy of the call that arrives
/// when there is room again would run after its caller heard "not run". One
/// number holds for all of them, since a full table can't hold burned keys.
LaneDecision RefuseFull(LanesState& state) {
  state.closed_through = state.issued;
  return RefuseCall{LaneRefusal::kTableFull, true};
}

}  // namespace

const char* NameOf(LaneRefusal why) {
  switch (why) {
    case LaneRefusal::kExpired:
      return "lane_expired";
    case LaneRefusal::kForged:
      return "lane_forged";
    case LaneRefusal::kKeyBurned:
      return "key_burned";
    case LaneRefusal::kOtherBody:
      return "other_body";
    case LaneRefusal::kTableFull:
      return "lane_table_full";
  }
  return "unknown";
}

void LanesDelete::operator()(LanesState* state) const { delete state; }

LanesPtr StartLanes(std::string node, std::uint64_t incarnation,
                    std::string secret, Time now) {
  LanesPtr state(new LanesState);
  state->node = std::move(node);
  state->incarnation = incarnation;
  state->secret = std::move(secret);
  state->started = now;
  state->latest = now;
  return state;
}

Lane IssueLane(LanesState& state, Time now) {
  Lane lane;
  lane.node = state.node;
  lane.incarnation = state.incarnation;
  lane.number = ++state.issued;
  lane.expires = Elapsed(state, now) + kLaneLifetime;
  lane.signature = SignatureOf(state, lane);
  return lane;
}

bool OwnsLane(const LanesState& state, const Lane& lane) {
  return lane.node == state.node && lane.incarnation == state.incarnation &&
         kernel::IsSameSignature(lane.signature, SignatureOf(state, lane));
}

LaneDecision BeginCall(LanesState& state, const Lane& lane,
                       const std::string& key, std::uint64_t body_hash,
                       WaiterId waiter, Time now) {
  if (!OwnsLane(state, lane)) return RefuseCall{LaneRefusal::kForged, false};
  if (CallRecord* call = Find(state, lane, key); call != nullptr) {
    return RepeatCall(*call, body_hash, waiter);
  }
  // The key may have run and been forgotten.
  if (IsExpired(state, lane, now)) {
    return RefuseCall{LaneRefusal::kExpired, false};
  }
  // Before its expiry no key is forgotten: an unrecorded one never ran.
  if (lane.number <= state.closed_through) {
    return RefuseCall{LaneRefusal::kTableFull, true};
  }
  std::string full_key = KeyOf(lane, key);
  CallRecord call;
  call.body_hash = body_hash;
  call.expires = lane.expires;
  call.waiters.push_back(waiter);
  const std::size_t bytes = BytesOf(full_key, call);
  if (state.calls.size() >= kLaneKeysMost ||
      state.bytes + bytes > kMaxLaneTableBytes) {
    return RefuseFull(state);
  }
  state.bytes += bytes;
  state.calls.emplace(std::move(full_key), std::move(call));
  return RunCall{};
}

bool MaySend(LanesState& state, const Lane& lane, const std::string& key,
             Time now) {
  CallRecord* call = Find(state, lane, key);
  if (call == nullptr || call->state != KeyState::kRecorded) return false;
  if (IsExpired(state, lane, now)) return false;
  call->state = KeyState::kSent;
  return true;
}

bool MarkUnsent(LanesState& state, const Lane& lane, const std::string& key) {
  CallRecord* call = Find(state, lane, key);
  if (call == nullptr || !Runs(*call)) return false;
  call->state = KeyState::kRecorded;
  return true;
}

std::vector<WaiterId> FinishCall(LanesState& state, const Lane& lane,
                                 const std::string& key, StoredAnswer answer,
                                 Time now) {
  CallRecord* call = Find(state, lane, key);
  // An answer that arrives after its call was given up is still its outcome.
  const bool open =
      call != nullptr && (Runs(*call) || call->state == KeyState::kLost);
  if (!open) return {};
  const std::string full_key = KeyOf(lane, key);
  state.bytes -= BytesOf(full_key, *call);
  call->answer = std::make_shared<const StoredAnswer>(std::move(answer));
  state.bytes += BytesOf(full_key, *call);
  return EndCall(state, full_key, *call, KeyState::kDone, now);
}

std::vector<WaiterId> MarkOutcomeUnknown(LanesState& state, const Lane& lane,
                                         const std::string& key, Time now) {
  CallRecord* call = Find(state, lane, key);
  if (call == nullptr || !Runs(*call)) return {};
  return EndCall(state, KeyOf(lane, key), *call, KeyState::kLost, now);
}

std::vector<WaiterId> MarkNotRun(LanesState& state, const Lane& lane,
                                 const std::string& key, Time now) {
  CallRecord* call = Find(state, lane, key);
  if (call == nullptr || !Runs(*call)) return {};
  return EndCall(state, KeyOf(lane, key), *call, KeyState::kBurned, now);
}

void SweepLanes(LanesState& state, Time now) {
  const auto elapsed = Elapsed(state, now);
  std::erase_if(state.calls, [&](const auto& entry) {
    const CallRecord& call = entry.second;
    const auto until = std::max(call.expires, call.ended) + kAnswerRetention;
    if (Runs(call) || elapsed < until) return false;
    state.bytes -= BytesOf(entry.first, call);
    return true;
  });
}

LanesView ViewOf(const LanesState& state) {
  return {state.calls.size(), state.bytes};
}

}  // namespace egretladder::fleet
