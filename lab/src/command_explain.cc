// `egretladder explain`: which rules decide a request, and who asked for them.
#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <ostream>
#include <string>

#include "egretladder/kernel/ini.h"
#include "egretladder/lab/command.h"
#include "egretladder/rules/rules.h"

namespace egretladder::lab {
namespace {

int Explain(const std::string& file, const std::string& account,
            const std::string& cls, const std::string& target,
            const CommandStreams& streams) {
  const auto text = kernel::ReadFile(file);
  if (!text) {
    streams.err << kernel::Describe(text.error()) << "\n";
    return kExitFailed;
  }
  const auto rules = rules::ReadRules(text.value(), file, nullptr);
  if (!rules) {
    streams.err << kernel::Describe(rules.error()) << "\n";
    return kExitFailed;
  }
  const auto words =
      rules::ExplainRequest(*rules.value(), account, cls, target);
  if (!words) {
    streams.err << kernel::Describe(words.error()) << "\n";
    return kExitFailed;
  }
  streams.out << words.value();
  return kExitDone;
}

int RunExplain(const CommandArgs& args, const CommandStreams& streams) {
  std::string file;
  std::string account;
  std::string cls;
  std::string target;
  CLI::App app("Says which rules decide a request, and who asked for each.",
               "egretladder explain");
  app.add_option("FILE", file, "the rules")->required();
  app.add_option("--account", account, "client account")->required();
  app.add_option("--class", cls, "class of request")->required();
  app.add_option("--model,--service", target, "model or service")->required();
  app.footer(
      "Example:\n  egretladder explain examples/01-abay/rules.ini --account "
      "bole-line-maintenance --class buyer-question --model parts-chat");
  if (const auto code = ParseCommand(app, args, streams)) return *code;
  return Explain(file, account, cls, target, streams);
}

constexpr CommandPlugin kTable{"explain", "says which rules decide a request",
                               RunExplain};
const kernel::PluginRegistrar<CommandPlugin> kRegistrar(kTable.name, kTable);

}  // namespace
}  // namespace egretladder::lab
