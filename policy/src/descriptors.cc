#include "egretladder/policy/descriptors.h"

#include <algorithm>

namespace egretladder::policy {
namespace {

// Parts of all descriptors.
constexpr std::size_t kSendingDivisor = 4;
constexpr std::size_t kPeersDivisor = 8;
constexpr std::size_t kHandoversDivisor = 8;
constexpr std::size_t kDirectoryDivisor = 16;
constexpr std::size_t kPagesDivisor = 64;  // For each of ready and metrics.

}  // namespace

DescriptorShares ShareDescriptors(std::size_t descriptors) {
  const auto part = [descriptors](std::size_t divisor) {
    return std::max<std::size_t>(descriptors / divisor, 1);
  };
  DescriptorShares shares;
  shares.sending = part(kSendingDivisor);
  shares.peers = part(kPeersDivisor);
  shares.handovers = part(kHandoversDivisor);
  shares.directory = part(kDirectoryDivisor);
  shares.ready = part(kPagesDivisor);
  shares.metrics = part(kPagesDivisor);
  const std::size_t others = shares.sending + shares.peers + shares.handovers +
                             shares.directory + shares.ready + shares.metrics;
  shares.callers = descriptors > others ? descriptors - others : 1;
  return shares;
}

}  // namespace egretladder::policy
