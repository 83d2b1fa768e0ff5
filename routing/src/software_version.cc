#include "egretladder/routing/software_version.h"

#include <algorithm>

#include "egretladder/kernel/hash.h"

namespace egretladder::routing {

SoftwareVersion VersionOf(const EndpointEntry& entry) {
  const std::uint64_t service = kernel::HashBytes(entry.service);
  const std::uint64_t hash =
      entry.is_version_invalid
          ? kernel::HashBytes(entry.id, service ^ entry.started_unix_ms)
          : kernel::HashBytes(entry.software_version, service);
  return std::max<SoftwareVersion>(hash, kUnknownVersion + 1);
}

}  // namespace egretladder::routing
