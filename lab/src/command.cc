#include "egretladder/lab/command.h"

#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <algorithm>
#include <ostream>

namespace egretladder::lab {
namespace {

void ListCommands(std::ostream& out) {
  out << "egretladder: operators' tools for the router\n\n"
         "Usage: egretladder COMMAND [OPTIONS]\n\nCommands:\n";
  for (const std::string_view name : kernel::PluginNames("command")) {
    const auto* command = kernel::FindPlugin<CommandPlugin>(name);
    constexpr std::size_t kNameWidth = 12;
    out << "  " << name
        << std::string(kNameWidth - std::min(kNameWidth - 1, name.size()), ' ')
        << command->help << "\n";
  }
  out << "\nEach command answers --help with an example, for instance\n"
         "  egretladder check --help\n";
}

}  // namespace

std::optional<int> ParseCommand(CLI::App& app, const CommandArgs& args,
                                const CommandStreams& streams) {
  // CLI11 takes the arguments from the last to the first.
  std::vector<std::string> reversed(args.rbegin(), args.rend());
  try {
    app.parse(reversed);
  } catch (const CLI::ParseError& error) {
    const int code = app.exit(error, streams.out, streams.err);
    return code == 0 ? kExitDone : kExitUsage;
  }
  return std::nullopt;
}

int RunCommandLine(const CommandArgs& args, const CommandStreams& streams) {
  const std::string first = args.empty() ? "" : args.front();
  if (first == "--help" || first == "-h" || first == "help") {
    ListCommands(streams.out);
    return kExitDone;
  }
  const auto* command = kernel::FindPlugin<CommandPlugin>(first);
  if (command == nullptr) {
    if (!first.empty()) streams.err << "Unknown command '" << first << "'.\n";
    ListCommands(streams.err);
    return kExitUsage;
  }
  return command->run(CommandArgs(args.begin() + 1, args.end()), streams);
}

}  // namespace egretladder::lab
