#include <CppUTest/TestHarness.h>

#include "handover_fields_p.h"

namespace ep = egretladder::proxy;

TEST_GROUP(HandoverFields){};

TEST(HandoverFields, HeaderIsReadAsWritten) {
  const ep::HandoverHeader header{"n1", 42, "models", {"e1", "e2"}};
  const auto parsed = ep::ParseHandoverHeader(ep::FormatHandoverHeader(header));
  CHECK(parsed.has_value());
  STRCMP_EQUAL("n1", parsed->peer.c_str());
  LONGS_EQUAL(42, parsed->rules_version);
  STRCMP_EQUAL("models", parsed->service.c_str());
  LONGS_EQUAL(2, parsed->tried.size());
  STRCMP_EQUAL("e2", parsed->tried[1].c_str());
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
