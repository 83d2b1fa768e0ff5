// `egretladder trace`: one request's story out of the log lines of several
// nodes, with what those nodes believed of its endpoints and rules.
#include <rapidjson/document.h>

#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <algorithm>
#include <iomanip>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include "egretladder/kernel/ini.h"
#include "egretladder/lab/command.h"

namespace egretladder::lab {
namespace {

/// One line of a node's log.
struct Line {
  std::int64_t time_ms = 0;
  std::string node;
  std::string event;
  std::string req;
  std::string endpoint;
  std::string fields;  ///< The rest, as `name=value`.
};

std::string ValueText(const rapidjson::Value& value) {
  if (value.IsString()) return value.GetString();
  if (value.IsInt64()) return std::to_string(value.GetInt64());
  if (value.IsNumber()) return std::to_string(value.GetDouble());
  return value.IsNull() ? "null" : "?";
}

bool ReadLine(const std::string& text, Line& line) {
  // Collectors put their own words before the object.
  const std::size_t begin = text.find('{');
  if (begin == std::string::npos) return false;
  rapidjson::Document json;
  json.Parse(text.data() + begin, text.size() - begin);
  if (json.HasParseError() || !json.IsObject()) return false;
  for (const auto& member : json.GetObject()) {
    const std::string name = member.name.GetString();
    const std::string value = ValueText(member.value);
    if (name == "time_ms" && member.value.IsInt64()) {
      line.time_ms = member.value.GetInt64();
    } else if (name == "event") {
      line.event = value;
    } else if (name == "req") {
      line.req = value;
    } else {
      if (name == "endpoint") line.endpoint = value;
      if (name == "level" || name == "part") continue;
      line.fields += " " + name + "=" + (value.empty() ? "-" : value);
    }
  }
  return !line.event.empty();
}

/// Reads a node's file, whose name stands for the node.
bool ReadFile(const std::string& file, std::vector<Line>& lines,
              const CommandStreams& streams) {
  const auto text = kernel::ReadFile(file);
  if (!text) {
    streams.err << kernel::Describe(text.error()) << "\n";
    return false;
  }
  const std::string node = file.substr(file.rfind('/') + 1);
  std::size_t from = 0;
  std::size_t unreadable = 0;
  const std::size_t first = lines.size();
  while (from < text.value().size()) {
    const std::size_t end =
        std::min(text.value().find('\n', from), text.value().size());
    Line line;
    if (ReadLine(text.value().substr(from, end - from), line)) {
      lines.push_back(std::move(line));
    } else if (end > from) {
      ++unreadable;
    }
    from = end + 1;
  }
  for (std::size_t i = first; i < lines.size(); ++i) lines[i].node = node;
  if (unreadable > 0) {
    streams.err << file << ": " << unreadable << " lines are no log lines\n";
  }
  return true;
}

bool IsBelief(const Line& line) {
  static const std::set<std::string> kBeliefs = {
      "endpoint",       "endpoint-leaving", "endpoint-backoff",
      "endpoint-limit", "service-reach",    "service-brittle",
      "zone",           "rules-in-force",   "rules-refused",
      "store-not-read", "store-read-again", "history-gone",
      "stood-still",    "entry-ignored",    "leaving",
      "started",        "lines-dropped"};
  return kBeliefs.contains(line.event);
}

/// What the request's nodes believed when it came: the last line of each kind
/// about its endpoints, and the last rules, before its own last line.
std::vector<Line> BeliefsFor(const std::vector<Line>& lines,
                             const std::vector<Line>& own) {
  std::set<std::string> nodes;
  std::set<std::string> endpoints;
  for (const Line& line : own) {
    nodes.insert(line.node);
    if (!line.endpoint.empty()) endpoints.insert(line.endpoint);
  }
  std::vector<Line> beliefs;
  std::set<std::string> told;
  for (auto at = lines.rbegin(); at != lines.rend(); ++at) {
    if (!IsBelief(*at) || !nodes.contains(at->node)) continue;
    if (at->time_ms > own.back().time_ms) continue;
    const bool is_about_endpoint = at->event.starts_with("endpoint");
    if (is_about_endpoint && !endpoints.contains(at->endpoint)) continue;
    if (told.insert(at->node + at->event + at->endpoint).second) {
      beliefs.push_back(*at);
    }
  }
  std::reverse(beliefs.begin(), beliefs.end());
  return beliefs;
}

void Write(const std::vector<Line>& lines, std::int64_t origin,
           std::ostream& out) {
  for (const Line& line : lines) {
    out << std::setw(9) << line.time_ms - origin << " ms  " << line.node << "  "
        << line.event << line.fields << "\n";
  }
}

int RunTrace(const CommandArgs& args, const CommandStreams& streams) {
  std::string id;
  std::vector<std::string> files;
  CLI::App app(
      "Prints one request's story from the logs of several nodes, and what "
      "they believed when it came.",
      "egretladder trace");
  app.add_option("ID", id, "the request's id")->required();
  app.add_option("FILE", files, "logs, one file a node")->required();
  app.footer(
      "Times count from the request's first line; clocks of machines differ by "
      "some milliseconds.\nExit code: 0 found, 1 no line has the id, 2 usage.\n"
      "Example:\n  egretladder trace 6dd10b4daa71c761 node-1.log node-2.log");
  if (const auto code = ParseCommand(app, args, streams)) return *code;
  std::vector<Line> lines;
  for (const std::string& file : files) {
    if (!ReadFile(file, lines, streams)) return kExitFailed;
  }
  std::stable_sort(lines.begin(), lines.end(),
                   [](const Line& left, const Line& right) {
                     return left.time_ms < right.time_ms;
                   });
  std::vector<Line> own;
  std::copy_if(lines.begin(), lines.end(), std::back_inserter(own),
               [&id](const Line& line) { return line.req == id; });
  if (own.empty()) {
    streams.err << "No line has the id " << id << ".\n";
    return kExitFailed;
  }
  const std::int64_t origin = own.front().time_ms;
  streams.out << "Request " << id << "\n";
  Write(own, origin, streams.out);
  streams.out << "What its nodes believed\n";
  Write(BeliefsFor(lines, own), origin, streams.out);
  return kExitDone;
}

constexpr CommandPlugin kTable{"trace", "one request's story from nodes' logs",
                               RunTrace};
const kernel::PluginRegistrar<CommandPlugin> kRegistrar(kTable.name, kTable);

}  // namespace
}  // namespace egretladder::lab
