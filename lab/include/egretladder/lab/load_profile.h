// What the load tool sends: flows of calls from an INI profile, planned ahead
// from a seed, so that every scheduler meets the same calls at the same times.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "egretladder/kernel/error.h"

namespace egretladder::lab {

/// A client account's part of a flow.
struct AccountWeight {
  std::string account;
  std::uint32_t weight = 1;
};

/// `[flow] NAME = class=C model=M|service=S accounts=a:4,b rate=20 ...`: one
/// stream of calls that arrive by chance (Poisson) whatever the answers do.
struct Flow {
  std::string name;
  std::string cls;
  std::string model;    ///< Either this or `service`.
  std::string service;  ///< Called at `/svc/SERVICE/NAME`.
  std::vector<AccountWeight> accounts;
  double rate = 1;  ///< Calls a second.
  std::chrono::milliseconds burst_at{};
  std::chrono::milliseconds burst_for{};  ///< 0: no burst.
  double burst_rate = 0;                  ///< In place of `rate` meanwhile.
  std::uint32_t prompt = 100;             ///< Median of the tokens asked.
  std::uint32_t prefix = 0;   ///< Leading tokens shared by an account's calls.
  std::uint32_t output = 50;  ///< Median of the tokens answered.
  double tail = 0.5;  ///< Sigma of both log-normal lengths; 1 is a long tail.
  bool stream = true;
};

struct LoadProfile {
  std::uint64_t seed = 1;
  std::chrono::milliseconds duration{10'000};
  std::uint32_t connections = 500;  ///< At once, over all targets.
  std::vector<Flow> flows;
};

/// One call of the plan.
struct PlannedCall {
  std::chrono::microseconds at{};  ///< From the start of the load.
  std::uint32_t flow = 0;          ///< Index into the profile's flows.
  std::uint32_t account = 0;       ///< Index into the flow's accounts.
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;
};

/// Reads a profile. Fails with `kInvalidInput`, naming file and line.
kernel::Result<LoadProfile> ReadLoadProfile(const std::string& text,
                                            std::string_view file);

/// Plans every call, in order of time. The same profile gives the same plan.
std::vector<PlannedCall> PlanCalls(const LoadProfile& profile);

/// The prompt of a planned call: the account's shared prefix, then text of its
/// own.
std::string PromptOf(const LoadProfile& profile, const PlannedCall& call,
                     std::uint64_t number);

}  // namespace egretladder::lab
