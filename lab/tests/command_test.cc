#include "egretladder/lab/command.h"

#include <CppUTest/TestHarness.h>

#include <sstream>
#include <string>

namespace el = egretladder::lab;

TEST_GROUP(CommandLine) {
  std::ostringstream out_;
  std::ostringstream err_;

  int Run(const el::CommandArgs& args) {
    return el::RunCommandLine(args, {out_, err_});
  }
};

// An operator mistypes a command. Without a usage error a script would go on as
// if the check had passed.
TEST(CommandLine, AnUnknownCommandIsAUsageErrorThatListsTheCommands) {
  CHECK_EQUAL(el::kExitUsage, Run({"chek"}));
  STRCMP_CONTAINS("Unknown command 'chek'", err_.str().c_str());
  STRCMP_CONTAINS("stand-in", err_.str().c_str());
  STRCMP_EQUAL("", out_.str().c_str());
}

TEST(CommandLine, HelpGoesToTheOutputAndEveryCommandShowsAnExample) {
  CHECK_EQUAL(el::kExitDone, Run({"--help"}));
  STRCMP_CONTAINS("stand-in", out_.str().c_str());
  for (const auto name : egretladder::kernel::PluginNames("command")) {
    out_.str("");
    CHECK_EQUAL(el::kExitDone, Run({std::string(name), "--help"}));
    STRCMP_CONTAINS("egretladder ", out_.str().c_str());
    STRCMP_CONTAINS("Example", out_.str().c_str());
  }
}

TEST(CommandLine, AnUnknownOptionOfACommandIsAUsageError) {
  CHECK_EQUAL(el::kExitUsage, Run({"stand-in", "service", "--lisen", "x"}));
  STRCMP_CONTAINS("--help", err_.str().c_str());
}
