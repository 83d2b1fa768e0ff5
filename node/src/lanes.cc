// Calls that may not be repeated: at most once by lane and key.
#include "state_p.h"

namespace egretladder::node {
namespace {

constexpr const char* kKeyAdvice =
    "retry with the same lane and key to learn the outcome";

/// Answers a call whose key has no record of this call's own. Whatever an
/// earlier copy of it did is not known here, hence never "not run".
void AnswerUnknown(NodeState& state, const CallRecord& record,
                   const GiveUpReason& reason, Time now, Actions& out) {
  Decide(state, record, "refuse", NameOf(reason.code), now, out);
  RefuseCall(record.call, RunStatus::kUnknown, reason, out);
  ForgetCall(state, record.call.id);
}

std::string AddressOfOwner(const NodeState& state, const std::string& node,
                           Time now) {
  for (const fleet::Member& member : fleet::ViewOf(*state.fleet, now).members) {
    if (member.node == node) return member.caller_address;
  }
  const rules::RulesPtr rules = fleet::RulesOf(*state.fleet);
  const rules::NodeHandle handle = rules::FindNode(*rules, node);
  if (!rules::IsValid(handle)) return "";
  return rules->nodes[handle.idx].caller_address;
}

/// Another node's lane: only that node may run the call. A call is passed on
/// once at most, so that two nodes with different views make no loop.
void Forward(NodeState& state, CallRecord& record, const fleet::Lane& lane,
             Time now, Actions& out) {
  const bool earlier_process = lane.node == state.options.fleet.node;
  if (record.call.forwarded || earlier_process) {
    return AnswerUnknown(state, record,
                         {AnswerCode::kLaneInvalid,
                          "the lane is not of this process of the node",
                          {}},
                         now, out);
  }
  std::string address = AddressOfOwner(state, lane.node, now);
  if (address.empty()) {
    return AnswerUnknown(
        state, record,
        {AnswerCode::kOwnerUnreachable,
         "node '" + lane.node + "', which owns the lane, is not known",
         kStandardRetryAfter},
        now, out);
  }
  SetStage(state, record, Stage::kForwarded, now);
  Decide(state, record, "forward", "lane_of_other_node", now, out);
  out.emplace_back(ForwardCall{record.call.id, std::move(address)});
}

AnswerCode CodeOf(fleet::LaneRefusal why) {
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
  const auto runner = state.runners.find(RunnerKey(record));
  if (runner != state.runners.end()) {
    if (CallRecord* run = FindCall(state, runner->second)) ++run->joined;
  }
  SetStage(state, record, Stage::kJoined, now);
  Decide(state, record, "join", "key_in_progress", now, out);
}

/// Takes the owner's decision on a key. Returns true when the call is to run.
struct DecisionTaker {
  NodeState& state;
  CallRecord& record;
  Time now;
  Actions& out;

  bool operator()(const fleet::RunCall&) const {
    state.runners[RunnerKey(record)] = record.call.id;
    return true;
  }
  bool operator()(const fleet::JoinCall&) const {
    Join(state, record, now, out);
    return false;
  }
  bool operator()(const fleet::RepeatAnswer& repeat) const {
    Decide(state, record, "repeat_answer", "key_answered", now, out);
    out.emplace_back(AnswerStored{record.call.id, repeat.answer});
    ForgetCall(state, record.call.id);
    return false;
  }
  bool operator()(const fleet::OutcomeUnknown&) const {
    AnswerUnknown(state, record,
                  {AnswerCode::kOutcomeUnknown,
                   "it was sent and its answer was lost",
                   {}},
                  now, out);
    return false;
  }
  bool operator()(const fleet::RefuseCall& refusal) const {
    const AnswerCode code = CodeOf(refusal.why);
    Decide(state, record, "refuse", NameOf(refusal.why), now, out);
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

bool BeginOnce(NodeState& state, CallRecord& record, Time now, Actions& out) {
  const auto lane = fleet::DecodeLane(record.call.lane);
  if (!lane.has_value()) {
    AnswerUnknown(state, record,
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
  return std::visit(DecisionTaker{state, record, now, out}, decision);
}

void OnForwarded(NodeState& state, CallId call, bool answered, bool /*sent*/,
                 Time now, Actions& out) {
  CallRecord* record = FindCall(state, call);
  if (record == nullptr || record->stage != Stage::kForwarded) return;
  if (answered) return ForgetCall(state, call);
  // Even when nothing was sent this time, an earlier copy of the call may have
  // reached the owner by another way and run.
  AnswerUnknown(
      state, *record,
      {AnswerCode::kOwnerUnreachable, kKeyAdvice, kStandardRetryAfter}, now,
      out);
}

}  // namespace egretladder::node
