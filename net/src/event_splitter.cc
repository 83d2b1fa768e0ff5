#include "egretladder/net/event_splitter.h"

#include <kj/encoding.h>

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

#include "egretladder/kernel/hash.h"

namespace egretladder::net {
namespace {

// Returns the value of the field if the line is one with that name.
std::optional<std::string_view> ReadField(std::string_view line,
                                          std::string_view name) {
  if (name.empty() || !line.starts_with(name)) return std::nullopt;
  line.remove_prefix(name.size());
  if (!line.starts_with(':')) return std::nullopt;
  line.remove_prefix(1);
  if (line.starts_with(' ')) line.remove_prefix(1);
  return line;
}

constexpr std::string_view kByteOrderMark = "\xef\xbb\xbf";
constexpr std::array<std::string_view, 4> kStandardFields = {"id", "data",
                                                             "event", "retry"};

bool IsPlain(char c) { return c >= ' ' && c <= '~'; }

bool IsUtf8(std::string_view text) {
  if (std::all_of(text.begin(), text.end(), IsPlain)) return true;
  return !kj::encodeUtf16(kj::arrayPtr(text.data(), text.size())).hadErrors;
}

bool IsOfName(char c) {
  const bool is_letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  return is_letter || (c >= '0' && c <= '9') || c == '-' || c == '_';
}

bool IsField(std::string_view line, std::string_view name) {
  const bool is_standard =
      std::find(kStandardFields.begin(), kStandardFields.end(), name) !=
      kStandardFields.end();
  if (is_standard) return true;
  const bool has_colon = name.size() < line.size();
  return has_colon && std::all_of(name.begin(), name.end(), IsOfName);
}

void ReadForm(EventSplitter& splitter, std::string_view line) {
  const std::string_view name = line.substr(0, line.find(':'));
  if (!IsField(line, name) || !IsUtf8(line)) splitter.is_readable = false;
  if (name == splitter.mark_field) return;
  splitter.pending_fields = kernel::HashBytes(name, splitter.pending_fields);
}

void ReadLine(EventSplitter& splitter, std::string_view line) {
  const bool is_first = !std::exchange(splitter.has_lines, true);
  if (is_first && line.starts_with(kByteOrderMark))
    line.remove_prefix(kByteOrderMark.size());
  if (line.empty() || line.starts_with(':')) return;
  splitter.has_fields = true;
  ReadForm(splitter, line);
  if (const auto id = ReadField(line, "id")) splitter.pending_id = *id;
  if (const auto mark = ReadField(line, splitter.mark_field))
    splitter.pending_mark = *mark;
}

// Finds the lines of a text. LF, CRLF and CR end one.
struct LineFinder {
  std::string_view text;
  std::size_t line_feed = 0;  // The first one from the line's begin on.

  // Returns the position of the first byte of the end of the line that begins
  // at `begin`, or npos.
  std::size_t FindEnd(std::size_t begin) {
    if (line_feed != text.npos && (line_feed < begin || begin == 0))
      line_feed = text.find('\n', begin);
    const std::string_view line =
        text.substr(0, line_feed == text.npos ? text.size() : line_feed);
    const std::size_t carriage_return = line.find('\r', begin);
    return std::min(carriage_return, line_feed);
  }
};

// Takes an LF that belongs to the CR at the end of the last piece. Returns its
// size, or 0.
std::size_t TakeRestOfLineEnd(EventSplitter& splitter) {
  const bool is_rest =
      splitter.may_end_with_lf &&
      splitter.incomplete_event[splitter.scanned_bytes] == '\n';
  splitter.may_end_with_lf = false;
  if (!is_rest) return 0;
  splitter.has_crlf = true;
  ++splitter.scanned_bytes;
  return 1;
}

// Moves behind the end of a line at `end`. Returns false if the rest of it
// isn't there: where lines end with CRLF, a CR awaits its LF.
bool PassLineEnd(EventSplitter& splitter, std::size_t end) {
  const std::string& text = splitter.incomplete_event;
  const bool is_cr = text[end] == '\r';
  const bool is_last = end + 1 == text.size();
  if (is_cr && is_last && splitter.has_crlf) return false;
  splitter.may_end_with_lf = is_cr && is_last;
  splitter.has_crlf = is_cr && !is_last && text[end + 1] == '\n';
  splitter.scanned_bytes = end + (splitter.has_crlf ? 2 : 1);
  return true;
}

void FinishEvent(EventSplitter& splitter) {
  ++splitter.events;
  splitter.has_fields = false;
  splitter.last_events.push_back(
      {.end = splitter.scanned_bytes,
       .id = splitter.pending_id,
       .mark = std::exchange(splitter.pending_mark, {}),
       .fields = std::exchange(splitter.pending_fields, 0),
       .is_readable = std::exchange(splitter.is_readable, true)});
  if (!splitter.pending_id.empty())
    splitter.last_id = std::move(splitter.pending_id);
  splitter.pending_id.clear();
}

}  // namespace

std::string SplitEvents(EventSplitter& splitter, std::string_view bytes) {
  splitter.last_events.clear();
  if (bytes.empty()) return {};
  splitter.incomplete_event.append(bytes);
  splitter.bytes_since_event += bytes.size();
  const bool is_all_passed = splitter.scanned_bytes == 0;
  const std::size_t rest = TakeRestOfLineEnd(splitter);
  std::size_t whole = is_all_passed ? rest : 0;
  // An LF right behind an event belongs to it.
  const bool is_first = splitter.bytes_since_event == bytes.size();
  std::size_t event_end = is_first ? rest : 0;
  LineFinder finder{splitter.incomplete_event};
  while (true) {
    const std::size_t begin = splitter.scanned_bytes;
    const std::size_t end = finder.FindEnd(begin);
    if (end == std::string::npos || !PassLineEnd(splitter, end)) break;
    const std::string_view line = finder.text.substr(begin, end - begin);
    if (!line.empty()) {
      ReadLine(splitter, line);
      continue;
    }
    if (!splitter.has_fields) {
      if (splitter.events > 0) whole = splitter.scanned_bytes;
      continue;
    }
    whole = splitter.scanned_bytes;
    event_end = whole;
    FinishEvent(splitter);
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
