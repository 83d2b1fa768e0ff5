#include "egretladder/kernel/log_event.h"

#include <CppUTest/TestHarness.h>
#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <string>

#include "egretladder/kernel/loop.h"

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
  std::string ReadAvailable() {
    std::string text;
    std::array<char, 65536> buffer{};
    ssize_t size = 0;
    while ((size = read(pipe[0], buffer.data(), buffer.size())) > 0) {
      text.append(buffer.data(), static_cast<std::size_t>(size));
    }
    return text;
  }
  /// Flushes and reads all buffered lines, and the line that reports drops.
  std::string ReadAll() {
    std::string text;
    for (int round = 0; round < 200; ++round) {
      text += ReadAvailable();
      ek::FlushEventLog();
    }
    return text + ReadAvailable();
  }
};

TEST(LogEvent, WritesOneObjectPerLine) {
  ek::LogEvent(ek::LogPart::kRoute, ek::LogLevel::kInfo, "sent",
               {{"req", "a\"b\n"}, {"ms", 12.5}, {"count", 7}});
  const std::string text = ReadAvailable();
  STRCMP_CONTAINS(R"("level":"info","part":"route","event":"sent",)",
                  text.c_str());
  STRCMP_CONTAINS(R"("req":"a\"b\n","ms":12.500,"count":7})", text.c_str());
  LONGS_EQUAL(1, std::count(text.begin(), text.end(), '\n'));
}

// Guards against lines that no reader of logs accepts, and against a megabyte
// from outside in a line.
TEST(LogEvent, CutsAndCleansValuesFromOutside) {
  ek::LogEvent(ek::LogPart::kRoute, ek::LogLevel::kInfo, "sent",
               {{"bad", "a\xff\xc3"}, {"long", std::string(1U << 20U, 'x')}});
  const std::string text = ReadAvailable();
  STRCMP_CONTAINS("\"bad\":\"a??\"", text.c_str());
  CHECK(text.size() < 2 * ek::kMaxLogValueBytes);
}

TEST(LogEvent, DropsLinesBelowTheMinimumLevel) {
  ek::LogEvent(ek::LogPart::kRoute, ek::LogLevel::kDebug, "x", {});
  STRCMP_EQUAL("", ReadAvailable().c_str());
}

// Thousands of requests arrive within a second and some of them fail. The lines
// of successful requests must not use up the budget for the few warnings that
// explain the failures.
TEST(LogEvent, KeepsWarningsWhenTheLineBudgetIsSpent) {
  for (std::uint32_t i = 0; i < 2 * ek::kMaxLogLinesPerSecond; ++i) {
    ek::LogEvent(ek::LogPart::kRoute, ek::LogLevel::kInfo, "fine", {});
  }
  ek::LogEvent(ek::LogPart::kRoute, ek::LogLevel::kWarning, "failed", {});
  const std::string text = ReadAll();
  STRCMP_CONTAINS("\"failed\"", text.c_str());
  STRCMP_CONTAINS(R"("event":"lines-dropped","dropped":2500)", text.c_str());
  LONGS_EQUAL(ek::kMaxInfoLogLinesPerSecond + 2,
              std::count(text.begin(), text.end(), '\n'));
  ek::Advance(clock, std::chrono::seconds(1));
  ek::LogEvent(ek::LogPart::kRoute, ek::LogLevel::kInfo, "next", {});
  STRCMP_CONTAINS("\"next\"", ReadAvailable().c_str());
}

// The reader of standard output stalls and the pipe fills up. A write that
// blocked would stop all requests of the node.
TEST(LogEvent, NeverBlocksOnASlowReader) {
  const std::string long_text(4000, 'x');
  for (int second = 0; second < 2; ++second) {
    for (std::uint32_t i = 0; i < ek::kMaxInfoLogLinesPerSecond; ++i) {
      ek::LogEvent(ek::LogPart::kRoute, ek::LogLevel::kInfo, "wide",
                   {{"text", long_text}});
    }
    ek::Advance(clock, std::chrono::seconds(1));
  }
  CHECK(ek::EventLogCounts().reader_slow > 0);
  // The reader resumes. It receives the buffered lines, and then the line that
  // reports the dropped ones.
  const std::string text = ReadAll();
  STRCMP_CONTAINS("lines-dropped", text.c_str());
  CHECK(text.back() == '\n');
}

// Guards against lines of libevent that go past the budget to standard error.
TEST(LogEvent, LinesOfLibeventAreEvents) {
  ek::Loop loop = ek::CreateLoop();
  const ek::EventWatcher nested = ek::RunAfter(
      loop, std::chrono::milliseconds(0),
      [&loop] { event_base_loop(loop.base.get(), EVLOOP_NONBLOCK); });
  event_base_loop(loop.base.get(), EVLOOP_ONCE);
  const std::string text = ReadAvailable();
  STRCMP_CONTAINS(R"("level":"warning","part":"kernel","event":"libevent")",
                  text.c_str());
  STRCMP_CONTAINS("reentrant", text.c_str());
}
