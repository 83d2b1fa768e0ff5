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

// The settings name a dialect, and no platform's dialect is linked into this
// test.
constexpr ep::Dialect kEmptyDialect{};
const ek::PluginRegistrar<ep::Dialect> kRegistrar("none", kEmptyDialect);

const std::string kSettings =
    "[node]\nname = n1\nzone = a\ndialect = none\n"
    "[listen]\ncallers = 127.0.0.1:1\nready = 127.0.0.1:2\n"
    "directory = 127.0.0.1:3\npeers = 127.0.0.1:4\nmetrics = 127.0.0.1:5\n"
    "[peers]\nseeds = 127.0.0.1:6,127.0.0.1:7\n"
    "[store]\naddress = 127.0.0.1:8\n"
    "[retries]\nratio = 0.2\nslack = 54\nwindow = 10s\n"
    "[limits]\nmemory = 160MiB\ndescriptors = 4100\n[stop]\ngrace = 8s\n";

std::string ReplaceInSettings(const std::string& from, const std::string& to) {
  std::string text = kSettings;
  text.replace(text.find(from), from.size(), to);
  return text;
}

std::string GetFirstError(const std::string& text) {
  std::vector<ek::Error> errors;
  const auto config = ep::ReadProxyConfig(text, "n.ini", &errors);
  CHECK(config.has_error());
  CHECK(!errors.empty());
  return ek::Describe(errors.front());
}

}  // namespace

TEST_GROUP(ProxySettings){};

TEST(ProxySettings, TheClockMayBeAheadOrBehind) {
  const auto offset_of = [](const std::string& line) {
    return ep::ReadProxyConfig(kSettings + "[clock]\n" + line, "n.ini")
        .value()
        .clock_offset;
  };
  CHECK(offset_of("ahead = 9s\n") == 9s);
  CHECK(offset_of("behind = 500ms\n") == -500ms);
  CHECK(ep::ReadProxyConfig(kSettings, "n.ini").value().clock_offset == 0ms);
}

TEST(ProxySettings, ReadsAllSettings) {
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

TEST(ProxySettings, ErrorsNameTheSetting) {
  STRCMP_CONTAINS(
      "listen.ready",
      GetFirstError(ReplaceInSettings("127.0.0.1:2", "here")).c_str());
  STRCMP_CONTAINS("retries.ratio",
                  GetFirstError(ReplaceInSettings("0.2", "some")).c_str());
  STRCMP_CONTAINS(
      "unknown key",
      GetFirstError(ReplaceInSettings("slack = 54", "slak = 54")).c_str());
  STRCMP_CONTAINS(
      "node.dialect",
      GetFirstError(ReplaceInSettings("dialect = none", "dialect = x"))
          .c_str());
  STRCMP_CONTAINS(
      "peers.seeds has 'nowhere'",
      GetFirstError(ReplaceInSettings("127.0.0.1:6", "nowhere")).c_str());
  STRCMP_CONTAINS("listen.metrics",
                  GetFirstError(ReplaceInSettings("127.0.0.1:5", "5")).c_str());
}

TEST(ProxySettings, PlacementMechanismsCanBeDisabled) {
  const auto config = ep::ReadProxyConfig(
      kSettings + "[placing]\nwithout = pace,sides\n", "n.ini");
  CHECK(config.has_value());
  LONGS_EQUAL(2, config.value().proxy.disabled_mechanisms.count());
  const std::string error =
      GetFirstError(kSettings + "[placing]\nwithout = pase\n");
  STRCMP_CONTAINS("placing.without has 'pase'", error.c_str());
  STRCMP_CONTAINS("pace", error.c_str());
}

TEST(ProxySettings, FleetMustBeNewOrRunning) {
  const auto config = ep::ReadProxyConfig(
      ReplaceInSettings("[store]", "fleet = new\n[store]"), "n.ini");
  CHECK(config.has_value());
  CHECK(config.value().proxy.is_new_fleet);
  CHECK_FALSE(
      ep::ReadProxyConfig(kSettings, "n.ini").value().proxy.is_new_fleet);
  STRCMP_CONTAINS(
      "peers.fleet is 'fresh', expected new or running",
      GetFirstError(ReplaceInSettings("[store]", "fleet = fresh\n[store]"))
          .c_str());
}

// A deployment without retry limits has an empty section in its settings
// template.
TEST(ProxySettings, MissingRetryLimitsHaveDefaults) {
  const auto config = ep::ReadProxyConfig(
      ReplaceInSettings("ratio = 0.2\nslack = 54\nwindow = 10s\n", "\n\n"),
      "n.ini");
  CHECK(config.has_value());
  CHECK(config.value().proxy.retries.window == 10s);
}

// The grace period is three seconds, and callers keep addresses for as long.
// Each stop would cut requests without telling the operator why, so that the
// settings are rejected with the line to change.
TEST(ProxySettings, GracePeriodShorterThanDirectoryTtlIsRejected) {
  STRCMP_CONTAINS(
      "n.ini:23: stop.grace is 3000ms, expected 3900ms or more, as callers "
      "keep addresses for 3000ms with this directory.keep",
      GetFirstError(ReplaceInSettings("grace = 8s", "grace = 3s")).c_str());
  STRCMP_CONTAINS("stop.grace is 8000ms, expected 15900ms or more",
                  GetFirstError(ReplaceInSettings(
                                    "[stop]", "[directory]\nkeep = 5s\n[stop]"))
                      .c_str());
  STRCMP_CONTAINS("directory.keep is 0",
                  GetFirstError(ReplaceInSettings(
                                    "[stop]", "[directory]\nkeep = 0s\n[stop]"))
                      .c_str());
  CHECK(ep::ReadProxyConfig(
            ReplaceInSettings("grace = 8s",
                              "grace = 3s\n[directory]\nkeep = 500ms"),
            "n.ini")
            .has_value());
}
