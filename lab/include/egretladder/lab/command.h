// Subcommands of `egretladder`. Each registers itself as a plug-in of kind
// `command`; the program finds them by name.
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
inline constexpr int kExitFailed = 1;  ///< It ran, and the answer is bad news.
inline constexpr int kExitUsage = 2;   ///< Arguments that can't be understood.

/// Where a subcommand writes: answers to `out`, complaints to `err`.
struct CommandStreams {
  std::ostream& out;
  std::ostream& err;
};

/// The arguments after the subcommand's name.
using CommandArgs = std::vector<std::string>;

/// One subcommand. A file registers its own:
/// `const kernel::PluginRegistrar<CommandPlugin> kRegistrar("check", kTable);`
struct CommandPlugin {
  static constexpr std::string_view kKind = "command";

  std::string_view name;
  std::string_view help;  ///< One line for `egretladder --help`.
  /// Returns the exit code. Answers `--help` itself (see `ParseCommand`).
  int (*run)(const CommandArgs& args, const CommandStreams& streams);
};

/// Parses `args` into the options declared on `app`. Returns the exit code with
/// which the subcommand ends at once (help shown: 0, bad arguments: 2), or
/// nothing when it goes on.
std::optional<int> ParseCommand(CLI::App& app, const CommandArgs& args,
                                const CommandStreams& streams);

/// Runs the subcommand that `args` names first. Without one, or with an unknown
/// one, lists them all.
int RunCommandLine(const CommandArgs& args, const CommandStreams& streams);

}  // namespace egretladder::lab
