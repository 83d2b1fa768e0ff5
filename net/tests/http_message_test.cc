#include "egretladder/net/http_message.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
namespace en = egretladder::net;

TEST_GROUP(HttpMessage){};

// Guards against a delay that overflows, or is taken from a value that is none.
TEST(HttpMessage, DelaysAreNonNegativeAndBounded) {
  CHECK(en::ParseDelay("2", 1h) == 2s);
  CHECK(en::ParseDelay("0", 1h) == 0ms);
  CHECK(en::ParseDelay("0.0001", 1h) == 1ms);
  for (const char* huge : {"3600", "3601", "1e18", "99999999999999999999"}) {
    CHECK(en::ParseDelay(huge, 1h) == 1h);
  }
  for (const char* malformed :
       {"", " ", "-1", "-0.5", "+1", "1s", "1 2", "0x10", "nan", "inf", "1e999",
        "Fri, 01 Jan 2027 00:00:00 GMT"}) {
    CHECK(!en::ParseDelay(malformed, 1h));
  }
}
