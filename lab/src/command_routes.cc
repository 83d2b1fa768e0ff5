// `egretladder routes`: checks a configuration of routes as nodes would, and
// says which of its rows decide a request.
#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <ostream>
#include <string>

#include "egretladder/kernel/ini.h"
#include "egretladder/kernel/registry.h"
#include "egretladder/lab/command.h"
#include "egretladder/proxy/dialect.h"
#include "egretladder/routing/route_table.h"

namespace egretladder::lab {
namespace {

struct Question {
  std::string host;
  std::string path;
  std::string key;
};

const char* NameOf(routing::RouteKind kind) {
  switch (kind) {
    case routing::RouteKind::kIdempotent:
      return "idempotent";
    case routing::RouteKind::kOnce:
      return "runs at most once";
    case routing::RouteKind::kStream:
      break;
  }
  return "stream of events";
}

void WriteTargets(const routing::RouteTable& table, const routing::Route& route,
                  std::ostream& out) {
  for (const routing::WeightedTarget& target : route.targets) {
    out << "  service " << table.services[target.service.idx].name
        << ", weight " << target.weight << "\n";
  }
}

int Explain(const routing::RouteTable& table, const Question& question,
            std::ostream& out) {
  const routing::Route* route =
      routing::FindRoute(table, question.host, question.path);
  if (route == nullptr) {
    out << "no route: answered with 404\n";
    return kExitFailed;
  }
  const routing::ClientAccount* account =
      routing::FindAccount(table, question.key);
  if (table.has_accounts && account == nullptr && !route->is_public) {
    out << "route " << route->name
        << ": no account has the key: answered with 401\n";
    return kExitFailed;
  }
  out << "route " << route->name << " (" << NameOf(route->kind)
      << (route->resumable ? ", may go on elsewhere" : "") << "), at most "
      << route->attempts << " endpoints\n"
      << "  first event within " << route->target.count()
      << " ms, given up after " << route->timeout.count() << " ms\n"
      << "  account " << (account == nullptr ? "none" : account->name)
      << ", rank " << int{routing::FindRank(table, *route, account)}
      << " (0 goes first)\n";
  WriteTargets(table, *route, out);
  out << "  no endpoint that has answered this node that it leaves, or that it "
         "wants no requests for some time\n"
         "  while the service is brittle, no more at an endpoint than this "
         "node's part of its slots\n"
         "  handed over to another node while this one reaches no endpoint of "
         "the service\n";
  return kExitDone;
}

int RunRoutes(const CommandArgs& args, const CommandStreams& streams) {
  std::string file;
  std::string dialect_name = "platform";
  Question question;
  CLI::App app(
      "Checks a configuration of routes as nodes would take it. With --path, "
      "says which route, account and service decide a request.",
      "egretladder routes");
  app.add_option("FILE", file, "the configuration")->required();
  app.add_option("--dialect", dialect_name, "how it is spelled")
      ->capture_default_str();
  app.add_option("--host", question.host, "of the request");
  app.add_option("--path", question.path, "of the request");
  app.add_option("--key", question.key, "of the client account");
  app.footer(
      "Exit code: 0 sound or routed, 1 refused, 2 usage.\n"
      "Example:\n  egretladder routes config.json --host shop.example --path "
      "/orders/7 --key k1");
  if (const auto code = ParseCommand(app, args, streams)) return *code;
  const auto* dialect = kernel::FindPlugin<proxy::Dialect>(dialect_name);
  if (dialect == nullptr) {
    streams.err << "No dialect is named '" << dialect_name << "'.\n";
    return kExitUsage;
  }
  const auto text = kernel::ReadFile(file);
  if (!text) {
    streams.err << kernel::Describe(text.error()) << "\n";
    return kExitFailed;
  }
  const auto table = dialect->read_rules(text.value());
  if (!table) {
    streams.err << file << ": " << kernel::Describe(table.error()) << "\n";
    return kExitFailed;
  }
  streams.out << file << ": version " << table.value()->version
              << " is sound: " << table.value()->routes.size() << " routes, "
              << table.value()->services.size() << " services, "
              << table.value()->accounts.size() << " client accounts\n";
  if (question.path.empty()) return kExitDone;
  return Explain(*table.value(), question, streams.out);
}

constexpr CommandPlugin kTable{
    "routes", "checks routes and says which decide a request", RunRoutes};
const kernel::PluginRegistrar<CommandPlugin> kRegistrar(kTable.name, kTable);

}  // namespace
}  // namespace egretladder::lab
