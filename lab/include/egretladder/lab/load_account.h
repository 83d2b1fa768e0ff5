// What callers got: counts and times for each class, and how they print.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace egretladder::lab {

/// How one call ended, as its caller saw it.
enum class CallEnd : std::uint8_t {
  kServed,      ///< The complete answer to its own request.
  kShed,        ///< Told "not run".
  kUnknown,     ///< Told "unknown", or never told.
  kCut,         ///< A stream that broke off.
  kWrong,       ///< Someone else's answer, or garbage taken for one.
  kRefused,     ///< The request itself was not valid.
  kNotSent,     ///< No node was found, or the load tool had no connection left.
  kUnfinished,  ///< Still in progress when the run ended.
};

/// Targets of a class, from the rules.
struct ClassTargets {
  std::uint32_t tier = 0;
  std::chrono::milliseconds first_token{};
  std::chrono::milliseconds between_tokens{};  ///< 0: none.
};

/// What was seen of one call.
struct CallSeen {
  CallEnd end = CallEnd::kNotSent;
  std::chrono::microseconds first_token{};  ///< From the moment it was planned.
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

/// A served call is in time when its first token came within the class's target
/// and the mean time between its tokens kept to the other.
bool IsInTime(const ClassTargets& targets, const CallSeen& seen);

void Record(ClassAccount& account, const CallSeen& seen);

/// The nearest-rank quantile of `samples`; zero without any. Sorts them.
std::chrono::microseconds QuantileOf(
    std::vector<std::chrono::microseconds>& samples, double quantile);

/// Calls served in time out of those sent, 0 to 1; 1 when none was sent.
double AttainmentOf(const ClassAccount& account);

/// One line for each class, by tier, and one for each class with ends that the
/// table sums up as `other`. `took` is the load's duration.
std::string TableOf(LoadAccount& account, const std::string& title,
                    std::chrono::milliseconds took);
std::string JsonOf(LoadAccount& account, const std::string& title,
                   std::chrono::milliseconds took);

}  // namespace egretladder::lab
