// Results of a load: counts and times of each class, and their table.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace egretladder::lab {

/// How a call ended for its caller.
enum class CallEnd : std::uint8_t {
  kServed,      ///< The complete answer to its own request.
  kShed,        ///< Rejected as not run.
  kUnknown,     ///< The outcome is unknown, or no answer came.
  kCut,         ///< A stream that was cut.
  kWrong,       ///< Another call's answer, or invalid bytes.
  kRefused,     ///< The request was invalid.
  kNotSent,     ///< No node or no free connection was found.
  kUnfinished,  ///< Still in progress when the run ended.
};

/// Targets of a class, from the rules.
struct ClassTargets {
  std::uint32_t tier = 0;
  std::chrono::milliseconds first_token{};
  std::chrono::milliseconds between_tokens{};  ///< 0: no target.
};

/// The measurements of one call.
struct CallSeen {
  CallEnd end = CallEnd::kNotSent;
  std::chrono::microseconds first_token{};      ///< From its planned time.
  std::vector<std::chrono::microseconds> gaps;  ///< Between tokens.
  std::uint32_t tokens = 0;
};

struct ClassAccount {
  ClassTargets targets;
  std::uint64_t sent = 0;
  std::uint64_t served = 0;
  std::uint64_t in_time = 0;
  std::uint64_t shed = 0;
  std::uint64_t unknown = 0;
  std::uint64_t cut = 0;
  std::uint64_t wrong = 0;
  std::uint64_t refused = 0;
  std::uint64_t not_sent = 0;
  std::uint64_t unfinished = 0;
  std::uint64_t tokens = 0;          ///< Of calls served.
  std::uint64_t tokens_in_time = 0;  ///< Of calls served in time.
  std::vector<std::chrono::microseconds> first_tokens;
  std::vector<std::chrono::microseconds> gaps;
};

/// By class name.
struct LoadAccount {
  std::map<std::string, ClassAccount> classes;
};

/// Returns true if the first token came within the target of the class and the
/// mean time between tokens is within the other target.
bool IsInTime(const ClassTargets& targets, const CallSeen& seen);

void Record(ClassAccount& account, const CallSeen& seen);

/// Returns the nearest-rank quantile of `samples`, which it sorts; 0 if there
/// are none.
std::chrono::microseconds QuantileOf(
    std::vector<std::chrono::microseconds>& samples, double quantile);

/// Returns the share of the sent calls that were served in time; 1 if none was
/// sent.
double AttainmentOf(const ClassAccount& account);

/// Formats one line per class, by tier, and one for each class with outcomes
/// that the table counts as `other`. `took` is the duration of the load.
std::string TableOf(LoadAccount& account, const std::string& title,
                    std::chrono::milliseconds took);
std::string JsonOf(LoadAccount& account, const std::string& title,
                   std::chrono::milliseconds took);

}  // namespace egretladder::lab
