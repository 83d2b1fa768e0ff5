// `egretladder check`: names every fault of a rules document, and what a
// successor would change.
#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <ostream>
#include <string>
#include <vector>

#include "egretladder/kernel/ini.h"
#include "egretladder/lab/command.h"
#include "egretladder/rules/rules.h"

namespace egretladder::lab {
namespace {

/// Reads one document and writes its faults. Null when it has any.
rules::RulesPtr ReadChecked(const std::string& file, const rules::Rules* before,
                            const CommandStreams& streams) {
  const auto text = kernel::ReadFile(file);
  if (!text) {
    streams.err << kernel::Describe(text.error()) << "\n";
    return nullptr;
  }
  std::vector<rules::ValidationError> faults;
  auto read = rules::ReadRules(text.value(), file, before, &faults);
  if (read) return std::move(read).value();
  for (const rules::ValidationError& fault : faults) {
    streams.err << fault.file << ":" << fault.line << ": " << fault.what
                << "\n  " << fault.hint << "\n";
  }
  if (faults.empty()) streams.err << kernel::Describe(read.error()) << "\n";
  return nullptr;
}

std::size_t Present(const auto& rows) {
  std::size_t count = 0;
  for (const auto& row : rows) {
    if (row.source.present) ++count;
  }
  return count;
}

void WriteSummary(const std::string& file, const rules::Rules& rules,
                  std::ostream& out) {
  out << file << ": version " << rules.version
      << " is sound: " << Present(rules.nodes) << " nodes, "
      << Present(rules.endpoints) << " endpoints, " << Present(rules.classes)
      << " classes, " << Present(rules.accounts) << " client accounts\n";
}

int WriteChanges(const std::string& file, const rules::Rules& current,
                 const rules::Rules& next, const CommandStreams& streams) {
  const auto changes = rules::CompareRules(current, next);
  if (!changes) {
    streams.err << kernel::Describe(changes.error()) << "\n";
    return kExitFailed;
  }
  for (const rules::Change& change : changes.value()) {
    streams.out << file << ":" << change.line << ": " << change.what << "\n  "
                << change.effect << "\n";
  }
  if (changes.value().empty()) streams.out << file << ": nothing changes\n";
  return kExitDone;
}

int RunCheck(const CommandArgs& args, const CommandStreams& streams) {
  std::string file;
  std::string successor;
  CLI::App app(
      "Names every fault of a rules document. With a second document, says "
      "what it would change as the successor of the first.",
      "egretladder check");
  app.add_option("FILE", file, "the rules")->required();
  app.add_option("SUCCESSOR", successor, "the next version");
  app.footer(
      "Exit code: 0 sound, 1 faults, 2 usage.\n"
      "Example:\n  egretladder check examples/01-abay/rules.ini\n"
      "  egretladder check rules.ini next.ini");
  if (const auto code = ParseCommand(app, args, streams)) return *code;
  const rules::RulesPtr current = ReadChecked(file, nullptr, streams);
  if (current == nullptr) return kExitFailed;
  WriteSummary(file, *current, streams.out);
  if (successor.empty()) return kExitDone;
  const rules::RulesPtr next = ReadChecked(successor, current.get(), streams);
  if (next == nullptr) return kExitFailed;
  WriteSummary(successor, *next, streams.out);
  return WriteChanges(successor, *current, *next, streams);
}

constexpr CommandPlugin kTable{"check", "names every fault of a rules document",
                               RunCheck};
const kernel::PluginRegistrar<CommandPlugin> kRegistrar(kTable.name, kTable);

}  // namespace
}  // namespace egretladder::lab
