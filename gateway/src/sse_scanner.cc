#include <sys/uio.h>

#include <algorithm>
#include <vector>

#include "sse_scanner_p.h"

namespace egretladder::gateway {
namespace {

constexpr std::array<std::string_view, 5> kFields = {
    ":", "data:", "event:", "id:", "retry:"};

void KeepStart(SseScanner& scanner, std::string_view bytes) {
  if (scanner.line_size < scanner.line.size()) {
    const std::size_t room = scanner.line.size() - scanner.line_size;
    std::copy_n(
        bytes.begin(), std::min(room, bytes.size()),
        scanner.line.begin() + static_cast<std::ptrdiff_t>(scanner.line_size));
  }
  scanner.line_size += bytes.size();
}

void EndLine(SseScanner& scanner) {
  std::string_view line(scanner.line.data(),
                        std::min(scanner.line_size, scanner.line.size()));
  scanner.line_size = 0;
  if (line.ends_with('\r')) line.remove_suffix(1);
  if (line.empty()) return;
  if (line.starts_with("data: [DONE]") || line.starts_with("data:[DONE]")) {
    scanner.done = true;
  } else if (line.starts_with("data:")) {
    ++scanner.events;
  } else {
    scanner.garbage |= std::none_of(
        kFields.begin(), kFields.end(),
        [line](std::string_view field) { return line.starts_with(field); });
  }
}

}  // namespace

std::uint64_t Scan(SseScanner& scanner, std::string_view bytes) {
  const std::uint64_t before = scanner.events;
  while (!bytes.empty()) {
    const std::size_t end = bytes.find('\n');
    if (end == std::string_view::npos) {
      KeepStart(scanner, bytes);
      break;
    }
    KeepStart(scanner, bytes.substr(0, end));
    EndLine(scanner);
    bytes.remove_prefix(end + 1);
  }
  return scanner.events - before;
}

std::uint64_t Scan(SseScanner& scanner, evbuffer* buffer) {
  constexpr int kSome = 8;
  std::array<evbuffer_iovec, kSome> some{};
  int count = evbuffer_peek(buffer, -1, nullptr, some.data(), kSome);
  std::vector<evbuffer_iovec> all;
  evbuffer_iovec* pieces = some.data();
  if (count > kSome) {
    all.resize(static_cast<std::size_t>(count));
    count = evbuffer_peek(buffer, -1, nullptr, all.data(), count);
    pieces = all.data();
  }
  std::uint64_t events = 0;
  for (int i = 0; i < count; ++i) {
    events += Scan(scanner, {static_cast<const char*>(pieces[i].iov_base),
                             pieces[i].iov_len});
  }
  return events;
}

}  // namespace egretladder::gateway
