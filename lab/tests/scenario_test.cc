#include "egretladder/lab/scenario.h"

#include <CppUTest/TestHarness.h>

#include <string>

#include "egretladder/kernel/registry.h"
#include "egretladder/policy/scheduler.h"
#include "scenario_build_p.h"
#include "scratch_file.h"

namespace el = egretladder::lab;
namespace ep = egretladder::policy;

namespace {

/// A scheduler that sends everything to the first endpoint at once, whatever
/// slots it has: the watchdogs must notice.
struct RecklessState : ep::SchedulerState {};

void Reckless(ep::SchedulerState&, const ep::Request& request, ep::Time,
              ep::Actions& out) {
  out.emplace_back(ep::Dispatch{request.id, ep::EndpointHandle{0}, {}, 0});
}

ep::SchedulerPlugin RecklessPlugin() {
  ep::SchedulerPlugin plugin{};
  plugin.create = [](const ep::SchedulerOptions&) {
    return std::unique_ptr<ep::SchedulerState>(new RecklessState);
  };
  plugin.on_rules = [](auto&, auto, auto, auto&) {};
  plugin.on_slots = [](auto&, auto, auto, auto, auto&) {};
  plugin.on_available = [](auto&, auto, auto, auto, auto&) {};
  plugin.on_report = [](auto&, auto, const auto&, auto) {};
  plugin.on_quarantine = [](auto&, auto, auto, auto, auto&) {};
  plugin.on_arrival = Reckless;
  plugin.on_first_token = [](auto&, auto, auto) {};
  plugin.on_tokens = [](auto&, auto, auto, auto) {};
  plugin.on_end = [](auto&, auto, auto, auto, auto&) {};
  plugin.on_caller_gone = [](auto&, auto, auto) {};
  plugin.on_tick = [](auto&, auto, auto&) {};
  plugin.view = [](const auto&, auto) { return ep::SchedulerView{}; };
  return plugin;
}

const ep::SchedulerPlugin kReckless = RecklessPlugin();
const egretladder::kernel::PluginRegistrar<ep::SchedulerPlugin> kRegistrar(
    "reckless", kReckless);

const char* const kBase = R"(
fleet{nodes=3, zones={"a", "b"}}
endpoints{name="engine", count=2, serves="chat", bears=8, cold_bears=8}
class{name="buyer", tier=1, first_token="1s", max_wait="5s"}
account{name="abay", classes={"buyer"}}
load{class="buyer", account="abay", target="chat", rate=10, output=20}
)";

}  // namespace

TEST_GROUP(Scenario) {
  el::testing::ScratchFile file_{"scenario.lua"};

  egretladder::kernel::Result<el::Scenario> Read(const std::string& text) {
    file_.Write(text);
    return el::ReadScenario(file_.path());
  }
  el::ScenarioResult Run(const std::string& text,
                         const std::string& policy = "least") {
    const auto scenario = Read(text);
    CHECK_TRUE(scenario.has_value());
    auto result = el::RunScenario(scenario.value(), policy);
    CHECK_TRUE(result.has_value());
    return std::move(result).value();
  }
  void CheckFault(const std::string& text, const std::string& peer,
                  const char* detail) {
    const auto read = Read(text);
    CHECK_FALSE(read.has_value());
    STRCMP_EQUAL((file_.path() + peer).c_str(), read.error().peer.c_str());
    STRCMP_CONTAINS(detail, read.error().detail.c_str());
  }
  static bool Failed(const el::ScenarioResult& result,
                     const std::string& what) {
    for (const auto& failure : result.failures) {
      if (failure.what.find(what) != std::string::npos) return true;
    }
    return false;
  }
};

TEST(Scenario, FaultsNameFileAndLine) {
  CheckFault("fleet{\n", ":2", "expected");
  CheckFault("\nflee{}\n", ":2", "flee");
  CheckFault("\nload{class=\"c\"}\n", ":2", "account is missing");
  CheckFault("fleet{colour=\"red\"}\n", ":1", "unknown field 'colour'");
  CheckFault("fleet{nodes=\"three\"}\n", ":1", "nodes must be a number");
  CheckFault("run(\"ten\")\n", ":1", "takes a time");
  CheckFault("at(\"1s\", 7)\n", ":1", "takes a time and an event");
  CheckFault("\nslow{\"e\"}\nrun(\"1s\")\n", ":2", "not placed by at");
  CheckFault(std::string(kBase), "", "run(\"60s\") is missing");
  CHECK_FALSE(el::ReadScenario("none.lua").has_value());
}

TEST(Scenario, RefusesRulesThatTheReaderRefuses) {
  const auto read = Read(
      "fleet{nodes=1}\nclass{name=\"c\", tier=9}\n"
      "run(\"1s\")\n");
  CHECK_FALSE(read.has_value());
  STRCMP_CONTAINS("tier", read.error().detail.c_str());
}

TEST(Scenario, RefusesEventsThatHappenToNothing) {
  const auto scenario =
      Read(std::string(kBase) + "at(\"1s\", crash{\"engine-9\"})\nrun(\"2s\")");
  const auto result = el::RunScenario(scenario.value(), "least");
  CHECK_FALSE(result.has_value());
  STRCMP_EQUAL((file_.path() + ":7").c_str(), result.error().peer.c_str());
}

