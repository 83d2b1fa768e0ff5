#include <array>
#include <charconv>
#include <limits>
#include <string>

#include "egretladder/fleet/lane.h"
#include "egretladder/fleet/limits.h"
#include "lane_p.h"

namespace egretladder::fleet {
namespace {

constexpr std::string_view kVersion = "1.";
constexpr std::size_t kSignatureSize = 64;

std::string Hex(std::uint64_t number) {
  std::array<char, 16> digits{};
  const auto end =
      std::to_chars(digits.data(), digits.data() + digits.size(), number, 16);
  return {digits.data(), end.ptr};
}

/// Parses the hexadecimal number before the next dot and removes both from
/// `text`.
bool ConsumeHex(std::string_view& text, std::uint64_t& number) {
  const std::size_t dot = text.find('.');
  if (dot == std::string_view::npos || dot == 0) return false;
  const char* end = text.data() + dot;
  const auto read = std::from_chars(text.data(), end, number, 16);
  if (read.ec != std::errc() || read.ptr != end) return false;
  text.remove_prefix(dot + 1);
  return true;
}

bool IsNodeName(std::string_view name) {
  if (name.empty()) return false;
  for (const char letter : name) {
    if (letter <= ' ' || letter > '~') return false;
  }
  return true;
}

bool ParseFields(std::string_view text, Lane& lane) {
  if (!text.starts_with(kVersion)) return false;
  text.remove_prefix(kVersion.size());
  std::uint64_t expires = 0;
  if (!ConsumeHex(text, lane.incarnation) || !ConsumeHex(text, lane.number) ||
      !ConsumeHex(text, expires)) {
    return false;
  }
  if (expires > std::uint64_t{std::numeric_limits<std::int64_t>::max()}) {
    return false;
  }
  lane.expires = std::chrono::milliseconds(expires);
  if (text.size() <= kSignatureSize || text[kSignatureSize] != '.') {
    return false;
  }
  lane.signature = text.substr(0, kSignatureSize);
  lane.node = text.substr(kSignatureSize + 1);
  return IsNodeName(lane.node);
}

}  // namespace

std::string LaneFields(const Lane& lane) {
  const auto expires = static_cast<std::uint64_t>(lane.expires.count());
  return Hex(lane.incarnation) + '.' + Hex(lane.number) + '.' + Hex(expires);
}

std::string Encode(const Lane& lane) {
  return std::string(kVersion) + LaneFields(lane) + '.' + lane.signature + '.' +
         lane.node;
}

kernel::Result<Lane> DecodeLane(std::string_view text) {
  Lane lane;
  if (text.size() > kMaxLaneTextBytes || !ParseFields(text, lane) ||
      Encode(lane) != text) {
    return kernel::MakeError(kernel::ErrorCode::kInvalidInput, "read lane",
                             "Egretladder-Lane", "not a lane of a node");
  }
  return lane;
}

}  // namespace egretladder::fleet
