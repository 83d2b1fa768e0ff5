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

/// All settings of a node, for checks and for the operators' page.
std::span<const kernel::SettingSpec> NodeSettings();

/// One line for each setting: section, key, what is expected, standard value.
std::string DescribeSettings();

/// What the binary needs besides the gateway's own options.
struct NodeConfig {
  GatewayOptions gateway;
  kernel::LogFormat log_format = kernel::LogFormat::kText;
  kernel::LogLevel log_level = kernel::LogLevel::kInfo;
  /// A graceful stop that takes longer is ended.
  std::chrono::milliseconds stop_time = kStopTime;
};

/// Checks the whole text; `faults` gets every fault found. No fault shows a
/// secret.
kernel::Result<NodeConfig> ReadNodeConfig(
    const std::string& text, std::string_view file,
    std::vector<kernel::Error>* faults = nullptr);

}  // namespace egretladder::gateway
