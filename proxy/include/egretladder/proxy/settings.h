// The settings file (INI) of a proxy.
#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "egretladder/kernel/error.h"
#include "egretladder/kernel/log.h"
#include "egretladder/proxy/proxy.h"

namespace egretladder::proxy {

/// The options of the proxy and those of the process that runs it.
struct ProxyConfig {
  ProxyOptions proxy;
  kernel::LogLevel log_level = kernel::LogLevel::kInfo;
  /// See `kernel::Clock::unix_offset`.
  std::chrono::milliseconds clock_offset{};
};

/// Returns one line per setting: section, key, expected value and default.
std::string DescribeSettings();

/// Parses and validates the settings in `text`; `file` is named in errors.
/// Returns the first error, and stores all errors in `errors` if it is not
/// null.
kernel::Result<ProxyConfig> ReadProxyConfig(
    const std::string& text, std::string_view file,
    std::vector<kernel::Error>* errors = nullptr);

}  // namespace egretladder::proxy
