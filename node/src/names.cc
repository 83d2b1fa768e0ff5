#include "egretladder/node/node.h"

namespace egretladder::node {

const char* NameOf(AnswerCode code) {
  switch (code) {
    case AnswerCode::kUnknownAccount:
      return "unknown_account";
    case AnswerCode::kUnknownClass:
      return "unknown_class";
    case AnswerCode::kClassNotAllowed:
      return "class_not_allowed";
    case AnswerCode::kUnknownTarget:
      return "unknown_target";
    case AnswerCode::kLaneMissing:
      return "lane_missing";
    case AnswerCode::kLaneInvalid:
      return "lane_invalid";
    case AnswerCode::kLaneExpired:
      return "lane_expired";
    case AnswerCode::kKeyReused:
      return "key_reused";
    case AnswerCode::kOverloaded:
      return "overloaded";
    case AnswerCode::kQuarantined:
      return "quarantined";
    case AnswerCode::kNoEndpoint:
      return "no_endpoint";
    case AnswerCode::kEndpointFailed:
      return "endpoint_failed";
    case AnswerCode::kOwnerUnreachable:
      return "owner_unreachable";
    case AnswerCode::kTimeout:
      return "timeout";
    case AnswerCode::kNotReady:
      return "not_ready";
    case AnswerCode::kLeaving:
      return "leaving";
    case AnswerCode::kOutcomeUnknown:
      return "outcome_unknown";
  }
  return "unknown";
}

const char* NameOf(RunStatus ran) {
  return ran == RunStatus::kDidNotRun ? "no" : "unknown";
}

int HttpStatusFor(AnswerCode code) {
  switch (code) {
    case AnswerCode::kLaneMissing:
    case AnswerCode::kLaneInvalid:
      return 400;
    case AnswerCode::kUnknownAccount:
    case AnswerCode::kUnknownClass:
    case AnswerCode::kClassNotAllowed:
      return 403;
    case AnswerCode::kUnknownTarget:
      return 404;
    case AnswerCode::kKeyReused:
      return 409;
    case AnswerCode::kLaneExpired:
      return 410;
    case AnswerCode::kQuarantined:
      return 422;
    case AnswerCode::kOverloaded:
      return 429;
    case AnswerCode::kEndpointFailed:
    case AnswerCode::kOwnerUnreachable:
    case AnswerCode::kOutcomeUnknown:
      return 502;
    case AnswerCode::kNoEndpoint:
    case AnswerCode::kNotReady:
    case AnswerCode::kLeaving:
      return 503;
    case AnswerCode::kTimeout:
      return 504;
  }
  return 500;
}

}  // namespace egretladder::node
