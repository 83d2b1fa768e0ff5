// Counts the events of a stream of server-sent events that is forwarded.
#pragma once

#include <event2/buffer.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace egretladder::gateway {

struct SseScanner {
  std::array<char, 16> line{};  ///< First bytes of the current line.
  std::size_t line_size = 0;    ///< Size of the current line so far.
  std::uint64_t events = 0;     ///< `data:` lines without the last, `[DONE]`.
  bool done = false;            ///< `data: [DONE]` was received.
  bool garbage = false;         ///< A line is not part of such a stream.
};

/// Scans `bytes` and returns the number of events that they complete.
std::uint64_t Scan(SseScanner& scanner, std::string_view bytes);
/// Scans a buffer without removing anything from it.
std::uint64_t Scan(SseScanner& scanner, evbuffer* buffer);

}  // namespace egretladder::gateway
