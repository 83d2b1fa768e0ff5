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

/// The VM list as last read. At 390 nodes and 790 runners it has some 45 KB,
/// more each second than a node may spend on control; it changes a few hundred
/// times a day.
struct VmListRead {
  std::string etag;  ///< Empty: the platform sends none.
  std::vector<fleet::VmEntry> vms;
};

/// What an answer to a read of the VM list stands for, given the last one; null
/// when it could not be read. Valid until the next call.
const std::vector<fleet::VmEntry>* TakeVmList(VmListRead& last, int status,
                                              const std::string& etag,
                                              std::string_view body);

/// `{"boot":N,"age_ms":N,"running":N,...}`; models that the rules don't name
/// are left out.
kernel::Result<policy::EngineReport> ReadEngineReport(
    std::string_view text, const rules::Rules& rules);

std::string OrderText(const fleet::OrderEngine& order,
                      const std::string& model);

}  // namespace egretladder::gateway
