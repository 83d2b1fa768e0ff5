#include "egretladder/lab/load_profile.h"

#include <algorithm>
#include <array>
#include <boost/algorithm/string/split.hpp>
#include <cmath>
#include <cstdlib>
#include <map>
#include <numbers>
#include <utility>

#include "egretladder/kernel/hash.h"
#include "egretladder/kernel/ini.h"
#include "egretladder/kernel/time.h"
#include "egretladder/lab/config.h"

namespace egretladder::lab {
namespace {

using Words = std::map<std::string, std::string>;
using std::chrono::milliseconds;

/// Longest prompt or answer, in multiples of the median: bounds the tail.
constexpr double kLongestOfMedian = 20;

kernel::Error Refuse(std::string_view file, std::uint32_t line,
                     std::string detail) {
  return kernel::MakeError(
      kernel::ErrorCode::kInvalidInput, "read load profile",
      std::string(file) + ":" + std::to_string(line), std::move(detail));
}

std::vector<std::string> Split(const std::string& text, char separator) {
  std::vector<std::string> parts;
  boost::split(
      parts, text, [separator](char c) { return c == separator; },
      boost::token_compress_on);
  return parts;
}

std::vector<AccountWeight> ReadAccounts(const std::string& text) {
  std::vector<AccountWeight> accounts;
  for (const std::string& part : Split(text, ',')) {
    const std::vector<std::string> pair = Split(part, ':');
    AccountWeight account{pair[0], 1};
    if (pair.size() > 1) {
      account.weight = static_cast<std::uint32_t>(
          std::strtoul(pair[1].c_str(), nullptr, 10));
    }
    accounts.push_back(std::move(account));
  }
  return accounts;
}

bool TakeNumber(const std::string& value, double& number) {
  char* end = nullptr;
  number = std::strtod(value.c_str(), &end);
  return end != value.c_str() && *end == '\0' && number >= 0 &&
         std::isfinite(number);
}

bool TakeCount(const std::string& value, std::uint32_t& count) {
  double number = 0;
  constexpr double kMostTokens = 1e6;
  if (!TakeNumber(value, number) || number > kMostTokens) return false;
  count = static_cast<std::uint32_t>(number);
  return true;
}

bool TakeDuration(const std::string& value, milliseconds& duration) {
  const auto parsed = kernel::ParseDuration(value.c_str());
  duration = std::chrono::duration_cast<milliseconds>(parsed);
  return parsed.count() >= 0;
}

/// Returns false when the key is unknown or the value not valid.
bool TakeWord(Flow& flow, const std::string& key, const std::string& value) {
  if (key == "class") flow.cls = value;
  if (key == "model") flow.model = value;
  if (key == "service") flow.service = value;
  if (key == "accounts") flow.accounts = ReadAccounts(value);
  if (key == "stream") flow.stream = value == "yes";
  constexpr std::array<std::string_view, 5> kTexts = {
      "class", "model", "service", "accounts", "stream"};
  if (std::find(kTexts.begin(), kTexts.end(), key) != kTexts.end()) {
    return !value.empty();
  }
  if (key == "rate") return TakeNumber(value, flow.rate);
  if (key == "burst_rate") return TakeNumber(value, flow.burst_rate);
  if (key == "tail") return TakeNumber(value, flow.tail);
  if (key == "burst_at") return TakeDuration(value, flow.burst_at);
  if (key == "burst_for") return TakeDuration(value, flow.burst_for);
  if (key == "prompt") return TakeCount(value, flow.prompt);
  if (key == "prefix") return TakeCount(value, flow.prefix);
  if (key == "output") return TakeCount(value, flow.output);
  return false;
}

kernel::Result<Flow> ReadFlow(const kernel::IniEntry& entry,
                              std::string_view file) {
  Flow flow;
  flow.name = entry.key;
  for (const std::string& word : Split(entry.value, ' ')) {
    const auto equals = word.find('=');
    const std::string key = word.substr(0, equals);
    if (equals == std::string::npos ||
        !TakeWord(flow, key, word.substr(equals + 1))) {
      return Refuse(file, entry.line,
                    "'" + word +
                        "' is not valid; known: class, model, service, "
                        "accounts, rate, burst_at, burst_for, burst_rate, "
                        "prompt, prefix, output, tail, stream");
    }
  }
  if (flow.cls.empty() || flow.accounts.empty() ||
      flow.model.empty() == flow.service.empty()) {
    return Refuse(file, entry.line,
                  "a flow needs class, accounts and either model or service");
  }
  return flow;
}

bool TakeSetting(LoadProfile& profile, const kernel::IniEntry& entry) {
  if (entry.key == "duration") {
    return TakeDuration(entry.value, profile.duration);
  }
  if (entry.key == "connections") {
    return TakeCount(entry.value, profile.connections);
  }
  if (entry.key != "seed") return false;
  profile.seed = std::strtoull(entry.value.c_str(), nullptr, 10);
  return true;
}

double RateAt(const Flow& flow, double seconds) {
  const double at = std::chrono::duration<double>(flow.burst_at).count();
  const double length = std::chrono::duration<double>(flow.burst_for).count();
  const bool bursts = seconds >= at && seconds < at + length;
  return bursts ? flow.burst_rate : flow.rate;
}

/// A log-normal length with the given median (Box-Muller over `random`).
std::uint32_t DrawLength(kernel::Random& random, std::uint32_t median,
                         double sigma) {
  const double u = 1 - kernel::RandomFraction(random);
  const double v = kernel::RandomFraction(random);
  const double normal =
      std::sqrt(-2 * std::log(u)) * std::cos(2 * std::numbers::pi * v);
  const double factor = std::min(std::exp(sigma * normal), kLongestOfMedian);
  return std::max(1U, static_cast<std::uint32_t>(median * factor));
}

std::uint32_t DrawAccount(kernel::Random& random, const Flow& flow) {
  std::uint64_t sum = 0;
  for (const AccountWeight& account : flow.accounts) sum += account.weight;
  std::uint64_t drawn =
      kernel::RandomBelow(random, std::max<std::uint64_t>(1, sum));
  for (std::uint32_t i = 0; i < flow.accounts.size(); ++i) {
    if (drawn < flow.accounts[i].weight) return i;
    drawn -= flow.accounts[i].weight;
  }
  return 0;
}

/// Thins a Poisson stream of the flow's highest rate down to its rate at each
/// moment (Lewis and Shedler).
void PlanFlow(const LoadProfile& profile, std::uint32_t index,
              std::vector<PlannedCall>& calls) {
  const Flow& flow = profile.flows[index];
  kernel::Random random(kernel::HashBytes(flow.name, profile.seed));
  const double top = std::max(flow.rate, flow.burst_rate);
  const double end = std::chrono::duration<double>(profile.duration).count();
  if (top <= 0) return;
  for (double at = 0;;) {
    at += -std::log(1 - kernel::RandomFraction(random)) / top;
    if (at >= end) return;
    PlannedCall call;
    call.at = std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::duration<double>(at));
    call.flow = index;
    call.account = DrawAccount(random, flow);
    call.prompt_tokens = DrawLength(random, flow.prompt, flow.tail);
    call.output_tokens = DrawLength(random, flow.output, flow.tail);
    if (kernel::RandomFraction(random) * top < RateAt(flow, at)) {
      calls.push_back(call);
    }
  }
}

/// Text of about `tokens` tokens that depends on `seed` only.
void AppendText(std::string& text, std::uint32_t tokens, std::uint64_t seed) {
  kernel::Random random(seed);
  const std::size_t end = text.size() + tokens * kCharsPerToken;
  while (text.size() < end) {
    constexpr std::uint64_t kWords = 100'000;
    text += std::to_string(kernel::RandomBelow(random, kWords)) + " ";
  }
  text.resize(end);
}

}  // namespace

