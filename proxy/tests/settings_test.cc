#include "egretladder/proxy/settings.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>
#include <vector>

#include "egretladder/kernel/registry.h"
#include "egretladder/proxy/dialect.h"

using namespace std::chrono_literals;
namespace ek = egretladder::kernel;
namespace ep = egretladder::proxy;

namespace {

// Settings name a dialect; the platforms' own are not linked here.
constexpr ep::Dialect kNone{};
const ek::PluginRegistrar<ep::Dialect> kRegistrar("none", kNone);

const std::string kSettings =
    "[node]\nname = n1\nzone = a\ndialect = none\n"
    "[listen]\ncallers = 127.0.0.1:1\nready = 127.0.0.1:2\n"
    "directory = 127.0.0.1:3\npeers = 127.0.0.1:4\nmetrics = 127.0.0.1:5\n"
    "[peers]\nseeds = 127.0.0.1:6,127.0.0.1:7\n"
    "[store]\naddress = 127.0.0.1:8\n"
    "[retries]\nratio = 0.2\nslack = 54\nwindow = 10s\n"
    "[limits]\nmemory = 160MiB\ndescriptors = 4100\n[stop]\ngrace = 8s\n";

std::string With(const std::string& from, const std::string& to) {
  std::string text = kSettings;
  text.replace(text.find(from), from.size(), to);
  return text;
}

std::string FaultOf(const std::string& text) {
  std::vector<ek::Error> faults;
  const auto config = ep::ReadProxyConfig(text, "n.ini", &faults);
  CHECK(config.has_error());
  CHECK(!faults.empty());
  return ek::Describe(faults.front());
}

}  // namespace

TEST_GROUP(ProxySettings){};

TEST(ProxySettings, ReadsThemAll) {
  const auto config = ep::ReadProxyConfig(kSettings, "n.ini");
  CHECK(config.has_value());
  const ep::ProxyOptions& options = config.value().proxy;
  STRCMP_EQUAL("n1", options.node.c_str());
  STRCMP_EQUAL("127.0.0.1:3", options.directory.c_str());
  LONGS_EQUAL(2, options.seeds.size());
  DOUBLES_EQUAL(0.2, options.retries.ratio, 0);
  DOUBLES_EQUAL(54, options.retries.slack, 0);
  CHECK(options.retries.window == 10s);
  LONGS_EQUAL(160U << 20U, options.memory_bytes);
  CHECK(options.grace == 8s);
}

TEST(ProxySettings, NamesTheFault) {
  STRCMP_CONTAINS("listen.ready", FaultOf(With("127.0.0.1:2", "here")).c_str());
  STRCMP_CONTAINS("retries.ratio", FaultOf(With("0.2", "some")).c_str());
  STRCMP_CONTAINS("unknown key",
                  FaultOf(With("slack = 54", "slak = 54")).c_str());
  STRCMP_CONTAINS("node.dialect",
                  FaultOf(With("dialect = none", "dialect = x")).c_str());
  STRCMP_CONTAINS("peers.seeds has 'nowhere'",
                  FaultOf(With("127.0.0.1:6", "nowhere")).c_str());
  STRCMP_CONTAINS("listen.metrics", FaultOf(With("127.0.0.1:5", "5")).c_str());
}

TEST(ProxySettings, MechanismsOfPlacingCanBeLeftOut) {
  const auto config = ep::ReadProxyConfig(
      kSettings + "[placing]\nwithout = pace,sides\n", "n.ini");
  CHECK(config.has_value());
  LONGS_EQUAL(2, config.value().proxy.disabled_mechanisms.count());
  const std::string fault = FaultOf(kSettings + "[placing]\nwithout = pase\n");
  STRCMP_CONTAINS("placing.without has 'pase'", fault.c_str());
  STRCMP_CONTAINS("pace", fault.c_str());
}

TEST(ProxySettings, AFleetIsNewOrRunning) {
  const auto config =
      ep::ReadProxyConfig(With("[store]", "fleet = new\n[store]"), "n.ini");
  CHECK(config.has_value());
  CHECK(config.value().proxy.is_new_fleet);
  CHECK_FALSE(
      ep::ReadProxyConfig(kSettings, "n.ini").value().proxy.is_new_fleet);
  STRCMP_CONTAINS("peers.fleet is 'fresh', expected new or running",
                  FaultOf(With("[store]", "fleet = fresh\n[store]")).c_str());
}

// A platform leaves out what a deployment has no bounds for: the section of the
// template is empty then.
TEST(ProxySettings, BoundsThatAreNotGivenHaveStandards) {
  const auto config = ep::ReadProxyConfig(
      With("ratio = 0.2\nslack = 54\nwindow = 10s\n", "\n\n"), "n.ini");
  CHECK(config.has_value());
  CHECK(config.value().proxy.retries.window == 10s);
}

// An operator gives nodes three seconds to stop, while callers keep addresses
// as long. Each stop would cut requests, and nothing would say why; the
// settings are refused before that, with the place to change.
TEST(ProxySettings, AGraceThatCallersOutlastIsRefused) {
  STRCMP_CONTAINS(
      "n.ini:23: stop.grace is 3000ms, expected 3900ms or more, as callers "
      "keep addresses for 3000ms with this directory.keep",
      FaultOf(With("grace = 8s", "grace = 3s")).c_str());
  STRCMP_CONTAINS(
      "stop.grace is 8000ms, expected 15900ms or more",
      FaultOf(With("[stop]", "[directory]\nkeep = 5s\n[stop]")).c_str());
  STRCMP_CONTAINS(
      "directory.keep is 0",
      FaultOf(With("[stop]", "[directory]\nkeep = 0s\n[stop]")).c_str());
  CHECK(
      ep::ReadProxyConfig(
          With("grace = 8s", "grace = 3s\n[directory]\nkeep = 500ms"), "n.ini")
          .has_value());
}
