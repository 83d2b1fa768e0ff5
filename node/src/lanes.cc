// Runs calls that must not be repeated at most once per lane and key.
#include "state_p.h"

namespace egretladder::node {
namespace {

constexpr const char* kKeyAdvice =
    "retry with the same lane and key to learn the outcome";

/// Refuses a call whose lane this node can't use, or whose key has lost its
/// outcome. The answer never says "not run", since an earlier copy of the call
/// may have run.
void RefuseAsUnknown(NodeState& state, const CallRecord& record,
                     const ErrorReason& reason, Time now, Actions& out) {
  EmitDecision(state, record, "refuse", NameOf(reason.code), now, out);
  RefuseCall(record.call, RunStatus::kUnknown, reason, out);
  ForgetCall(state, record.call.id);
}

std::string FindOwnerAddress(const NodeState& state, const std::string& node,
                             Time now) {
  for (const fleet::Member& member : fleet::ViewOf(*state.fleet, now).members) {
    if (member.node == node) return member.caller_address;
  }
  const rules::RulesPtr rules = fleet::RulesOf(*state.fleet);
  const rules::NodeHandle handle = rules::FindNode(*rules, node);
  if (!rules::IsValid(handle)) return "";
  return rules->nodes[handle.idx].caller_address;
}

/// Forwards a call whose lane belongs to another node, because only that node
/// may run it. A call is forwarded at most once, so that two nodes with
/// different views of the fleet don't forward it in a loop.
void Forward(NodeState& state, CallRecord& record, const fleet::Lane& lane,
             Time now, Actions& out) {
  const bool is_earlier_incarnation = lane.node == state.options.fleet.node;
  if (record.call.forwarded || is_earlier_incarnation) {
    return RefuseAsUnknown(state, record,
                           {AnswerCode::kLaneInvalid,
                            "the lane is not of this process of the node",
                            {}},
                           now, out);
  }
  std::string address = FindOwnerAddress(state, lane.node, now);
  if (address.empty()) {
    return RefuseAsUnknown(
        state, record,
        {AnswerCode::kOwnerUnreachable,
         "node '" + lane.node + "', which owns the lane, is not known",
         kDefaultRetryAfter},
        now, out);
  }
  SetStage(state, record, Stage::kForwarded, now);
  EmitDecision(state, record, "forward", "lane_of_other_node", now, out);
  out.emplace_back(ForwardCall{record.call.id, std::move(address)});
}

AnswerCode AnswerCodeFor(fleet::LaneRefusal why) {
  switch (why) {
    case fleet::LaneRefusal::kExpired:
      return AnswerCode::kLaneExpired;
    case fleet::LaneRefusal::kForged:
    case fleet::LaneRefusal::kKeyBurned:
      return AnswerCode::kLaneInvalid;
    case fleet::LaneRefusal::kOtherBody:
      return AnswerCode::kKeyReused;
    case fleet::LaneRefusal::kTableFull:
      return AnswerCode::kOverloaded;
  }
  return AnswerCode::kLaneInvalid;
}

void Join(NodeState& state, CallRecord& record, Time now, Actions& out) {
  const auto found = state.runner_by_key.find(RunnerKey(record));
  if (found != state.runner_by_key.end()) {
    if (CallRecord* runner = FindCall(state, found->second)) ++runner->waiters;
  }
  SetStage(state, record, Stage::kJoined, now);
  EmitDecision(state, record, "join", "key_in_progress", now, out);
}

/// Applies the decision of the lane's owner on a key. Returns true if the call
/// is to run.
struct LaneDecisionApplier {
  NodeState& state;
  CallRecord& record;
  Time now;
  Actions& out;

  bool operator()(const fleet::RunCall&) const {
    state.runner_by_key[RunnerKey(record)] = record.call.id;
    return true;
  }
  bool operator()(const fleet::JoinCall&) const {
    Join(state, record, now, out);
    return false;
  }
  bool operator()(const fleet::RepeatAnswer& repeat) const {
    EmitDecision(state, record, "repeat_answer", "key_answered", now, out);
    out.emplace_back(AnswerStored{record.call.id, repeat.answer});
    ForgetCall(state, record.call.id);
    return false;
  }
  bool operator()(const fleet::OutcomeUnknown&) const {
    RefuseAsUnknown(state, record,
                    {AnswerCode::kOutcomeUnknown,
                     "it was sent and its answer was lost",
                     {}},
                    now, out);
    return false;
  }
  bool operator()(const fleet::RefuseCall& refusal) const {
    const AnswerCode code = AnswerCodeFor(refusal.why);
    EmitDecision(state, record, "refuse", NameOf(refusal.why), now, out);
    RefuseCall(record.call,
               refusal.not_run ? RunStatus::kDidNotRun : RunStatus::kUnknown,
               {code, NameOf(refusal.why), {}}, out);
    ForgetCall(state, record.call.id);
    return false;
  }
};

}  // namespace

std::string RunnerKey(const CallRecord& record) {
  return std::to_string(record.lane->number) + '/' + record.call.key;
}

bool BeginAtMostOnce(NodeState& state, CallRecord& record, Time now,
                     Actions& out) {
  const auto lane = fleet::DecodeLane(record.call.lane);
  if (!lane.has_value()) {
    RefuseAsUnknown(state, record,
                    {AnswerCode::kLaneInvalid, "not a lane of /where", {}}, now,
                    out);
    return false;
  }
  if (!fleet::OwnsLane(*state.lanes, lane.value())) {
    Forward(state, record, lane.value(), now, out);
    return false;
  }
  record.lane = lane.value();
  const fleet::LaneDecision decision =
      fleet::BeginCall(*state.lanes, *record.lane, record.call.key,
                       record.call.body_hash, record.call.id, now);
  return std::visit(LaneDecisionApplier{state, record, now, out}, decision);
}

void OnForwarded(NodeState& state, CallId call, bool answered, bool /*sent*/,
                 Time now, Actions& out) {
  CallRecord* record = FindCall(state, call);
  if (record == nullptr || record->stage != Stage::kForwarded) return;
  if (answered) return ForgetCall(state, call);
  // Even if nothing was sent this time, an earlier copy of the call may have
  // reached the owner by another path and run there.
  RefuseAsUnknown(
      state, *record,
      {AnswerCode::kOwnerUnreachable, kKeyAdvice, kDefaultRetryAfter}, now,
      out);
}

}  // namespace egretladder::node
