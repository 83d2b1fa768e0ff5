// JSON documents of the platform and of engines.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "egretladder/fleet/fleet.h"
#include "egretladder/kernel/error.h"

namespace egretladder::gateway {

/// `[{"name":"n1","leaving":false},...]`
kernel::Result<std::vector<fleet::VmEntry>> ReadVms(std::string_view text);

/// `{"boot":N,"age_ms":N,"running":N,...}`; models that the rules don't name
/// are left out.
kernel::Result<policy::EngineReport> ReadEngineReport(
    std::string_view text, const rules::Rules& rules);

std::string OrderText(const fleet::OrderEngine& order,
                      const std::string& model);

}  // namespace egretladder::gateway
