// `egretladder status`: asks every node and prints the fleet in one table.
#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include "egretladder/lab/command.h"
#include "egretladder/lab/status_table.h"
#include "http_client_p.h"

namespace egretladder::lab {
namespace {

constexpr std::chrono::seconds kAnswerTime{5};

/// Asks all nodes at once. One that does not answer keeps empty JSON.
std::vector<NodeStatus> AskAll(const std::vector<Address>& addresses,
                               const std::vector<std::string>& names) {
  kernel::Loop loop = kernel::CreateLoop();
  HttpClient http(loop, addresses.size(), kAnswerTime);
  std::vector<NodeStatus> nodes(addresses.size());
  std::size_t left = addresses.size();
  for (std::size_t i = 0; i < addresses.size(); ++i) {
    nodes[i].address = names[i];
    HttpCall call;
    call.path = "/status";
    call.on_done = [&, i](const HttpAnswer& answer) {
      if (answer.status == HTTP_OK) nodes[i].json = answer.body;
      if (--left == 0) kernel::StopLoop(loop);
    };
    http.Send(addresses[i], std::move(call));
  }
  const kernel::EventWatcher end =
      kernel::RunAfter(loop, kAnswerTime, [&loop] { kernel::StopLoop(loop); });
  kernel::RunLoop(loop);
  return nodes;
}

int RunStatus(const CommandArgs& args, const CommandStreams& streams) {
  std::vector<std::string> names;
  CLI::App app("Asks every node for its status and prints the fleet.",
               "egretladder status");
  app.add_option("--node", names, "nodes' IP:port, separated by commas")
      ->required()
      ->delimiter(',');
  app.footer(
      "Exit code: 1 when a node does not answer, is not ready, or has another "
      "version in force.\n"
      "Example:\n  egretladder status --node 127.0.0.1:8601,127.0.0.1:8602");
  if (const auto code = ParseCommand(app, args, streams)) return *code;
  std::vector<Address> addresses;
  for (const std::string& name : names) {
    const auto address = ParseAddress(name);
    if (!address) {
      streams.err << kernel::Describe(address.error()) << "\n";
      return kExitUsage;
    }
    addresses.push_back(address.value());
  }
  const std::vector<NodeStatus> nodes = AskAll(addresses, names);
  streams.out << StatusTable(nodes);
  return IsSound(nodes) ? kExitDone : kExitFailed;
}

constexpr CommandPlugin kTable{"status", "prints the state of a fleet",
                               RunStatus};
const kernel::PluginRegistrar<CommandPlugin> kRegistrar(kTable.name, kTable);

}  // namespace
}  // namespace egretladder::lab
