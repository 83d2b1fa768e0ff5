// The settings file of a node (INI).
#pragma once

#include <chrono>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "egretladder/gateway/gateway.h"
#include "egretladder/kernel/error.h"
#include "egretladder/kernel/log.h"
#include "egretladder/kernel/settings.h"

namespace egretladder::gateway {

/// Returns all settings of a node, for validation and for the operators' page.
std::span<const kernel::SettingSpec> NodeSettings();

/// Returns one line per setting: section, key, expected value and default.
std::string DescribeSettings();

/// The options of a gateway and those of the process that runs it.
struct NodeConfig {
  GatewayOptions gateway;
  kernel::LogFormat log_format = kernel::LogFormat::kText;
  kernel::LogLevel log_level = kernel::LogLevel::kInfo;
  /// Time after which a graceful stop ends the calls in progress.
  std::chrono::milliseconds stop_time = kStopTime;
};

/// Parses and validates the settings in `text`; `file` is named in errors.
/// Returns the first error, and stores all errors in `faults` if it is not
/// null. No error contains a secret.
kernel::Result<NodeConfig> ReadNodeConfig(
    const std::string& text, std::string_view file,
    std::vector<kernel::Error>* faults = nullptr);

}  // namespace egretladder::gateway
