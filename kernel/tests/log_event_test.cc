#include "egretladder/kernel/log_event.h"

#include <CppUTest/TestHarness.h>
#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <string>

namespace ek = egretladder::kernel;

TEST_GROUP(LogEvent) {
  ek::ManualClock clock;
  std::array<int, 2> pipe{};

  void setup() override {
    CHECK_EQUAL(0, ::pipe(pipe.data()));
    fcntl(pipe[0], F_SETFL, O_NONBLOCK);
    ek::StartEventLog(pipe[1], ek::LogLevel::kInfo, ek::ClockOf(clock));
  }
  void teardown() override {
    ek::StopEventLog();
    close(pipe[0]);
    close(pipe[1]);
  }
  std::string Read() {
    std::string text;
    std::array<char, 65536> some{};
    ssize_t size = 0;
    while ((size = read(pipe[0], some.data(), some.size())) > 0) {
      text.append(some.data(), static_cast<std::size_t>(size));
    }
    return text;
  }
  /// All that waits, and the line that tells of drops.
  std::string ReadAll() {
    std::string text;
    for (int turn = 0; turn < 200; ++turn) {
      text += Read();
      ek::FlushEventLog();
    }
    return text + Read();
  }
};

TEST(LogEvent, WritesOneObjectALine) {
  ek::LogEvent(ek::LogPart::kRoute, ek::LogLevel::kInfo, "sent",
               {{"req", "a\"b\n"}, {"ms", 12.5}, {"count", 7}});
  const std::string text = Read();
  STRCMP_CONTAINS(R"("level":"info","part":"route","event":"sent",)",
                  text.c_str());
  STRCMP_CONTAINS(R"("req":"a\"b\n","ms":12.500,"count":7})", text.c_str());
  LONGS_EQUAL(1, std::count(text.begin(), text.end(), '\n'));
}

TEST(LogEvent, LeavesOutWhatIsBelowTheLevel) {
  ek::LogEvent(ek::LogPart::kRoute, ek::LogLevel::kDebug, "x", {});
  STRCMP_EQUAL("", Read().c_str());
}

// A burst of thousands of requests in a second, some of which fail. The lines
// of those that went well must not push out the few that explain a complaint.
TEST(LogEvent, KeepsFailuresWhenThereAreTooManyLines) {
  for (std::uint32_t i = 0; i < 2 * ek::kLogLinesMost; ++i) {
    ek::LogEvent(ek::LogPart::kRoute, ek::LogLevel::kInfo, "fine", {});
  }
  ek::LogEvent(ek::LogPart::kRoute, ek::LogLevel::kWarning, "failed", {});
  const std::string text = ReadAll();
  STRCMP_CONTAINS("\"failed\"", text.c_str());
  STRCMP_CONTAINS(R"("event":"lines-dropped","dropped":2500)", text.c_str());
  LONGS_EQUAL(ek::kLogLinesInfo + 2,
              std::count(text.begin(), text.end(), '\n'));
  ek::Advance(clock, std::chrono::seconds(1));
  ek::LogEvent(ek::LogPart::kRoute, ek::LogLevel::kInfo, "next", {});
  STRCMP_CONTAINS("\"next\"", Read().c_str());
}

// Whoever reads standard output stands still, and the pipe fills up. A write
// that waited would stop every request of the node.
TEST(LogEvent, NeverWaitsForItsReader) {
  const std::string wide(4000, 'x');
  for (int second = 0; second < 2; ++second) {
    for (std::uint32_t i = 0; i < ek::kLogLinesInfo; ++i) {
      ek::LogEvent(ek::LogPart::kRoute, ek::LogLevel::kInfo, "wide",
                   {{"text", wide}});
    }
    ek::Advance(clock, std::chrono::seconds(1));
  }
  CHECK(ek::EventLogCounts().reader_slow > 0);
  // The reader goes on: what waited comes, and then what was lost.
  const std::string text = ReadAll();
  STRCMP_CONTAINS("lines-dropped", text.c_str());
  CHECK(text.back() == '\n');
}
