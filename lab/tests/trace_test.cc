#include <CppUTest/TestHarness.h>

#include <sstream>

#include "egretladder/lab/command.h"
#include "scratch_file.h"

namespace el = egretladder::lab;

namespace {

constexpr const char* kFirst =
    R"({"time_ms":100,"level":"info","part":"rules","event":"rules-in-force","version":3,"source":"watch"}
{"time_ms":150,"level":"info","part":"platform","event":"endpoint","endpoint":"e1","change":"new","rev":5}
{"time_ms":160,"level":"info","part":"platform","event":"endpoint","endpoint":"e9","change":"new","rev":6}
{"time_ms":170,"level":"info","part":"endpoint","event":"endpoint-leaving","req":"r0","endpoint":"e1","status":200}
{"time_ms":180,"level":"info","part":"endpoint","event":"endpoint-backoff","req":"r0","endpoint":"e9","for_ms":3000}
not a line
{"time_ms":200,"level":"info","part":"route","event":"sent","req":"r1","endpoint":"e1","why":"session"}
{"time_ms":230,"level":"warning","part":"endpoint","event":"attempt-ended","req":"r1","endpoint":"e1","end":"broken"}
{"time_ms":230,"level":"warning","part":"route","event":"ended","req":"r1","outcome":"outcome_unknown"}
{"time_ms":240,"level":"info","part":"rules","event":"rules-in-force","version":4,"source":"watch"}
)";
constexpr const char* kSecond =
    R"(some collector: {"time_ms":190,"level":"info","part":"route","event":"sent","req":"r2","endpoint":"e1"}
)";

}  // namespace

TEST_GROUP(Trace){};

TEST(Trace, TellsARequestsStoryAndWhatWasBelieved) {
  const el::testing::ScratchFile first("first.log");
  const el::testing::ScratchFile second("second.log");
  first.Write(kFirst);
  second.Write(kSecond);
  std::ostringstream out;
  std::ostringstream err;
  const int code = el::RunCommandLine(
      {"trace", "r1", first.path(), second.path()}, {out, err});
  CHECK_EQUAL(el::kExitDone, code);
  const std::string text = out.str();
  STRCMP_CONTAINS("first.log  sent endpoint=e1 why=session", text.c_str());
  STRCMP_CONTAINS("first.log  ended outcome=outcome_unknown", text.c_str());
  STRCMP_CONTAINS("rules-in-force version=3", text.c_str());
  STRCMP_CONTAINS("first.log  endpoint endpoint=e1", text.c_str());
  STRCMP_CONTAINS("first.log  endpoint-leaving endpoint=e1", text.c_str());
  // Nothing of other requests and endpoints, and nothing that came later.
  CHECK(text.find("e9") == std::string::npos);
  CHECK(text.find("version=4") == std::string::npos);
  CHECK(text.find("second.log") == std::string::npos);
  STRCMP_CONTAINS("1 lines are no log lines", err.str().c_str());
}

TEST(Trace, SaysWhenNoLineHasTheId) {
  const el::testing::ScratchFile first("first.log");
  first.Write(kFirst);
  std::ostringstream out;
  std::ostringstream err;
  CHECK_EQUAL(el::kExitFailed,
              el::RunCommandLine({"trace", "r9", first.path()}, {out, err}));
  STRCMP_CONTAINS("No line has the id r9", err.str().c_str());
}
