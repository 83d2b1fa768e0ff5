#include "egretladder/routing/stream_begins.h"

namespace egretladder::routing {
namespace {

bool HasSameEntry(const EndpointSet& set, const StreamBegin& begin) {
  const Endpoint& endpoint = *begin.endpoint;
  const auto at = set.by_id.find(endpoint.entry.id);
  return at != set.by_id.end() && at->second == begin.endpoint &&
         endpoint.known_since <= begin.sent_at &&
         endpoint.version_since <= begin.sent_at;
}

// A process that states no start, and began the stream in place of the entry's,
// would have written its own entry by now, unless it has ended.
bool IsEntryOverdue(const StreamBegin& begin, Time now) {
  return !begin.may_state_start && now - begin.sent_at > kMaxEntryDelay;
}

}  // namespace

const char* NameOf(BeginVerdict verdict) {
  switch (verdict) {
    case BeginVerdict::kOpen:
      return "open";
    case BeginVerdict::kProven:
      return "proven";
    case BeginVerdict::kReplaced:
      break;
  }
  return "replaced";
}

BeginVerdict JudgeBegin(const EndpointSet& set, const StreamBegin& begin,
                        bool knows_entries, Time now) {
  if (!HasSameEntry(set, begin)) return BeginVerdict::kReplaced;
  if (begin.endpoint->proven_at >= begin.sent_at) return BeginVerdict::kProven;
  return knows_entries && IsEntryOverdue(begin, now) ? BeginVerdict::kProven
                                                     : BeginVerdict::kOpen;
}

}  // namespace egretladder::routing
