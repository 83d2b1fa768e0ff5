// Cuts a stream of events (text/event-stream) into whole events.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace egretladder::net {

/// What was read of a stream.
///
/// An endpoint that dies breaks off in the middle of an event. A caller that
/// has got half an event can't be given the rest by another endpoint, so that
/// only whole events are passed on.
struct EventSplitter {
  std::string incomplete_event;  ///< Begun and not ended.
  std::size_t scanned = 0;       ///< Of `rest`, up to the start of a line.
  std::string id_in_rest;        ///< Of the event in `rest`.
  std::string last_id;           ///< Of the last whole event.
  std::uint64_t events = 0;      ///< Whole ones.
};

/// Takes bytes; returns the whole events that they complete.
std::string SplitEvents(EventSplitter& splitter, std::string_view bytes);

}  // namespace egretladder::net
