#include <CppUTest/TestHarness.h>

#include <sstream>
#include <string>

#include "answer_scan_p.h"
#include "egretladder/lab/command.h"
#include "load_keys_p.h"

namespace el = egretladder::lab;

TEST_GROUP(AnswerScan) {
  el::StreamScan scan_;

  static std::string Token(const std::string& text) {
    return R"(data: {"choices":[{"delta":{"content":")" + text + "\"}}]}\n\n";
  }
};

TEST(AnswerScan, CountsTokensHoweverTheBytesAreCut) {
  const std::string stream =
      Token("[r1.]") + Token(" w1") + Token(" w2") + "data: [DONE]\n\n";
  std::uint32_t tokens = 0;
  for (const char byte : stream) {
    tokens += el::Scan(scan_, std::string(1, byte), "r1.");
  }
  CHECK_EQUAL(3U, tokens);
  CHECK_TRUE(scan_.done);
  CHECK_TRUE(scan_.mark_seen);
}

// Answers arrive out of order and one caller gets another's. It looks complete;
// only the mark of the request shows it.
TEST(AnswerScan, SomeoneElsesAnswerDoesNotCarryTheMark) {
  el::Scan(scan_, Token("[r2.]") + "data: [DONE]\n\n", "r1.");
  CHECK_TRUE(scan_.done);
  CHECK_FALSE(scan_.mark_seen);
}

// A stream breaks and ends with an error event. Counted as served, the load
// tool would report a better router than there is.
TEST(AnswerScan, AStreamThatEndsInAnErrorIsNotDone) {
  el::Scan(
      scan_,
      Token("[r1.]") +
          "data: {\"error\":{\"code\":\"broken\",\"ran\":\"unknown\"}}\n\n",
      "r1.");
  CHECK_FALSE(scan_.done);
  CHECK_TRUE(scan_.error.is_error);
  CHECK_FALSE(scan_.error.not_run);
}

// An error answer doesn't say whether the call ran. Counted as not run, a lost
// payment would look like one that is safe to send again.
TEST(AnswerScan, OnlyTheWordNoMeansNotRun) {
  CHECK_TRUE(el::ReadError(R"({"error":{"ran":"no","code":"x"}})").not_run);
  CHECK_FALSE(el::ReadError(R"({"error":{"code":"x"}})").not_run);
  CHECK_FALSE(el::ReadError("<html>no</html>").is_error);
}

TEST_GROUP(Keys){};

// A caller is told that its payment did not run, pays again by other means, and
// the first payment ran all the same.
TEST(Keys, ARunBehindANotRunAndASecondRunAreFound) {
  const el::KeyReport report = el::CompareKeys({{"a", el::KeyVerdict::kServed},
                                                {"b", el::KeyVerdict::kNotRun},
                                                {"c", el::KeyVerdict::kUnknown},
                                                {"d", el::KeyVerdict::kNotRun},
                                                {"e", el::KeyVerdict::kServed}},
                                               {{"a", 2}, {"b", 1}, {"c", 1}});
  CHECK_EQUAL(1U, report.doubles);
  CHECK_EQUAL(1U, report.false_not_run);
  CHECK_EQUAL(1U, report.false_served);
  CHECK_EQUAL(1U, report.unknown_ran);
  CHECK_EQUAL(2U, report.not_run);
}

TEST_GROUP(LoadCommand) {
  std::ostringstream out_;
  std::ostringstream err_;

  int Run(const std::string& to) {
    const std::string dir =
        std::string(EGRETLADDER_SOURCE_DIR) + "/examples/03-demo/";
    return el::RunCommandLine(
        {"load", dir + "load.ini", "--rules", dir + "rules.ini", "--to", to},
        {out_, err_});
  }
};

// Someone points the load tool at a machine of others by a slip.
TEST(LoadCommand, RefusesTargetsThatAreNotLoopback) {
  CHECK_EQUAL(el::kExitUsage, Run("192.0.2.7:80"));
  STRCMP_CONTAINS("only loopback addresses", err_.str().c_str());
  CHECK_EQUAL(el::kExitUsage, Run("localhost:80"));
}