TEST(Scenario, ServesALightLoadAndMeetsWhatIsExpected) {
  const auto result = Run(std::string(kBase) +
                          "run(\"30s\")\n"
                          "expect{\"attainment\", class=\"buyer\", "
                          "from=\"15s\", at_least=0.9}\n");
  CHECK_EQUAL(1U, result.classes.size());
  CHECK(result.classes[0].sent > 200);
  CHECK(result.classes[0].p50.count() > 0);
  CHECK_FALSE(Failed(result, "attainment"));
}

TEST(Scenario, NamesTheLineOfAnExpectationNotMet) {
  const auto result = Run(std::string(kBase) +
                          "run(\"5s\")\n"
                          "expect{\"sent\", class=\"buyer\", at_most=3}\n"
                          "expect{\"beauty\", at_least=1}\n");
  CHECK_EQUAL(2U, result.failures.size());
  CHECK_EQUAL(8, result.failures[0].line);
  STRCMP_CONTAINS("expected sent buyer at most 3",
                  result.failures[0].what.c_str());
  STRCMP_CONTAINS("no measure 'beauty'", result.failures[1].what.c_str());
}

TEST(Scenario, SameSeedGivesTheSameResultByteForByte) {
  const std::string text = std::string(kBase) +
                           "at(\"5s\", crash{\"engine-1\"}, "
                           "cut{node=\"node-1\", lasts=\"3s\"})\n"
                           "run(\"20s\")\n";
  const auto scenario = Read(text);
  const auto json = [&] {
    return el::JsonOf(scenario.value(),
                      {el::RunScenario(scenario.value(), "ladder").value()});
  };
  const std::string first = json();
  STRCMP_EQUAL(first.c_str(), json().c_str());
  const auto other = Read("fleet{nodes=3, zones={\"a\", \"b\"}, seed=2}\n" +
                          text.substr(text.find("endpoints")));
  const auto seeded = el::RunScenario(other.value(), "ladder");
  CHECK(el::JsonOf(other.value(), {seeded.value()}) != first);
}

// A scheduler that ignores slots sends a burst to an endpoint that has just
// started. The endpoint falls over, and callers see their answers break off.
TEST(Scenario, WatchdogsNoticeAnEndpointThatGetsMoreThanItBears) {
  const auto result =
      Run(std::string(kBase) +
              "at(\"1s\", burst{class=\"buyer\", account=\"abay\", "
              "target=\"chat\", rate=200, output=50, lasts=\"2s\"})\n"
              "run(\"10s\")\n",
          "reckless");
  CHECK_TRUE(Failed(result, "no more than a fresh endpoint bears"));
}

// An engine crashes in a scenario. If the model let it serve on, every scenario
// of a crash would pass whatever the router does.
TEST(Scenario, AnEndpointThatIsDownServesNothing) {
  const auto result = Run(std::string(kBase) +
                          "at(\"10s\", crash{\"engine-1\"})\nrun(\"20s\")\n"
                          "expect{\"new_work\", endpoint=\"engine-1\", "
                          "from=\"10001ms\", to=\"12900ms\", at_most=0}\n"
                          "expect{\"deaths\", at_least=1}\n");
  CHECK_FALSE(Failed(result, "new_work"));
  CHECK_FALSE(Failed(result, "deaths"));
}

TEST(Scenario, ChangesOneRuleUnderANewVersion) {
  const std::string rules =
      "[document]\nversion = 1 ; H\n[zone]\na = out=no region=x ; H\n";
  const auto changed = el::ChangeRule(rules, "zone", "a", "out", "yes");
  STRCMP_CONTAINS("a = region=x out=yes ; H", changed.value().c_str());
  STRCMP_CONTAINS("version = 2 ; H",
                  el::WithVersion(changed.value(), 2).c_str());
  CHECK_FALSE(el::ChangeRule(rules, "zone", "b", "out", "yes").has_value());
}

TEST(Scenario, ASeedGivenStandsInPlaceOfTheScenariosOwn) {
  file_.Write(std::string(kBase) + "run(seed .. \"s\")\n");
  const auto own = el::ReadScenario(file_.path());
  const auto given = el::ReadScenario(file_.path(), 7);
  CHECK_EQUAL(1U, own.value().seed);
  CHECK_EQUAL(1000, own.value().run.count());
  CHECK_EQUAL(7U, given.value().seed);
  CHECK_EQUAL(7000, given.value().run.count());
}

TEST(Scenario, WritesDataAndScriptForAPlot) {
  const auto scenario = Read(std::string(kBase) + "run(\"3s\")\n");
  const auto result = el::RunScenario(scenario.value(), "least");
  CHECK_TRUE(
      el::WritePlot(scenario.value(), result.value(), "scenario_test.svg")
          .has_value());
  std::ifstream data("scenario_test.dat");
  std::string header;
  std::getline(data, header);
  STRCMP_EQUAL("second queue buyer a b", header.c_str());
  std::remove("scenario_test.dat");
  std::remove("scenario_test.gp");
  CHECK_FALSE(el::WritePlot(scenario.value(), result.value(), "none/x.svg")
                  .has_value());
}
