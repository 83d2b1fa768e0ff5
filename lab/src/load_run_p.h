// One run of a load profile over HTTP.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "answer_scan_p.h"
#include "egretladder/kernel/hash.h"
#include "egretladder/lab/load_account.h"
#include "egretladder/lab/load_profile.h"
#include "egretladder/rules/rules.h"
#include "http_client_p.h"

namespace egretladder::lab {

using kernel::Time;

/// What callers were told of one idempotency key of a call that may not be
/// repeated.
enum class KeyVerdict : std::uint8_t { kServed, kNotRun, kUnknown };

struct KeyTold {
  std::string key;
  KeyVerdict verdict = KeyVerdict::kUnknown;
};

struct LoadResult {
  LoadAccount account;
  std::vector<KeyTold> keys;
  std::chrono::milliseconds took{};
  std::uint64_t retries = 0;
  std::uint64_t where_calls = 0;
};

struct LoadOptions {
  LoadProfile profile;
  rules::RulesPtr rules;
  std::vector<Address> nodes;  ///< Asked for `/where`.
  bool direct = false;         ///< To the endpoints, without a node.
  std::chrono::milliseconds drain{
      20'000};  ///< For answers after the last call.
};

/// Plays the profile on `loop` until every call has ended.
LoadResult RunLoad(kernel::Loop& loop, const LoadOptions& options);

/// A caller's process: asks `/where`, keeps the answer, holds a lane. An
/// account has several, as phones and shops do.
struct LoadClient {
  std::string account;
  std::string zone;
  std::vector<Address> addresses;
  std::string lane;
  Time keep_until{};
  bool asking = false;
  std::size_t next_node = 0;  ///< Which one to ask next.
  std::uint32_t failed_asks = 0;
  std::vector<std::uint64_t> waiting;  ///< Calls that wait for `/where`.
};

/// One call in progress.
struct LoadCall {
  PlannedCall plan;
  std::uint64_t number = 0;
  std::size_t client = 0;
  bool repeatable = true;
  std::uint32_t attempts = 0;
  std::string lane;
  std::string key;
  std::string mark;
  Time planned{};
  std::optional<Time> last_token;
  StreamScan scan;
  CallSeen seen;
};

struct LoadRun {
  kernel::Loop& loop;
  const LoadOptions& options;
  HttpClient http;
  std::vector<PlannedCall> plan;
  std::size_t next_call = 0;
  Time started{};
  std::string run_id;  ///< Keeps the keys of two runs apart.
  std::vector<LoadClient> clients;
  std::map<std::string, std::vector<std::size_t>> clients_of;
  std::map<std::uint64_t, LoadCall> calls;
  std::map<std::uint64_t, kernel::EventWatcher> delays;
  std::uint64_t next_delay = 1;
  std::uint64_t next_client = 0;
  LoadResult result;
};

/// Asks `/where` anew when the client's answer is no longer good, then sends.
void PlaceCall(LoadRun& run, std::uint64_t number);
/// Makes the client ask `/where` before its next call.
void ForgetWhere(LoadRun& run, std::size_t client);
/// Sends one attempt to where the client was told to go.
void SendAttempt(LoadRun& run, std::uint64_t number);
void EndCall(LoadRun& run, std::uint64_t number, CallEnd end);
/// Runs `action` once after `delay`.
void Delay(LoadRun& run, std::chrono::milliseconds delay,
           std::function<void()> action);

}  // namespace egretladder::lab
