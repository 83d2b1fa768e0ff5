#include "egretladder/lab/status_table.h"

#include <rapidjson/document.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <set>
#include <string_view>

namespace egretladder::lab {
namespace {

struct EndpointSum {
  std::uint64_t slots = 0;
  std::uint64_t in_flight = 0;
  std::uint64_t slowest_ms = 0;  ///< First token, as the slowest node learned.
};

struct QueueSum {
  std::uint64_t waiting = 0;
  std::uint64_t running = 0;
  std::uint64_t oldest_ms = 0;
};

std::uint64_t CountIn(const rapidjson::Value& object, const char* key) {
  const auto member = object.FindMember(key);
  if (member == object.MemberEnd() || !member->value.IsNumber()) return 0;
  return static_cast<std::uint64_t>(std::max(0.0, member->value.GetDouble()));
}

std::string TextIn(const rapidjson::Value& object, const char* key) {
  const auto member = object.FindMember(key);
  if (member == object.MemberEnd() || !member->value.IsString()) return "";
  return member->value.GetString();
}

bool FlagIn(const rapidjson::Value& object, const char* key) {
  const auto member = object.FindMember(key);
  return member != object.MemberEnd() && member->value.IsTrue();
}

bool Parse(const NodeStatus& node, rapidjson::Document& document) {
  document.Parse(node.json.c_str());
  return !document.HasParseError() && document.IsObject() &&
         document.HasMember("node");
}

/// The objects of an array, none when there is no such array.
std::vector<const rapidjson::Value*> RowsIn(const rapidjson::Value& object,
                                            const char* key) {
  std::vector<const rapidjson::Value*> rows;
  const auto member = object.FindMember(key);
  if (member == object.MemberEnd() || !member->value.IsArray()) return rows;
  for (const auto& row : member->value.GetArray()) {
    if (row.IsObject()) rows.push_back(&row);
  }
  return rows;
}

std::string StateOf(const rapidjson::Value& status) {
  if (FlagIn(status, "leaving")) return "leaving";
  return FlagIn(status, "ready") ? "ready" : "not ready";
}

std::string SinceText(std::uint64_t milliseconds) {
  constexpr std::uint64_t kSecond = 1000;
  constexpr std::uint64_t kMinute = 60 * kSecond;
  if (milliseconds < kMinute)
    return std::to_string(milliseconds / kSecond) + "s";
  return std::to_string(milliseconds / kMinute) + "m";
}

std::string MembersText(const rapidjson::Value& status) {
  std::map<std::string, std::uint64_t> states;
  for (const auto* member : RowsIn(status, "members")) {
    ++states[TextIn(*member, "state")];
  }
  std::string text;
  for (const auto& [state, count] : states) {
    text += (text.empty() ? "" : ", ") + std::to_string(count) + " " + state;
  }
  return text;
}

template <typename... Cells>
std::string Line(const char* format, Cells... cells) {
  std::array<char, 256> line{};
  std::snprintf(line.data(), line.size(), format, cells...);
  return line.data();
}

std::string NodeLine(const NodeStatus& node) {
  rapidjson::Document status;
  if (node.json.empty()) {
    return Line("%-16s %s\n", node.address.c_str(), "no answer");
  }
  if (!Parse(node, status)) {
    return Line("%-16s %s\n", node.address.c_str(), "answers no status");
  }
  std::string line = Line(
      "%-16s %-12s %-10s %8llu %7s %6llu %6llu  %s\n",
      TextIn(status, "node").c_str(), TextIn(status, "zone").c_str(),
      StateOf(status).c_str(),
      static_cast<unsigned long long>(  // NOLINT
          CountIn(status, "rules_version")),
      SinceText(CountIn(status, "rules_in_force_for_ms")).c_str(),
      static_cast<unsigned long long>(CountIn(status, "calls")),      // NOLINT
      static_cast<unsigned long long>(CountIn(status, "keeper_of")),  // NOLINT
      MembersText(status).c_str());
  const std::string refused = TextIn(status, "refused_why");
  if (!refused.empty()) {
    line += "  refused version " +
            std::to_string(CountIn(status, "refused_version")) + ": " +
            refused + "\n";
  }
  return line;
}

void Add(const rapidjson::Value& status,
         std::map<std::string, EndpointSum>& endpoints,
         std::map<std::string, QueueSum>& queues) {
  for (const auto* row : RowsIn(status, "endpoints")) {
    EndpointSum& sum = endpoints[TextIn(*row, "endpoint")];
    sum.slots += CountIn(*row, "slots");
    sum.in_flight += CountIn(*row, "in_flight");
    sum.slowest_ms = std::max(sum.slowest_ms, CountIn(*row, "first_token_ms"));
  }
  for (const auto* row : RowsIn(status, "queues")) {
    QueueSum& sum = queues[TextIn(*row, "class")];
    sum.waiting += CountIn(*row, "waiting");
    sum.running += CountIn(*row, "running");
    sum.oldest_ms = std::max(sum.oldest_ms, CountIn(*row, "oldest_wait_ms"));
  }
}

std::string SumLine(const std::string& name, std::uint64_t one,
                    std::uint64_t two, std::uint64_t three) {
  return Line("%-24s %9llu %9llu %9llu\n", name.c_str(),
              static_cast<unsigned long long>(one),     // NOLINT
              static_cast<unsigned long long>(two),     // NOLINT
              static_cast<unsigned long long>(three));  // NOLINT
}

}  // namespace

std::string StatusTable(const std::vector<NodeStatus>& nodes) {
  std::map<std::string, EndpointSum> endpoints;
  std::map<std::string, QueueSum> queues;
  std::string table =
      "node             zone         state       version   since  calls  "
      "keeps  members\n";
  for (const NodeStatus& node : nodes) {
    table += NodeLine(node);
    rapidjson::Document status;
    if (Parse(node, status)) Add(status, endpoints, queues);
  }
  table += "\nendpoint                     slots in flight  first ms\n";
  for (const auto& [name, sum] : endpoints) {
    table += SumLine(name, sum.slots, sum.in_flight, sum.slowest_ms);
  }
  table += "\nclass                      waiting   running oldest ms\n";
  for (const auto& [name, sum] : queues) {
    table += SumLine(name, sum.waiting, sum.running, sum.oldest_ms);
  }
  return table;
}

bool IsSound(const std::vector<NodeStatus>& nodes) {
  std::set<std::uint64_t> versions;
  for (const NodeStatus& node : nodes) {
    rapidjson::Document status;
    if (!Parse(node, status) || !FlagIn(status, "ready")) return false;
    versions.insert(CountIn(status, "rules_version"));
  }
  return versions.size() == 1;
}

}  // namespace egretladder::lab
