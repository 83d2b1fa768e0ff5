#include "egretladder/net/event_splitter.h"

namespace egretladder::net {
namespace {

void ReadLine(EventSplitter& splitter, std::string_view line) {
  constexpr std::string_view kId = "id:";
  if (!line.starts_with(':')) splitter.has_fields = true;
  if (!line.starts_with(kId)) return;
  line.remove_prefix(kId.size());
  if (line.starts_with(' ')) line.remove_prefix(1);
  splitter.pending_id = line;
}

}  // namespace

std::string SplitEvents(EventSplitter& splitter, std::string_view bytes) {
  splitter.incomplete_event.append(bytes);
  splitter.bytes_since_event += bytes.size();
  std::size_t whole = 0;
  std::size_t event_end = 0;
  while (true) {
    const std::size_t end =
        splitter.incomplete_event.find('\n', splitter.scanned_bytes);
    if (end == std::string::npos) break;
    std::string_view line(
        splitter.incomplete_event.data() + splitter.scanned_bytes,
        end - splitter.scanned_bytes);
    if (line.ends_with('\r')) line.remove_suffix(1);
    splitter.scanned_bytes = end + 1;
    if (!line.empty()) {
      ReadLine(splitter, line);
      continue;
    }
    if (!splitter.has_fields) {
      if (splitter.events > 0) whole = end + 1;
      continue;
    }
    whole = end + 1;
    event_end = whole;
    ++splitter.events;
    splitter.has_fields = false;
    if (!splitter.pending_id.empty()) {
      splitter.last_id = std::move(splitter.pending_id);
    }
    splitter.pending_id.clear();
  }
  if (event_end > 0) {
    splitter.bytes_since_event = splitter.incomplete_event.size() - event_end;
  }
  std::string events = splitter.incomplete_event.substr(0, whole);
  splitter.incomplete_event.erase(0, whole);
  splitter.scanned_bytes -= whole;
  return events;
}

}  // namespace egretladder::net
