#include "egretladder/gateway/settings.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <string>

#include "egretladder/kernel/ini.h"
#include "egretladder/kernel/registry.h"
#include "egretladder/net/address.h"
#include "egretladder/policy/scheduler.h"
#include "egretladder/policy/stopping.h"

namespace egretladder::gateway {
using net::SplitAddress;
namespace {

using kernel::SettingKind;

constexpr const char* kDurationExpected = "a number with ms, s, m or h";
constexpr const char* kBytesExpected = "a number with B, KiB or MiB";
constexpr const char* kAddressExpected = "IP:port";

// The defaults of `[limits]` repeat those of limits.h in the units of the file.
// A test compares them.
constexpr std::array<kernel::SettingSpec, 26> kSpecs = {{
    {"node", "name", SettingKind::kText, "", true, "the node's name"},
    {"node", "zone", SettingKind::kText, "", true, "an availability zone"},
    {"node", "callers", SettingKind::kAddress, "", true, kAddressExpected},
    {"node", "peers", SettingKind::kAddress, "", true, kAddressExpected},
    {"node", "listen_callers", SettingKind::kAddress, "", false,
     kAddressExpected},
    {"node", "listen_peers", SettingKind::kAddress, "", false,
     kAddressExpected},
    {"node", "seeds", SettingKind::kText, "", false,
     "peer addresses IP:port, separated by commas"},
    {"node", "scheduler", SettingKind::kText, "ladder", false,
     "the name of a scheduler"},
    {"node", "lane_secret", SettingKind::kSecret, "", false, "text"},
    {"platform", "address", SettingKind::kAddress, "", true, kAddressExpected},
    {"limits", "header_size", SettingKind::kBytes, "16KiB", false,
     kBytesExpected},
    {"limits", "body_size", SettingKind::kBytes, "4MiB", false, kBytesExpected},
    {"limits", "bodies_size", SettingKind::kBytes, "128MiB", false,
     kBytesExpected},
    {"limits", "connections", SettingKind::kCount, "4096", false,
     "a whole number from 1"},
    {"limits", "request_time", SettingKind::kDuration, "30s", false,
     kDurationExpected},
    {"limits", "answer_time", SettingKind::kDuration, "120s", false,
     kDurationExpected},
    {"limits", "idle_time", SettingKind::kDuration, "30s", false,
     kDurationExpected},
    {"limits", "drain_time", SettingKind::kDuration, "30s", false,
     kDurationExpected},
    {"limits", "caller_buffer", SettingKind::kBytes, "64KiB", false,
     kBytesExpected},
    {"limits", "answer_size", SettingKind::kBytes, "1MiB", false,
     kBytesExpected},
    {"tls", "certificate", SettingKind::kText, "", false, "a PEM file"},
    {"tls", "key", SettingKind::kText, "", false, "a PEM file"},
    {"log", "format", SettingKind::kText, "text", false, "text or json"},
    {"log", "level", SettingKind::kText, "info", false,
     "debug, info, warning or error"},
    {"stop", "time", SettingKind::kDuration, "300s", false, kDurationExpected},
    {"stop", "linger", SettingKind::kDuration, "5s", false, kDurationExpected},
}};

bool IsName(const std::string& text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
         });
}

std::string Or(const std::string& text, const std::string& other) {
  return text.empty() ? other : text;
}

void ReadNode(const kernel::Settings& settings,
              kernel::SettingsChecker& checker, GatewayOptions& options) {
  const auto text = [&settings](const char* key) {
    return kernel::GetText(settings, "node", key);
  };
  fleet::FleetOptions& fleet = options.node.fleet;
  fleet.node = text("name");
  fleet.zone = text("zone");
  for (const char* key : {"name", "zone"}) {
    if (IsName(text(key))) continue;
    checker.AddError(
        "node", key,
        "is '" + text(key) + "', expected letters, digits, '-', '_' and '.'");
  }
  fleet.caller_address = text("callers");
  fleet.peer_address = text("peers");
  options.caller_listen = Or(text("listen_callers"), text("callers"));
  options.peer_listen = Or(text("listen_peers"), text("peers"));
  fleet.seeds = kernel::SplitList(text("seeds"));
  for (const std::string& seed : fleet.seeds) {
    if (SplitAddress(seed).second == 0) {
      checker.AddError("node", "seeds",
                       "has '" + seed + "', expected " + kAddressExpected);
    }
  }
  options.node.scheduler = text("scheduler");
  if (kernel::FindPlugin<policy::SchedulerPlugin>(options.node.scheduler) ==
      nullptr) {
    std::string names;
    for (const auto name :
         kernel::PluginNames(policy::SchedulerPlugin::kKind)) {
      names += (names.empty() ? "" : ", ") + std::string(name);
    }
    checker.AddError(
        "node", "scheduler",
        "is '" + options.node.scheduler + "', expected one of " + names);
  }
  options.node.lane_secret = text("lane_secret");
}

