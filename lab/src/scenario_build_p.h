// What the Lua verbs collect before it becomes a `Scenario`.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "egretladder/lab/scenario.h"

namespace egretladder::lab {

/// One value of a Lua table.
using FieldValue =
    std::variant<bool, double, std::string, std::vector<std::string>>;

/// The argument table of a verb. Each `Take` removes its field; what is left in
/// the end is unknown. The first fault stays in `error`.
struct Fields {
  std::string verb;
  std::map<std::string, FieldValue> values;
  std::string error;
};

std::string TakeString(Fields& fields, const std::string& name,
                       const std::string& standard);
/// As `TakeString`, but missing is a fault.
std::string NeedString(Fields& fields, const std::string& name);
/// A list of names, or one name.
std::vector<std::string> TakeList(Fields& fields, const std::string& name);
double TakeNumber(Fields& fields, const std::string& name, double standard);
std::uint32_t TakeCount(Fields& fields, const std::string& name,
                        std::uint32_t standard);
bool TakeBool(Fields& fields, const std::string& name, bool standard);
/// A text such as `250ms`.
std::chrono::nanoseconds TakeSpan(Fields& fields, const std::string& name,
                                  std::chrono::nanoseconds standard);
milliseconds TakeMillis(Fields& fields, const std::string& name,
                        milliseconds standard);
/// Makes a fault of each field left.
void EndFields(Fields& fields);

/// The fleet, its endpoints and who may call, before they become a document.
struct FleetSpec {
  int line = 0;
  std::uint32_t nodes = 0;
  std::vector<std::string> zones;
  std::string rules_file;
};

/// Endpoints of one kind, and how the fakes of them behave.
struct EndpointGroup {
  int line = 0;
  std::string name;  ///< With a rules file: the beginning of their names.
  std::uint32_t count = 0;
  bool service = false;
  std::string words;  ///< Of their rules, but for address and zone.
  std::vector<std::string> serves;
  std::map<std::string, FieldValue> engine;  ///< Differs from the standard.
};

struct ScenarioBuilder {
  Scenario scenario;
  FleetSpec fleet;
  std::vector<EndpointGroup> endpoints;
  std::vector<std::pair<std::string, std::string>> classes;   ///< Name, words.
  std::vector<std::pair<std::string, std::string>> accounts;  ///< Name, words.
  /// Events that are made but not yet placed by `at`.
  struct Draft {
    EventSpec event;
    std::optional<LoadSpec> burst;
    bool placed = false;
  };
  std::vector<Draft> drafts;
  std::string error;  ///< Of the verb that runs.
};

/// Writes the document that the verbs describe, or reads the file they name.
kernel::Result<std::string> MakeRules(const ScenarioBuilder& builder);

/// Gives each endpoint of the rules the fake that its group describes.
kernel::Result<void> MakeEngines(ScenarioBuilder& builder);

/// Returns `rules` with `key=value` put into the line of one rule, under a
/// version one higher. Fails with `kNotFound` when there is no such rule.
kernel::Result<std::string> ChangeRule(const std::string& rules,
                                       const std::string& section,
                                       const std::string& name,
                                       const std::string& key,
                                       const std::string& value);
/// Returns `rules` under `version`.
std::string WithVersion(const std::string& rules, std::uint64_t version);

}  // namespace egretladder::lab
