// How a process divides the file descriptors that it may use.
#pragma once

#include <cstddef>

namespace egretladder::policy {

/// Connections that each port accepts at the same time, and what is left for
/// connections that the process opens itself and for files. Together they are
/// at most all descriptors, so that no port can take what another one needs.
struct DescriptorShares {
  std::size_t callers = 0;
  std::size_t handovers = 0;
  std::size_t directory = 0;
  std::size_t ready = 0;
  std::size_t metrics = 0;
  std::size_t peers = 0;
  std::size_t sending = 0;
};

/// Divides `descriptors`.
DescriptorShares ShareDescriptors(std::size_t descriptors);

}  // namespace egretladder::policy