void ReadLimits(const kernel::Settings& settings,
                kernel::SettingsChecker& checker, Limits& limits) {
  const auto bytes = [&settings](const char* key) {
    return kernel::GetBytes(settings, "limits", key);
  };
  const auto time = [&](const char* key) {
    const auto read = kernel::GetDuration(settings, "limits", key);
    if (read.count() == 0) {
      checker.AddError("limits", key, "is 0, expected a time above 0");
    }
    return read;
  };
  limits.header_bytes = bytes("header_size");
  limits.body_bytes = bytes("body_size");
  limits.bodies_bytes = bytes("bodies_size");
  limits.caller_buffer = bytes("caller_buffer");
  limits.answer_bytes = bytes("answer_size");
  limits.connections = kernel::GetCount(settings, "limits", "connections");
  if (limits.connections == 0) {
    checker.AddError("limits", "connections", "is 0, expected 1 or more");
  }
  limits.request_time = time("request_time");
  limits.answer_time = time("answer_time");
  limits.idle_timeout = time("idle_time");
  limits.write_timeout = time("drain_time");
}

void ReadTls(const kernel::Settings& settings, kernel::SettingsChecker& checker,
             TlsOptions& tls) {
  tls.certificate = kernel::GetText(settings, "tls", "certificate");
  tls.key = kernel::GetText(settings, "tls", "key");
  if (tls.certificate.empty() != tls.key.empty()) {
    checker.AddError("tls", tls.key.empty() ? "key" : "certificate",
                     "is missing, expected both or neither");
  }
}

void ReadLog(const kernel::Settings& settings, kernel::SettingsChecker& checker,
             NodeConfig& config) {
  const std::string& format = kernel::GetText(settings, "log", "format");
  if (const auto read = kernel::ParseLogFormat(format)) {
    config.log_format = *read;
  } else {
    checker.AddError("log", "format",
                     "is '" + format + "', expected text or json");
  }
  const std::string& level = kernel::GetText(settings, "log", "level");
  if (const auto read = kernel::ParseLogLevel(level)) {
    config.log_level = *read;
  } else {
    checker.AddError(
        "log", "level",
        "is '" + level + "', expected debug, info, warning or error");
  }
}

void ReadStop(const kernel::Settings& settings,
              kernel::SettingsChecker& checker, NodeConfig& config) {
  config.stop_time = kernel::GetDuration(settings, "stop", "time");
  const auto linger = kernel::GetDuration(settings, "stop", "linger");
  config.gateway.linger = linger;
  if (linger < kLinger) {
    checker.AddError("stop", "linger",
                     "is " + std::to_string(linger.count()) + "ms, expected " +
                         std::to_string(kLinger.count()) +
                         "ms or more, as callers keep /where so long");
  }
  if (linger > config.stop_time) {
    checker.AddError("stop", "linger", "is longer than stop.time");
    return;
  }
  policy::StopPlan plan;
  plan.address_ttl = linger;
  plan.cut_margin = kStopMargin;
  const auto least = policy::MinGracePeriod(plan);
  if (config.stop_time >= least) return;
  checker.AddError("stop", "time",
                   "is " + std::to_string(config.stop_time.count()) +
                       "ms, expected " + std::to_string(least.count()) +
                       "ms or more with this stop.linger");
}

}  // namespace

std::span<const kernel::SettingSpec> NodeSettings() { return kSpecs; }

std::string DescribeSettings() { return kernel::DescribeSettings(kSpecs); }

kernel::Result<NodeConfig> ReadNodeConfig(const std::string& text,
                                          std::string_view file,
                                          std::vector<kernel::Error>* faults) {
  BOOST_OUTCOME_TRY(settings, kernel::ReadSettings(text, file, kSpecs, faults));
  std::vector<kernel::Error> found;
  kernel::SettingsChecker checker(text, file, found);
  NodeConfig config;
  ReadNode(settings, checker, config.gateway);
  config.gateway.platform = kernel::GetText(settings, "platform", "address");
  ReadLimits(settings, checker, config.gateway.limits);
  ReadTls(settings, checker, config.gateway.tls);
  ReadLog(settings, checker, config);
  ReadStop(settings, checker, config);
  if (found.empty()) return config;
  const kernel::Error first = found.front();
  if (faults != nullptr) *faults = std::move(found);
  return first;
}

}  // namespace egretladder::gateway
