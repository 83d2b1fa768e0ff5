#include "egretladder/kernel/error.h"

namespace egretladder::kernel {

const char* NameOf(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidInput:
      return "invalid_input";
    case ErrorCode::kNotFound:
      return "not_found";
    case ErrorCode::kUnavailable:
      return "unavailable";
    case ErrorCode::kTimeout:
      return "timeout";
    case ErrorCode::kConflict:
      return "conflict";
    case ErrorCode::kInternal:
      return "internal";
  }
  return "unknown";
}

std::string Describe(const Error& error) {
  std::string line = error.step;
  if (!error.peer.empty()) line += ": " + error.peer;
  return line + ": " + error.detail;
}

}  // namespace egretladder::kernel
