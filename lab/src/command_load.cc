// `egretladder load`: plays a profile against nodes, or against the endpoints
// directly, and prints what callers got.
#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include "egretladder/kernel/ini.h"
#include "egretladder/lab/command.h"
#include "load_keys_p.h"
#include "load_run_p.h"

namespace egretladder::lab {
namespace {

struct LoadArgs {
  std::string profile;
  std::string rules;
  std::vector<std::string> to;
  std::vector<std::string> services;
  std::string title = "load";
  std::string compare;
  bool direct = false;
  bool json = false;
  bool plan = false;
  double duration_seconds = 0;  ///< 0: the profile's.
  std::uint32_t drain_seconds = 20;
};

kernel::Error UnknownName(const Flow& flow, const std::string& what) {
  return kernel::MakeError(kernel::ErrorCode::kInvalidInput,
                           "read load profile", "flow '" + flow.name + "'",
                           what + " is not in the rules");
}

/// Names in the profile have to be in the rules, or every call of the flow
/// would be refused.
kernel::Result<void> CheckFlows(const LoadProfile& profile,
                                const rules::Rules& rules) {
  for (const Flow& flow : profile.flows) {
    if (!rules::IsValid(rules::FindClass(rules, flow.cls))) {
      return UnknownName(flow, "class '" + flow.cls + "'");
    }
    const std::string& target = flow.model.empty() ? flow.service : flow.model;
    if (!rules::IsValid(rules::FindTarget(rules, target))) {
      return UnknownName(flow, "'" + target + "'");
    }
    for (const AccountWeight& account : flow.accounts) {
      if (!rules::IsValid(rules::FindAccount(rules, account.account))) {
        return UnknownName(flow, "account '" + account.account + "'");
      }
    }
  }
  return boost::outcome_v2::success();
}

kernel::Result<std::vector<Address>> ReadAddresses(
    const std::vector<std::string>& texts) {
  std::vector<Address> addresses;
  for (const std::string& text : texts) {
    BOOST_OUTCOME_TRY(address, ParseLoopback(text));
    addresses.push_back(std::move(address));
  }
  return addresses;
}

kernel::Result<LoadOptions> ReadOptions(const LoadArgs& args) {
  LoadOptions options;
  BOOST_OUTCOME_TRY(profile, kernel::ReadFile(args.profile));
  BOOST_OUTCOME_TRY(read, ReadLoadProfile(profile, args.profile));
  options.profile = std::move(read);
  BOOST_OUTCOME_TRY(rules, kernel::ReadFile(args.rules));
  BOOST_OUTCOME_TRY(document, rules::ReadRules(rules, args.rules, nullptr));
  options.rules = std::move(document);
  BOOST_OUTCOME_TRYV(CheckFlows(options.profile, *options.rules));
  BOOST_OUTCOME_TRY(nodes, ReadAddresses(args.to));
  options.nodes = std::move(nodes);
  options.direct = args.direct;
  if (args.duration_seconds > 0) {
    options.profile.duration =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::duration<double>(args.duration_seconds));
  }
  options.drain = std::chrono::seconds(args.drain_seconds);
  if (options.nodes.empty() && !options.direct && !args.plan) {
    return kernel::MakeError(kernel::ErrorCode::kInvalidInput, "read options",
                             "command line", "give --to or --direct");
  }
  return options;
}

void WriteResult(LoadResult& result, const std::string& title,
                 const LoadArgs& args, std::ostream& out) {
  if (args.json) {
    out << JsonOf(result.account, title, result.took) << "\n";
    return;
  }
  out << TableOf(result.account, title, result.took);
}

/// Returns false when a key ran twice, or ran though its caller was told that
/// it had not.
kernel::Result<bool> WriteKeys(kernel::Loop& loop, const LoadResult& result,
                               const LoadArgs& args, std::ostream& out) {
  if (args.services.empty()) return true;
  BOOST_OUTCOME_TRY(services, ReadAddresses(args.services));
  BOOST_OUTCOME_TRY(runs, ReadRuns(loop, services));
  const KeyReport report = CompareKeys(result.keys, runs);
  out << (args.json ? JsonOf(report) : TextOf(report)) << "\n";
  return report.doubles == 0 && report.false_not_run == 0 &&
         report.false_served == 0;
}

/// What each flow sends, without sending it.
int WritePlan(const LoadProfile& profile, std::ostream& out) {
  std::vector<std::uint64_t> calls(profile.flows.size());
  std::vector<std::uint64_t> tokens(profile.flows.size());
  for (const PlannedCall& call : PlanCalls(profile)) {
    ++calls[call.flow];
    tokens[call.flow] += call.output_tokens;
  }
  for (std::size_t i = 0; i < profile.flows.size(); ++i) {
    out << profile.flows[i].name << ": " << calls[i] << " calls";
    if (!profile.flows[i].model.empty()) out << ", " << tokens[i] << " tokens";
    out << "\n";
  }
  return kExitDone;
}

int Play(const LoadArgs& args, const LoadOptions& options,
         const CommandStreams& streams) {
  kernel::Loop loop = kernel::CreateLoop();
  LoadResult result = RunLoad(loop, options);
  WriteResult(result, args.title, args, streams.out);
  const auto sound = WriteKeys(loop, result, args, streams.out);
  if (!sound) {
    streams.err << kernel::Describe(sound.error()) << "\n";
    return kExitFailed;
  }
  if (args.compare == "direct") {
    LoadOptions direct = options;
    direct.direct = true;
    LoadResult without = RunLoad(loop, direct);
    WriteResult(without, args.title + ", directly to the endpoints", args,
                streams.out);
  }
  return sound.value() ? kExitDone : kExitFailed;
}

int RunLoadCommand(const CommandArgs& args, const CommandStreams& streams) {
  LoadArgs given;
  CLI::App app(
      "Plays a load profile open loop and prints what callers got. Targets "
      "are loopback addresses only.",
      "egretladder load");
  app.add_option("PROFILE", given.profile, "flows of calls")->required();
  app.add_option("--rules", given.rules, "the rules in force")->required();
  app.add_option("--to", given.to, "nodes' IP:port, asked for /where")
      ->delimiter(',');
  app.add_flag("--direct", given.direct, "to the endpoints, without a node");
  app.add_option("--compare", given.compare, "`direct`: once more, directly")
      ->check(CLI::IsMember({"direct"}));
  app.add_option("--check-services", given.services,
                 "service stand-ins whose runs are compared with what callers "
                 "were told")
      ->delimiter(',');
  app.add_option("--title", given.title, "heads the table");
  app.add_flag("--json", given.json, "one JSON object instead of a table");
  app.add_flag("--plan", given.plan, "only prints what it would send");
  app.add_option("--duration-seconds", given.duration_seconds,
                 "in place of the profile's");
  app.add_option("--drain-seconds", given.drain_seconds,
                 "wait for answers after the last call");
  app.footer(
      "Exit code: 1 when a call that may not be repeated ran twice, or ran "
      "though its caller was told it had not.\n"
      "Example:\n  egretladder load examples/03-demo/load.ini --rules "
      "examples/03-demo/rules.ini --to 127.0.0.1:8601,127.0.0.1:8602");
  if (const auto code = ParseCommand(app, args, streams)) return *code;
  const auto options = ReadOptions(given);
  if (!options) {
    streams.err << kernel::Describe(options.error()) << "\n";
    return kExitUsage;
  }
  if (given.plan) return WritePlan(options.value().profile, streams.out);
  return Play(given, options.value(), streams);
}

constexpr CommandPlugin kTable{"load", "plays a load and measures the answers",
                               RunLoadCommand};
const kernel::PluginRegistrar<CommandPlugin> kRegistrar(kTable.name, kTable);

}  // namespace
}  // namespace egretladder::lab
