// Subcommands of `egretladder`. Each is registered as a plug-in of kind
// `command` under its name.
#pragma once

#include <CLI/App.hpp>
#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "egretladder/kernel/registry.h"

namespace egretladder::lab {

/// Exit codes of every subcommand.
inline constexpr int kExitDone = 0;
inline constexpr int kExitFailed = 1;  ///< The check or the run failed.
inline constexpr int kExitUsage = 2;   ///< Invalid arguments.

/// The output streams of a subcommand: results to `out`, errors to `err`.
struct CommandStreams {
  std::ostream& out;
  std::ostream& err;
};

/// The arguments after the name of the subcommand.
using CommandArgs = std::vector<std::string>;

/// One subcommand. Its source file registers it:
/// `const kernel::PluginRegistrar<CommandPlugin> kRegistrar("check", kTable);`
struct CommandPlugin {
  static constexpr std::string_view kKind = "command";

  std::string_view name;
  std::string_view help;  ///< One line for `egretladder --help`.
  /// Runs it and returns the exit code. Handles `--help` (see `ParseCommand`).
  int (*run)(const CommandArgs& args, const CommandStreams& streams);
};

/// Parses `args` into the options declared on `app`. Returns an exit code if
/// the subcommand ends here (0 after its help, 2 for invalid arguments).
std::optional<int> ParseCommand(CLI::App& app, const CommandArgs& args,
                                const CommandStreams& streams);

/// Runs the subcommand that the first of `args` names. Lists all subcommands if
/// there is none or it is unknown.
int RunCommandLine(const CommandArgs& args, const CommandStreams& streams);

}  // namespace egretladder::lab
