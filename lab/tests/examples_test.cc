#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <filesystem>
#include <sstream>
#include <string>
#include <vector>

#include "egretladder/gateway/settings.h"
#include "egretladder/kernel/ini.h"
#include "egretladder/lab/command.h"
#include "egretladder/rules/rules.h"
#include "scratch_file.h"

namespace el = egretladder::lab;

TEST_GROUP(Examples) {
  std::ostringstream out_;
  std::ostringstream err_;

  int Run(const el::CommandArgs& args) {
    return el::RunCommandLine(args, {out_, err_});
  }

  static std::string Path(const std::string& name) {
    return std::string(EGRETLADDER_SOURCE_DIR) + "/examples/" + name;
  }

  /// Every rules document under examples/, in order.
  static std::vector<std::string> Documents() {
    std::vector<std::string> found;
    for (const auto& entry :
         std::filesystem::recursive_directory_iterator(Path(""))) {
      if (entry.path().filename().string().starts_with("rules")) {
        found.push_back(entry.path().string());
      }
    }
    std::sort(found.begin(), found.end());
    return found;
  }
};

TEST(Examples, EveryRulesDocumentPassesTheCheck) {
  const std::vector<std::string> documents = Documents();
  CHECK(documents.size() >= 3);
  for (const std::string& document : documents) {
    const int code = Run({"check", document});
    STRCMP_EQUAL("", err_.str().c_str());
    CHECK_EQUAL(el::kExitDone, code);
  }
}

TEST(Examples, ExplainNamesWhoAskedForEachRule) {
  CHECK_EQUAL(el::kExitDone,
              Run({"explain", Path("01-abay/rules.ini"), "--account",
                   "bole-line-maintenance", "--class", "buyer-question",
                   "--model", "parts-chat"}));
  STRCMP_CONTAINS("tier 1", out_.str().c_str());
  STRCMP_CONTAINS("asked by", out_.str().c_str());
}

// An operator publishes a document with a slip. A check that passes it lets the
// slip into the fleet.
TEST(Examples, CheckNamesFileAndLineOfAFault) {
  const el::testing::ScratchFile file("check.ini");
  file.Write("[document]\nversion = 1 ; me\n[zone]\na = ouch=1 ; me\n");
  CHECK_EQUAL(el::kExitFailed, Run({"check", file.path()}));
  STRCMP_CONTAINS((file.path() + ":4").c_str(), err_.str().c_str());
}

TEST(Examples, CheckRefusesASuccessorWhoseVersionDoesNotRise) {
  const std::string file = Path("00-minimal/rules.ini");
  CHECK_EQUAL(el::kExitFailed, Run({"check", file, file}));
  STRCMP_CONTAINS("version", err_.str().c_str());
}

TEST(Examples, CheckSaysWhatASuccessorChanges) {
  CHECK_EQUAL(el::kExitDone, Run({"check", Path("01-abay/rules.ini"),
                                  Path("01-abay/rules-2-bole-out.ini")}));
  STRCMP_CONTAINS("bole", out_.str().c_str());
}

// A node's settings are wrong and nobody notices before its VM is replaced at
// night: it ends with exit code 2 instead of starting.
TEST(Examples, EveryNodeFileIsSoundAndAgreesWithTheRules) {
  std::size_t checked = 0;
  for (const char* deployment :
       {"00-minimal", "01-abay", "02-quetzal", "03-demo"}) {
    const std::string dir = Path(deployment) + "/";
    const auto text = egretladder::kernel::ReadFile(dir + "rules.ini").value();
    const auto rules =
        egretladder::rules::ReadRules(text, "rules.ini", nullptr).value();
    for (const auto& node : rules->nodes) {
      const std::string file = dir + node.source.name + ".ini";
      const auto config = egretladder::gateway::ReadNodeConfig(
          egretladder::kernel::ReadFile(file).value(), file);
      CHECK_TRUE(config.has_value());
      const auto& fleet = config.value().gateway.node.fleet;
      STRCMP_EQUAL(node.source.name.c_str(), fleet.node.c_str());
      STRCMP_EQUAL(node.caller_address.c_str(), fleet.caller_address.c_str());
      STRCMP_EQUAL(node.peer_address.c_str(), fleet.peer_address.c_str());
      STRCMP_EQUAL(rules->zones[node.zone.idx].source.name.c_str(),
                   fleet.zone.c_str());
      ++checked;
    }
  }
  CHECK_EQUAL(18U, checked);
}

TEST(Examples, EveryLoadProfileNamesOnlyWhatTheRulesDeclare) {
  for (const char* deployment : {"01-abay", "02-quetzal", "03-demo"}) {
    const std::string dir = Path(deployment) + "/";
    CHECK_EQUAL(el::kExitDone, Run({"load", dir + "load.ini", "--rules",
                                    dir + "rules.ini", "--plan"}));
  }
  CHECK_EQUAL(el::kExitUsage, Run({"load", Path("01-abay/load.ini"), "--rules",
                                   Path("02-quetzal/rules.ini"), "--plan"}));
}

// An engineer has a caller's complaint, an id and the logs of two nodes of a
// day with faults. The three stories are the ones of docs/OPERATIONS.md.
TEST(Examples, KeptLogsTellTheStoriesOfThreeFailedRequests) {
  for (const char* id :
       {"6b97844739a46434", "2d97482b656be080", "205a5c6b8444c997"}) {
    out_.str("");
    CHECK_EQUAL(el::kExitDone,
                Run({"trace", id, Path("04-trace/front-bole-2.log"),
                     Path("04-trace/front-kality-2.log")}));
    const auto story = egretladder::kernel::ReadFile(
        Path("04-trace/" + std::string(id) + ".txt"));
    CHECK_TRUE(story.has_value());
    STRCMP_EQUAL(story.value().c_str(), out_.str().c_str());
  }
  STRCMP_EQUAL("", err_.str().c_str());
}
