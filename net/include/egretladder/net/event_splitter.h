// Splits a stream of events (text/event-stream) at event boundaries.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace egretladder::net {

/// A complete event among the bytes that `SplitEvents` returned.
struct SplitEvent {
  std::size_t end = 0;  ///< Position behind its last byte.
  std::string id;       ///< Empty: it has none.
  std::string mark;     ///< Value of the field `EventSplitter::mark_field`.
  /// Hash of its fields' names in their order, without that one.
  std::uint64_t fields = 0;
  /// It is UTF-8, and each of its lines is a field, or a comment.
  bool is_readable = true;
};

/// State of the splitter for one stream.
///
/// The stream of an endpoint that crashes may end in the middle of an event. If
/// a caller had received a part of that event, another endpoint could not
/// resume the stream, so that only complete events are passed on.
///
/// Lines end with LF, CRLF or CR. A CR at the end of a piece ends its line at
/// once, except behind a CRLF: callers that know CRLF alone need both bytes.
///
/// A byte order mark at the begin belongs to no line. Fields beside the
/// standard ones have a name of letters, digits, - and _, and a colon.
///
/// Comments and empty lines are no events. Those before the first event are
/// kept until it is complete; later ones are passed on as they come.
struct EventSplitter {
  /// Name of another field that is read of each event; empty: none is. It must
  /// outlive the splitter.
  std::string_view mark_field;
  std::string incomplete_event;      ///< Bytes of an incomplete event.
  std::size_t scanned_bytes = 0;     ///< Its bytes in complete lines.
  std::string pending_id;            ///< Id of the incomplete event.
  std::string pending_mark;          ///< Value of `mark_field` in it.
  std::uint64_t pending_fields = 0;  ///< See `SplitEvent::fields`.
  bool is_readable = true;           ///< See `SplitEvent::is_readable`.
  bool has_lines = false;            ///< The stream has begun.
  bool has_fields = false;           ///< It has a line that is no comment.
  bool has_crlf = false;             ///< The last line ended with CRLF.
  /// The bytes ended with a CR, and an LF that follows belongs to it.
  bool may_end_with_lf = false;
  /// Bytes since the last complete event, those that were passed on included.
  std::size_t bytes_since_event = 0;
  std::string last_id;       ///< Id of the last complete event that had one.
  std::uint64_t events = 0;  ///< Number of complete events.
  /// Those among the bytes that were returned last, in their order.
  std::vector<SplitEvent> last_events;
};

/// Adds bytes to the stream. Returns the events that they complete, and
/// comments around them.
std::string SplitEvents(EventSplitter& splitter, std::string_view bytes);

}  // namespace egretladder::net
