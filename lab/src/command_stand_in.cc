// `egretladder stand-in KIND`: finds the stand-in and hands it the rest.
#include <ostream>

#include "egretladder/lab/stand_in.h"

namespace egretladder::lab {
namespace {

void ListKinds(std::ostream& out) {
  out << "Usage: egretladder stand-in KIND [OPTIONS]\n\nKinds:\n";
  for (const std::string_view name :
       kernel::PluginNames(StandInPlugin::kKind)) {
    out << "  " << name << ": " << kernel::FindPlugin<StandInPlugin>(name)->help
        << "\n";
  }
  out << "\nExample:\n  egretladder stand-in engine --listen 127.0.0.1:9101\n";
}

int RunStandIn(const CommandArgs& args, const CommandStreams& streams) {
  const std::string kind = args.empty() ? "" : args.front();
  if (kind == "--help" || kind == "-h") {
    ListKinds(streams.out);
    return kExitDone;
  }
  const auto* stand_in = kernel::FindPlugin<StandInPlugin>(kind);
  if (stand_in == nullptr) {
    ListKinds(streams.err);
    return kExitUsage;
  }
  return stand_in->run(CommandArgs(args.begin() + 1, args.end()), streams);
}

constexpr CommandPlugin kTable{
    "stand-in", "runs a stand-in for an engine, a service or the platform",
    RunStandIn};
const kernel::PluginRegistrar<CommandPlugin> kRegistrar(kTable.name, kTable);

}  // namespace
}  // namespace egretladder::lab
