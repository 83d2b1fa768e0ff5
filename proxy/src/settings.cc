#include "egretladder/proxy/settings.h"

#include <array>

#include "egretladder/kernel/registry.h"
#include "egretladder/kernel/settings.h"
#include "egretladder/net/address.h"
#include "egretladder/proxy/dialect.h"
#include "egretladder/proxy/limits.h"
#include "egretladder/routing/placement_cost.h"

namespace egretladder::proxy {
namespace {

using kernel::SettingKind;

constexpr const char* kAddressExpected = "IP:port";
constexpr const char* kDurationExpected = "a number with ms, s, m or h";

constexpr std::array<kernel::SettingSpec, 24> kSpecs = {{
    {"node", "name", SettingKind::kText, "", true, "the node's name"},
    {"node", "zone", SettingKind::kText, "", true, "an availability zone"},
    {"node", "region", SettingKind::kText, "", false, "a region"},
    {"node", "dialect", SettingKind::kText, "platform", false,
     "the name of a dialect"},
    {"listen", "callers", SettingKind::kAddress, "", true, kAddressExpected},
    {"listen", "ready", SettingKind::kAddress, "", true, kAddressExpected},
    {"listen", "directory", SettingKind::kAddress, "", true, kAddressExpected},
    {"listen", "peers", SettingKind::kAddress, "", true, kAddressExpected},
    {"listen", "handovers", SettingKind::kText, "", false, kAddressExpected},
    {"listen", "metrics", SettingKind::kText, "", false, kAddressExpected},
    {"peers", "seeds", SettingKind::kText, "", false,
     "peer addresses IP:port, separated by commas"},
    {"peers", "fleet", SettingKind::kText, "running", false, "new or running"},
    {"store", "address", SettingKind::kAddress, "", true, kAddressExpected},
    {"retries", "ratio", SettingKind::kNumber, "0.1", false,
     "retries for each request, all nodes together"},
    {"retries", "slack", SettingKind::kNumber, "10", false,
     "additional retries in a window, all nodes together"},
    {"retries", "window", SettingKind::kDuration, "10s", false,
     kDurationExpected},
    {"placing", "without", SettingKind::kText, "", false,
     "placement mechanisms to disable, separated by commas"},
    {"limits", "memory", SettingKind::kBytes, "256MiB", false,
     "a number with B, KiB or MiB"},
    {"limits", "descriptors", SettingKind::kCount, "4096", false,
     "a whole number"},
    {"directory", "keep", SettingKind::kDuration, "1s", false,
     kDurationExpected},
    {"stop", "grace", SettingKind::kDuration, "8s", false, kDurationExpected},
    {"clock", "ahead", SettingKind::kDuration, "0s", false, kDurationExpected},
    {"clock", "behind", SettingKind::kDuration, "0s", false, kDurationExpected},
    {"log", "level", SettingKind::kText, "info", false,
     "debug, info, warning or error"},
}};

void ReadNode(const kernel::Settings& settings, ProxyOptions& options) {
  const auto text = [&settings](const char* section, const char* key) {
    return kernel::GetText(settings, section, key);
  };
  options.node = text("node", "name");
  options.zone = text("node", "zone");
  options.region = text("node", "region");
  options.dialect = text("node", "dialect");
  options.callers = text("listen", "callers");
  options.ready = text("listen", "ready");
  options.directory = text("listen", "directory");
  options.peers = text("listen", "peers");
  options.handovers = text("listen", "handovers");
  options.metrics = text("listen", "metrics");
  options.is_new_fleet = text("peers", "fleet") == "new";
  options.store = text("store", "address");
  options.seeds = kernel::SplitList(text("peers", "seeds"));
}

void ReadNumbers(const kernel::Settings& settings, ProxyOptions& options) {
  options.retries.ratio = kernel::GetNumber(settings, "retries", "ratio");
  options.retries.slack = kernel::GetNumber(settings, "retries", "slack");
  options.retries.window = kernel::GetDuration(settings, "retries", "window");
  options.memory_bytes = kernel::GetBytes(settings, "limits", "memory");
  options.descriptors = kernel::GetCount(settings, "limits", "descriptors");
  options.grace = kernel::GetDuration(settings, "stop", "grace");
  options.directory_ttl = kernel::GetDuration(settings, "directory", "keep");
}

void ReadPlacement(const kernel::Settings& settings,
                   kernel::SettingsChecker& checker, ProxyOptions& options) {
  for (const std::string& name :
       kernel::SplitList(kernel::GetText(settings, "placing", "without"))) {
    if (const auto mechanism = routing::FindMechanism(name)) {
      options.disabled_mechanisms.set(static_cast<std::size_t>(*mechanism));
    } else {
      checker.AddError(
          "placing", "without",
          "has '" + name + "', expected one of " + routing::MechanismNames());
    }
  }
}

// Rejects a grace period that ends while callers still keep the node's address:
// each stop would cut their requests without telling the operator why.
void CheckGracePeriod(const ProxyOptions& options,
                      kernel::SettingsChecker& checker) {
  if (options.directory_ttl.count() == 0) {
    checker.AddError("directory", "keep", "is 0, expected a time above 0");
  }
  const policy::StopPlan plan = MakeStopPlan(options);
  const milliseconds min_grace = policy::MinGracePeriod(plan);
  if (options.grace >= min_grace) return;
  checker.AddError("stop", "grace",
                   "is " + std::to_string(options.grace.count()) +
                       "ms, expected " + std::to_string(min_grace.count()) +
                       "ms or more, as callers keep addresses for " +
                       std::to_string(plan.address_ttl.count()) +
                       "ms with this directory.keep");
}

void CheckOptionalAddress(const std::string& address, const char* key,
                          kernel::SettingsChecker& checker) {
  if (address.empty() || net::SplitAddress(address).second != 0) return;
  checker.AddError("listen", key,
                   "is '" + address + "', expected " + kAddressExpected);
}

void CheckValues(const kernel::Settings& settings, const ProxyOptions& options,
                 kernel::SettingsChecker& checker) {
  for (const std::string& seed : options.seeds) {
    if (net::SplitAddress(seed).second != 0) continue;
    checker.AddError("peers", "seeds",
                     "has '" + seed + "', expected " + kAddressExpected);
  }
  if (const std::string& fleet = kernel::GetText(settings, "peers", "fleet");
      fleet != "new" && fleet != "running") {
    checker.AddError("peers", "fleet",
                     "is '" + fleet + "', expected new or running");
  }
  CheckOptionalAddress(options.handovers, "handovers", checker);
  CheckOptionalAddress(options.metrics, "metrics", checker);
  if (options.retries.window.count() == 0) {
    checker.AddError("retries", "window", "is 0");
  }
  if (kernel::FindPlugin<Dialect>(options.dialect) == nullptr) {
    checker.AddError(
        "node", "dialect",
        "is '" + options.dialect + "', expected the name of a dialect");
  }
  CheckGracePeriod(options, checker);
}

}  // namespace

std::string DescribeSettings() { return kernel::DescribeSettings(kSpecs); }

kernel::Result<ProxyConfig> ReadProxyConfig(
    const std::string& text, std::string_view file,
    std::vector<kernel::Error>* errors) {
  BOOST_OUTCOME_TRY(settings, kernel::ReadSettings(text, file, kSpecs, errors));
  ProxyConfig config;
  ReadNode(settings, config.proxy);
  ReadNumbers(settings, config.proxy);
  config.clock_offset = std::chrono::duration_cast<milliseconds>(
      kernel::GetDuration(settings, "clock", "ahead") -
      kernel::GetDuration(settings, "clock", "behind"));
  std::vector<kernel::Error> found_errors;
  kernel::SettingsChecker checker(text, file, found_errors);
  ReadPlacement(settings, checker, config.proxy);
  CheckValues(settings, config.proxy, checker);
  const std::string& level = kernel::GetText(settings, "log", "level");
  if (const auto parsed = kernel::ParseLogLevel(level)) {
    config.log_level = *parsed;
  } else {
    checker.AddError(
        "log", "level",
        "is '" + level + "', expected debug, info, warning or error");
  }
  if (found_errors.empty()) return config;
  const kernel::Error first = found_errors.front();
  if (errors != nullptr) *errors = std::move(found_errors);
  return first;
}

}  // namespace egretladder::proxy
