// The rules document of a scenario, and what its events change in it.
#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <functional>
#include <sstream>

#include "egretladder/kernel/ini.h"
#include "egretladder/rules/rules.h"
#include "scenario_build_p.h"

namespace egretladder::lab {
namespace {

constexpr const char* kAskedBy = " ; the scenario\n";

void WriteZonesAndTargets(std::ostream& out, const ScenarioBuilder& builder) {
  out << "[zone]\n";
  for (const std::string& zone : builder.fleet.zones) {
    out << zone << " =" << kAskedBy;
  }
  std::map<std::string, bool> targets;
  for (const EndpointGroup& group : builder.endpoints) {
    for (const std::string& target : group.serves) {
      targets.emplace(target, group.service);
    }
  }
  for (const bool service : {false, true}) {
    out << (service ? "[service]\n" : "[model]\n");
    for (const auto& [target, is_service] : targets) {
      if (is_service == service) out << target << " =" << kAskedBy;
    }
  }
}

void WritePairs(std::ostream& out, const char* section,
                const std::vector<std::pair<std::string, std::string>>& rules) {
  out << '[' << section << "]\n";
  for (const auto& [name, words] : rules) {
    out << name << " = " << words << kAskedBy;
  }
}

void WriteEndpoints(std::ostream& out, const ScenarioBuilder& builder) {
  out << "[endpoint]\n";
  int group_number = 0;
  for (const EndpointGroup& group : builder.endpoints) {
    ++group_number;
    for (std::uint32_t i = 0; i < group.count; ++i) {
      const auto& zones = builder.fleet.zones;
      out << group.name << '-' << i + 1 << " = address=10." << group_number
          << '.' << i / 200 << '.' << i % 200 + 1
          << ":8000 zone=" << zones[i % zones.size()] << ' ' << group.words
          << kAskedBy;
    }
  }
}

void WriteNodes(std::ostream& out, const ScenarioBuilder& builder) {
  out << "[node]\n";
  for (std::uint32_t i = 0; i < builder.fleet.nodes; ++i) {
    const auto& zones = builder.fleet.zones;
    std::ostringstream ip;
    ip << "10.200." << i / 200 << '.' << i % 200 + 1;
    out << "node-" << i + 1 << " = callers=" << ip.str()
        << ":80 peers=" << ip.str() << ":81 zone=" << zones[i % zones.size()]
        << kAskedBy;
  }
}

/// Returns the line without its comment, and the comment with its ` ;`.
std::pair<std::string, std::string> SplitComment(const std::string& line) {
  const auto at = line.find(" ;");
  if (at == std::string::npos) return {line, ""};
  return {line.substr(0, at), line.substr(at)};
}

/// Puts `key=value` in place of the word that begins with `key=`, or at the
/// end.
std::string SetWord(const std::string& line, const std::string& key,
                    const std::string& value) {
  const auto [body, comment] = SplitComment(line);
  std::istringstream words(body);
  std::string changed;
  std::string word;
  while (words >> word) {
    if (boost::starts_with(word, key + "=")) continue;
    changed += (changed.empty() ? "" : " ") + word;
  }
  return changed + ' ' + key + '=' + value + comment;
}

using LineChange =
    std::function<std::string(const std::string& section,
                              const std::string& key, const std::string& line)>;

/// Passes each entry's line through `change`.
std::string ChangeLines(const std::string& rules, const LineChange& change) {
  std::istringstream in(rules);
  std::string out;
  std::string line;
  std::string section;
  while (std::getline(in, line)) {
    const std::string trimmed = boost::trim_copy(line);
    const bool entry = !trimmed.empty() && trimmed[0] != '[' &&
                       trimmed[0] != ';' && trimmed[0] != '#';
    if (!trimmed.empty() && trimmed[0] == '[') {
      section = trimmed.substr(1, trimmed.find(']') - 1);
    }
    const std::string key =
        boost::trim_copy(trimmed.substr(0, trimmed.find('=')));
    out += (entry ? change(section, key, line) : line) + '\n';
  }
  return out;
}

EngineOptions StandardFake(const rules::Rules& rules,
                           const rules::Endpoint& endpoint) {
  EngineOptions options;
  options.max_batch = endpoint.max_in_flight;
  options.max_waiting = endpoint.max_in_flight * 4;
  options.cold_max_in_flight = endpoint.cold_max_in_flight;
  options.warm_tokens = 2000;
  options.boot = milliseconds(3000);
  options.honours_fencing = endpoint.honours_fencing;
  const bool service = rules.targets[endpoint.serves.front().idx].kind ==
                       rules::TargetKind::kService;
  if (service) {
    options.step_base = std::chrono::milliseconds(30);
    options.warm_tokens = 200;
  }
  return options;
}

void ApplyGroup(EngineOptions& options, const EndpointGroup& group,
                std::string& error) {
  Fields fields{"endpoints", group.engine, ""};
  using std::chrono::duration_cast;
  using std::chrono::microseconds;
  const auto micros = [&fields](const char* name, microseconds standard) {
    return duration_cast<microseconds>(TakeSpan(fields, name, standard));
  };
  options.step_base = micros("step", options.step_base);
  options.step_per_call = micros("step_per_call", options.step_per_call);
  options.prefill_per_token = micros("prefill", options.prefill_per_token);
  options.cache_tokens =
      TakeCount(fields, "cache_tokens", options.cache_tokens);
  options.max_waiting = TakeCount(fields, "queue", options.max_waiting);
  options.warm_tokens = TakeCount(fields, "warm_tokens", options.warm_tokens);
  options.cold_factor = TakeNumber(fields, "cold_factor", options.cold_factor);
  options.boot = TakeMillis(fields, "boot", options.boot);
  options.report_lag = TakeMillis(fields, "report_lag", options.report_lag);
  EndFields(fields);
  error = fields.error;
}

}  // namespace

kernel::Result<std::string> MakeRules(const ScenarioBuilder& builder) {
  if (!builder.fleet.rules_file.empty()) {
    return kernel::ReadFile(builder.fleet.rules_file);
  }
  std::ostringstream out;
  out << "[document]\nversion = 1" << kAskedBy;
  WriteZonesAndTargets(out, builder);
  WritePairs(out, "class", builder.classes);
  WritePairs(out, "account", builder.accounts);
  WriteEndpoints(out, builder);
  WriteNodes(out, builder);
  return out.str();
}

kernel::Result<void> MakeEngines(ScenarioBuilder& builder) {
  BOOST_OUTCOME_TRY(read, rules::ReadRules(builder.scenario.rules,
                                           builder.scenario.file, nullptr));
  for (const rules::Endpoint& endpoint : read->endpoints) {
    EngineOptions options = StandardFake(*read, endpoint);
    for (const EndpointGroup& group : builder.endpoints) {
      if (!boost::starts_with(endpoint.source.name, group.name)) continue;
      std::string error;
      ApplyGroup(options, group, error);
      if (error.empty()) continue;
      return kernel::MakeError(
          kernel::ErrorCode::kInvalidInput, "read scenario",
          builder.scenario.file + ":" + std::to_string(group.line), error);
    }
    builder.scenario.engines[endpoint.source.name] = options;
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

std::string WithVersion(const std::string& rules, std::uint64_t version) {
  return ChangeLines(rules, [&](const std::string& section,
                                const std::string& key,
                                const std::string& line) {
    if (section != "document" || key != "version") return line;
    return "version = " + std::to_string(version) + SplitComment(line).second;
  });
}

kernel::Result<std::string> ChangeRule(const std::string& rules,
                                       const std::string& section,
                                       const std::string& name,
                                       const std::string& key,
                                       const std::string& value) {
  bool found = false;
  std::string changed =
      ChangeLines(rules, [&](const std::string& in, const std::string& rule,
                             const std::string& line) {
        if (in != section || rule != name) return line;
        found = true;
        return SetWord(line, key, value);
      });
  if (!found) {
    return kernel::MakeError(kernel::ErrorCode::kNotFound, "change rules",
                             section + " '" + name + "'", "no such rule");
  }
  return changed;
}

}  // namespace egretladder::lab