kernel::Result<LoadProfile> ReadLoadProfile(const std::string& text,
                                            std::string_view file) {
  LoadProfile profile;
  const auto entries = kernel::ReadIni(text, file);
  if (!entries) return entries.error();
  for (const kernel::IniEntry& entry : entries.value()) {
    if (entry.section == "flow") {
      BOOST_OUTCOME_TRY(flow, ReadFlow(entry, file));
      profile.flows.push_back(std::move(flow));
    } else if (entry.section != "load" || !TakeSetting(profile, entry)) {
      return Refuse(file, entry.line,
                    "'" + entry.section + "." + entry.key +
                        "' is unknown or its value is not valid; known: "
                        "load.seed, load.duration, load.connections, [flow]");
    }
  }
  if (profile.flows.empty()) return Refuse(file, 0, "no [flow] is declared");
  return profile;
}

std::vector<PlannedCall> PlanCalls(const LoadProfile& profile) {
  std::vector<PlannedCall> calls;
  for (std::uint32_t i = 0; i < profile.flows.size(); ++i) {
    PlanFlow(profile, i, calls);
  }
  std::stable_sort(
      calls.begin(), calls.end(),
      [](const PlannedCall& a, const PlannedCall& b) { return a.at < b.at; });
  return calls;
}

std::string PromptOf(const LoadProfile& profile, const PlannedCall& call,
                     std::uint64_t number) {
  const Flow& flow = profile.flows[call.flow];
  std::string prompt;
  AppendText(prompt, flow.prefix,
             kernel::HashBytes(flow.accounts[call.account].account,
                               kernel::HashBytes(flow.name)));
  AppendText(prompt, call.prompt_tokens,
             kernel::HashBytes(std::to_string(number), profile.seed));
  return prompt;
}

}  // namespace egretladder::lab
