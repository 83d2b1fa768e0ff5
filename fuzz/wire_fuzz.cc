// What arrives from callers, endpoints and the platform: chat bodies, answers,
// event streams, reports, VM lists and lanes. The first byte chooses.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "caller_body_p.h"
#include "documents_p.h"
#include "egretladder/fleet/lane.h"
#include "sse_scanner_p.h"

namespace eg = egretladder::gateway;
namespace ef = egretladder::fleet;

namespace {

// The scanner must not care where the network cuts the stream.
void ScanInTwoWays(std::string_view bytes) {
  eg::SseScanner whole;
  eg::Scan(whole, bytes);
  eg::SseScanner cut;
  for (std::size_t at = 0; at < bytes.size(); at += 3) {
    eg::Scan(cut, bytes.substr(at, 3));
  }
  if (whole.events != cut.events || whole.done != cut.done ||
      whole.garbage != cut.garbage) {
    std::abort();
  }
}

void DecodeAndEncode(std::string_view text) {
  const auto lane = ef::DecodeLane(text);
  if (lane && ef::Encode(lane.value()) != text) std::abort();
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  if (size == 0) return 0;
  const std::string_view text(reinterpret_cast<const char*>(data) + 1,
                              size - 1);
  static const egretladder::rules::Rules rules;
  switch (data[0] % 6) {
    case 0:
      (void)eg::ReadChatBody(text);
      break;
    case 1:
      (void)eg::ReadChatAnswer(text);
      break;
    case 2:
      ScanInTwoWays(text);
      break;
    case 3:
      (void)eg::ReadVms(text);
      break;
    case 4:
      (void)eg::ReadEngineReport(text, rules);
      break;
    default:
      DecodeAndEncode(text);
      break;
  }
  return 0;
}
