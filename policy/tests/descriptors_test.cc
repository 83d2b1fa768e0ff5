#include "egretladder/policy/descriptors.h"

#include <CppUTest/TestHarness.h>

namespace ep = egretladder::policy;

TEST_GROUP(Descriptors){};

// Guards against ports that together take what sending needs.
TEST(Descriptors, SharesFitTogether) {
  for (const std::size_t descriptors : {64U, 1000U, 1600U, 4096U, 65536U}) {
    const ep::DescriptorShares shares = ep::ShareDescriptors(descriptors);
    const std::size_t sum = shares.callers + shares.handovers +
                            shares.directory + shares.ready + shares.metrics +
                            shares.peers + shares.sending;
    CHECK(sum <= descriptors);
    CHECK(shares.sending >= descriptors / 4);
    CHECK(shares.callers >= descriptors / 3);
    CHECK(shares.ready > 0 && shares.metrics > 0 && shares.directory > 0);
  }
}
