// Parses the JSON documents of the platform and of engines.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "egretladder/fleet/fleet.h"
#include "egretladder/kernel/error.h"

namespace egretladder::gateway {

/// `[{"name":"n1","leaving":false},...]`
kernel::Result<std::vector<fleet::VmEntry>> ReadVms(std::string_view text);

/// The VM list that was read last. With 390 nodes and 790 runners it has some
/// 45 KB; reading that each second would exceed what a node may spend on
/// control. It changes a few hundred times a day.
struct VmListRead {
  std::string etag;  ///< Empty: the platform sent none.
  std::vector<fleet::VmEntry> vms;
};

/// Returns the VM list that an answer stands for, given the previous one; null
/// if the answer can't be parsed. Valid until the next call.
const std::vector<fleet::VmEntry>* TakeVmList(VmListRead& last, int status,
                                              const std::string& etag,
                                              std::string_view body);

/// `{"boot":N,"age_ms":N,"running":N,...}`. Models that are not in the rules
/// are left out.
kernel::Result<policy::EngineReport> ReadEngineReport(
    std::string_view text, const rules::Rules& rules);

std::string OrderText(const fleet::OrderEngine& order,
                      const std::string& model);

}  // namespace egretladder::gateway
