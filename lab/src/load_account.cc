#include "egretladder/lab/load_account.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdarg>
#include <cstdio>
#include <utility>

namespace egretladder::lab {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr double kMillisecond = 1e3;  ///< In microseconds.
constexpr std::array<double, 3> kQuantiles = {0.5, 0.95, 0.99};

/// Gaps kept for each class; more change no quantile that a table shows.
constexpr std::size_t kMostGaps = 2'000'000;

std::uint64_t& CounterOf(ClassAccount& account, CallEnd end) {
  switch (end) {
    case CallEnd::kServed:
      return account.served;
    case CallEnd::kShed:
      return account.shed;
    case CallEnd::kUnknown:
      return account.unknown;
    case CallEnd::kCut:
      return account.cut;
    case CallEnd::kWrong:
      return account.wrong;
    case CallEnd::kRefused:
      return account.refused;
    case CallEnd::kUnfinished:
      return account.unfinished;
    case CallEnd::kNotSent:
      break;
  }
  return account.not_sent;
}

double MillisecondsOf(microseconds time) { return time.count() / kMillisecond; }

using NamedAccount = std::pair<const std::string, ClassAccount>;

std::vector<NamedAccount*> ByTier(LoadAccount& account) {
  std::vector<NamedAccount*> rows;
  for (NamedAccount& row : account.classes) rows.push_back(&row);
  std::stable_sort(rows.begin(), rows.end(),
                   [](const NamedAccount* a, const NamedAccount* b) {
                     return a->second.targets.tier < b->second.targets.tier;
                   });
  return rows;
}

double GoodputOf(const ClassAccount& account, milliseconds took) {
  const double seconds = std::chrono::duration<double>(took).count();
  return seconds > 0 ? account.tokens_in_time / seconds : 0;
}

std::uint64_t OthersOf(const ClassAccount& account) {
  return account.cut + account.wrong + account.refused + account.not_sent +
         account.unfinished;
}

std::string NoteOf(const std::string& name, const ClassAccount& account) {
  return "other of " + name + ": cut " + std::to_string(account.cut) +
         ", wrong " + std::to_string(account.wrong) + ", refused " +
         std::to_string(account.refused) + ", not sent " +
         std::to_string(account.not_sent) + ", unfinished " +
         std::to_string(account.unfinished) + "\n";
}

std::string RowOf(const std::string& name, ClassAccount& account,
                  milliseconds took) {
  std::array<char, 256> line{};
  const auto first = [&account](double q) {
    return MillisecondsOf(QuantileOf(account.first_tokens, q));
  };
  const auto gap = [&account](double q) {
    return MillisecondsOf(QuantileOf(account.gaps, q));
  };
  constexpr double kPercent = 100;
  std::snprintf(
      line.data(), line.size(),
      "%-21s %4u %6llu %6llu %7.1f%% %6llu %5llu %5llu %8.0f %8.0f %8.0f "
      "%6.0f %6.0f %6.0f %9.0f\n",
      name.c_str(), account.targets.tier,
      static_cast<unsigned long long>(account.sent),    // NOLINT
      static_cast<unsigned long long>(account.served),  // NOLINT
      AttainmentOf(account) * kPercent,
      static_cast<unsigned long long>(account.shed),       // NOLINT
      static_cast<unsigned long long>(account.unknown),    // NOLINT
      static_cast<unsigned long long>(OthersOf(account)),  // NOLINT
      first(kQuantiles[0]), first(kQuantiles[1]), first(kQuantiles[2]),
      gap(kQuantiles[0]), gap(kQuantiles[1]), gap(kQuantiles[2]),
      GoodputOf(account, took));
  return line.data();
}

using Json = rapidjson::Writer<rapidjson::StringBuffer>;

void WriteQuantiles(Json& json, const char* key,
                    std::vector<microseconds>& samples) {
  json.Key(key);
  json.StartArray();
  for (const double q : kQuantiles) {
    json.Double(MillisecondsOf(QuantileOf(samples, q)));
  }
  json.EndArray();
}

void WriteClass(Json& json, ClassAccount& account, milliseconds took) {
  const std::array<std::pair<const char*, std::uint64_t>, 13> counts{{
      {"tier", account.targets.tier},
      {"sent", account.sent},
      {"served", account.served},
      {"in_time", account.in_time},
      {"shed", account.shed},
      {"unknown", account.unknown},
      {"cut", account.cut},
      {"wrong", account.wrong},
      {"refused", account.refused},
      {"not_sent", account.not_sent},
      {"unfinished", account.unfinished},
      {"tokens", account.tokens},
      {"tokens_in_time", account.tokens_in_time},
  }};
  json.StartObject();
  for (const auto& [key, value] : counts) {
    json.Key(key);
    json.Uint64(value);
  }
  json.Key("attainment");
  json.Double(AttainmentOf(account));
  json.Key("goodput_tokens_per_second");
  json.Double(GoodputOf(account, took));
  WriteQuantiles(json, "first_token_ms", account.first_tokens);
  WriteQuantiles(json, "between_tokens_ms", account.gaps);
  json.EndObject();
}

}  // namespace

