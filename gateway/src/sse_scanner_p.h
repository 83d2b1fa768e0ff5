// Counts the events of a server-sent-event stream as it passes.
#pragma once

#include <event2/buffer.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace egretladder::gateway {

struct SseScanner {
  std::array<char, 16> line{};  ///< The present line's first bytes.
  std::size_t line_size = 0;    ///< Of the whole line so far.
  std::uint64_t events = 0;     ///< `data:` lines but for the last, `[DONE]`.
  bool done = false;            ///< `data: [DONE]` came.
  bool garbage = false;         ///< A line that no such stream holds.
};

/// Reads `bytes`; returns the events among them.
std::uint64_t Scan(SseScanner& scanner, std::string_view bytes);
/// Reads a buffer without taking anything out of it.
std::uint64_t Scan(SseScanner& scanner, evbuffer* buffer);

}  // namespace egretladder::gateway
