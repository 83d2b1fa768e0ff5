#include <CppUTest/TestHarness.h>

#include "handover_fields_p.h"

namespace ep = egretladder::proxy;
namespace er = egretladder::routing;

TEST_GROUP(HandoverFields){};

TEST(HandoverFields, HeaderIsReadAsWritten) {
  const ep::HandoverHeader header{"n1", 42, "models", {"e1", "e2"}, 0xabc, 8};
  const auto parsed = ep::ParseHandoverHeader(ep::FormatHandoverHeader(header));
  CHECK(parsed.has_value());
  STRCMP_EQUAL("n1", parsed->peer.c_str());
  LONGS_EQUAL(42, parsed->rules_version);
  STRCMP_EQUAL("models", parsed->service.c_str());
  LONGS_EQUAL(2, parsed->tried.size());
  STRCMP_EQUAL("e2", parsed->tried[1].c_str());
  CHECK(parsed->version == 0xabc);
  CHECK(parsed->weights == er::Weights(8));
}

// Guards against a request that is taken for a node's because it has the field.
TEST(HandoverFields, IncompleteHeaderIsNone) {
  for (const char* value :
       {"", "n1", "n1; rules=; service=s", "n1; rules=x; service=s",
        "n1; rules=1", "; rules=1; service=s", "n1; rules=-1; service=s",
        "n1; rules=99999999999999999999; service=s"}) {
    CHECK_FALSE_TEXT(ep::ParseHandoverHeader(value).has_value(), value);
  }
}

// Guards against a version that is read in part, and taken for another one.
TEST(HandoverFields, AVersionThatIsNoNumberIsUnknown) {
  CHECK(ep::ParseVersion(ep::FormatVersion(~0ULL)) == ~0ULL);
  for (const char* text : {"", "12x", "-1", "10000000000000000"})
    CHECK_TEXT(ep::ParseVersion(text) == er::kUnknownVersion, text);
}