bool IsInTime(const ClassTargets& targets, const CallSeen& seen) {
  if (seen.end != CallEnd::kServed) return false;
  if (seen.first_token > targets.first_token) return false;
  if (targets.between_tokens.count() == 0 || seen.gaps.empty()) return true;
  microseconds sum{};
  for (const microseconds gap : seen.gaps) sum += gap;
  return sum / seen.gaps.size() <= targets.between_tokens;
}

void Record(ClassAccount& account, const CallSeen& seen) {
  ++account.sent;
  ++CounterOf(account, seen.end);
  if (seen.end != CallEnd::kServed) return;
  account.first_tokens.push_back(seen.first_token);
  account.tokens += seen.tokens;
  if (account.gaps.size() < kMostGaps) {
    account.gaps.insert(account.gaps.end(), seen.gaps.begin(), seen.gaps.end());
  }
  if (!IsInTime(account.targets, seen)) return;
  ++account.in_time;
  account.tokens_in_time += seen.tokens;
}

microseconds QuantileOf(std::vector<microseconds>& samples, double quantile) {
  if (samples.empty()) return microseconds{};
  std::sort(samples.begin(), samples.end());
  const auto rank =
      static_cast<std::size_t>(std::ceil(quantile * samples.size()));
  return samples[std::max<std::size_t>(1, rank) - 1];
}

double AttainmentOf(const ClassAccount& account) {
  if (account.sent == 0) return 1;
  return static_cast<double>(account.in_time) /
         static_cast<double>(account.sent);
}

std::string TableOf(LoadAccount& account, const std::string& title,
                    milliseconds took) {
  std::string table = title + "\n";
  table +=
      "class                 tier   sent served  in time   shed  unkn other "
      "  first token, ms p50/95/99   between, ms    tokens/s\n"
      "                                                                     "
      "                             p50/p95/p99     in time\n";
  for (NamedAccount* row : ByTier(account)) {
    table += RowOf(row->first, row->second, took);
  }
  for (const NamedAccount* row : ByTier(account)) {
    if (OthersOf(row->second) > 0) table += NoteOf(row->first, row->second);
  }
  return table;
}

std::string JsonOf(LoadAccount& account, const std::string& title,
                   milliseconds took) {
  rapidjson::StringBuffer buffer;
  Json json(buffer);
  json.StartObject();
  json.Key("title");
  json.String(title.c_str());
  json.Key("duration_ms");
  json.Int64(took.count());
  json.Key("classes");
  json.StartObject();
  for (NamedAccount* row : ByTier(account)) {
    json.Key(row->first.c_str());
    WriteClass(json, row->second, took);
  }
  json.EndObject();
  json.EndObject();
  return buffer.GetString();
}

}  // namespace egretladder::lab
