// Stand-ins: small programs that replace engines, plain services and the
// platform in tests. `egretladder stand-in KIND` runs one.
#pragma once

#include <string_view>

#include "egretladder/lab/command.h"

namespace egretladder::lab {

/// One kind of stand-in. Runs until SIGTERM or SIGINT.
struct StandInPlugin {
  static constexpr std::string_view kKind = "stand-in";

  std::string_view help;
  int (*run)(const CommandArgs& args, const CommandStreams& streams);
};

}  // namespace egretladder::lab
