// Whether the process that began a stream is the one of its endpoint's entry.
//
// An endpoint may be back under its id with other software before its entry
// says so. Streams that go on are kept away from a process that nothing has
// proven, but one may begin there, for want of another endpoint or since none
// of them states its start. The entry's version then isn't known to be the
// stream's. It is once the process of the entry is found to have run all along.
#pragma once

#include <cstdint>

#include "egretladder/kernel/time.h"
#include "egretladder/routing/endpoints.h"

namespace egretladder::routing {

/// Where a stream began whose process nothing had proven.
struct StreamBegin {
  EndpointPtr endpoint;
  SoftwareVersion version = kUnknownVersion;  ///< Of its entry at that time.
  Time sent_at{};                ///< When the request was sent there.
  bool may_state_start = false;  ///< The process, if it is asked again.
};

/// What became of the doubt about the process.
enum class BeginVerdict : std::uint8_t {
  kOpen,      ///< It may yet be known.
  kProven,    ///< It is the one of the entry.
  kReplaced,  ///< Another one has written the entry since. Either may be it.
};
/// Returns the verdict's name in logs and metrics.
const char* NameOf(BeginVerdict verdict);

/// Judges the begin. `knows_entries`: this node learns of entries as they are
/// written.
BeginVerdict JudgeBegin(const EndpointSet& set, const StreamBegin& begin,
                        bool knows_entries, Time now);

}  // namespace egretladder::routing
