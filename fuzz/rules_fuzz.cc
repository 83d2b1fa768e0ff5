// Any text as a rules document, alone and as the successor of itself: never a
// crash, and what is accepted is accepted again under the same handles.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <vector>

#include "egretladder/rules/rules.h"

namespace er = egretladder::rules;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string text(reinterpret_cast<const char*>(data), size);
  std::vector<er::ValidationError> faults;
  const auto first = er::ReadRules(text, "fuzz.ini", nullptr, &faults);
  if (!first) {
    if (faults.empty()) std::abort();
    return 0;
  }
  const auto again =
      er::ReadRules(text, "fuzz.ini", first.value().get(), nullptr);
  if (!again) std::abort();
  if (again.value()->endpoints.size() != first.value()->endpoints.size()) {
    std::abort();
  }
  return 0;
}
