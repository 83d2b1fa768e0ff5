// The settings file of a proxy (INI).
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "egretladder/kernel/error.h"
#include "egretladder/kernel/log.h"
#include "egretladder/proxy/proxy.h"

namespace egretladder::proxy {

/// What the binary needs besides the proxy's own options.
struct ProxyConfig {
  ProxyOptions proxy;
  kernel::LogLevel log_level = kernel::LogLevel::kInfo;
};

/// One line for each setting: section, key, what is expected, standard value.
std::string DescribeSettings();

/// Checks the whole text; `faults` gets every fault found.
kernel::Result<ProxyConfig> ReadProxyConfig(
    const std::string& text, std::string_view file,
    std::vector<kernel::Error>* faults = nullptr);

}  // namespace egretladder::proxy
