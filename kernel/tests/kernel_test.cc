#include <CppUTest/TestHarness.h>

#include <array>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "egretladder/kernel/hash.h"
#include "egretladder/kernel/ini.h"
#include "egretladder/kernel/loop.h"
#include "egretladder/kernel/metrics.h"
#include "egretladder/kernel/registry.h"
#include "egretladder/kernel/settings.h"
#include "egretladder/kernel/time.h"

using namespace std::chrono_literals;
namespace ek = egretladder::kernel;

TEST_GROUP(Time){};

TEST(Time, ManualClockChangesOnlyByAdvance) {
  ek::ManualClock manual;
  const ek::Clock clock = ek::ClockOf(manual);
  const ek::Time before = ek::Now(clock);
  ek::Advance(manual, 3s);
  CHECK(ek::Now(clock) - before == 3s);
}

TEST(Time, ParsesDurationsAndRejectsOtherText) {
  CHECK(ek::ParseDuration("250ms") == 250ms);
  CHECK(ek::ParseDuration("1.5s") == 1500ms);
  CHECK(ek::ParseDuration("2h") == 2h);
  CHECK(ek::ParseDuration("5") < 0ns);
  CHECK(ek::ParseDuration("-1s") < 0ns);
  CHECK(ek::ParseDuration("nans") < 0ns);
  CHECK(ek::ParseDuration("1e300h") < 0ns);
}

TEST_GROUP(Ini){};

TEST(Ini, KeepsLineAndCommentOfEachEntry) {
  const auto entries =
      ek::ReadIni("[class]\n; note\nbulk = tier=5 ; asked by Hanna\n", "a.ini");
  CHECK_TRUE(entries.has_value());
  CHECK_EQUAL(1U, entries.value().size());
  const ek::IniEntry& entry = entries.value()[0];
  STRCMP_EQUAL("tier=5", entry.value.c_str());
  STRCMP_EQUAL("asked by Hanna", entry.comment.c_str());
  CHECK_EQUAL(3U, entry.line);
}

TEST(Ini, KeepsTheCommentOfAnEmptyValue) {
  const auto entries = ek::ReadIni("[service]\nseats = ; Hanna\n", "a.ini");
  CHECK_TRUE(entries.has_value());
  STRCMP_EQUAL("", entries.value()[0].value.c_str());
  STRCMP_EQUAL("Hanna", entries.value()[0].comment.c_str());
}

TEST(Ini, RejectsRepeatedKeyAndLineWithoutEqualsSign) {
  CHECK_FALSE(ek::ReadIni("[a]\nx=1\nx=2\n", "a.ini").has_value());
  const auto without_equals = ek::ReadIni("[a]\nword\n", "a.ini");
  CHECK_FALSE(without_equals.has_value());
  STRCMP_EQUAL("a.ini:2", without_equals.error().peer.c_str());
}

TEST_GROUP(Settings) {
  std::array<ek::SettingSpec, 4> specs_ = {{
      {"node", "name", ek::SettingKind::kText, "", true, "a name"},
      {"node", "callers", ek::SettingKind::kAddress, "127.0.0.1:8080", false,
       "IP:port"},
      {"limits", "body", ek::SettingKind::kBytes, "4MiB", false,
       "a number with B, KiB or MiB"},
      {"tls", "password", ek::SettingKind::kSecret, "", false, "text"},
  }};
};

TEST(Settings, FillsInDefaultValues) {
  const auto read = ek::ReadSettings("[node]\nname = n1\n", "n.ini", specs_);
  CHECK_TRUE(read.has_value());
  CHECK_EQUAL(4ULL << 20U, ek::GetBytes(read.value(), "limits", "body"));
}

TEST(Settings, ReportsEveryErrorWithItsLine) {
  std::vector<ek::Error> errors;
  const auto read = ek::ReadSettings(
      "[node]\nname = n1\ncallers = here:80\nprot = 1\n[limits]\nbody = 4\n",
      "n.ini", specs_, &errors);
  CHECK_FALSE(read.has_value());
  CHECK_EQUAL(3U, errors.size());
  STRCMP_EQUAL(
      "read settings: n.ini:3: node.callers is 'here:80', expected IP:port",
      ek::Describe(errors[0]).c_str());
  STRCMP_EQUAL("n.ini:4", errors[1].peer.c_str());
  STRCMP_EQUAL("n.ini:6", errors[2].peer.c_str());
}

TEST(Settings, MissingRequiredKeyIsAnError) {
  const auto read = ek::ReadSettings("", "n.ini", specs_);
  CHECK_FALSE(read.has_value());
  CHECK(read.error().detail.find("node.name") != std::string::npos);
}

TEST_GROUP(Metrics){};

TEST(Metrics, WritesPrometheusText) {
  ek::Metrics metrics;
  const auto counter = ek::AddCounter(metrics, "calls", "Calls.", "tier=\"1\"");
  ek::Increment(metrics, counter, 3);
  const auto wait = ek::AddQuantiles(metrics, "wait", "Wait.");
  for (int i = 1; i <= 1000; ++i) {
    ek::Observe(metrics, wait, std::chrono::milliseconds(i));
  }
  const std::string text = ek::PrometheusText(metrics);
  CHECK(text.find("# TYPE calls counter") != std::string::npos);
  CHECK(text.find("calls{tier=\"1\"} 3") != std::string::npos);
  const auto median = ek::QuantileOf(metrics, wait, 0.5);
  CHECK(median > 480ms && median < 520ms);
}

// Prometheus expects cumulative buckets: each counts all samples up to its
// upper bound, those of smaller buckets included.
TEST(Metrics, HistogramBucketsAreCumulative) {
  ek::Metrics metrics;
  const auto wait = ek::AddHistogram(metrics, "wait", "Wait.", "class=\"a\"");
  for (const auto sample : {1ms, 20ms, 700ms, 60'000ms}) {
    ek::Observe(metrics, wait, sample);
  }
  const std::string text = ek::PrometheusText(metrics);
  for (const char* line :
       {"# TYPE wait histogram\n", "wait_bucket{class=\"a\",le=\"0.005\"} 1\n",
        "wait_bucket{class=\"a\",le=\"0.025\"} 2\n",
        "wait_bucket{class=\"a\",le=\"1\"} 3\n",
        "wait_bucket{class=\"a\",le=\"10\"} 3\n",
        "wait_bucket{class=\"a\",le=\"+Inf\"} 4\n",
        "wait_count{class=\"a\"} 4\n", "wait_sum{class=\"a\"} 60.721\n"}) {
    CHECK(text.find(line) != std::string::npos);
  }
}

TEST(Metrics, SameNameAndLabelsGiveSameHandle) {
  ek::Metrics metrics;
  const auto first = ek::AddCounter(metrics, "calls", "Calls.");
  const auto second = ek::AddCounter(metrics, "calls", "Calls.");
  CHECK_EQUAL(first.idx, second.idx);
}

namespace {
struct SampleTable {
  static constexpr std::string_view kKind = "sample";
  int number = 0;
};
const SampleTable kSample{7};
const ek::PluginRegistrar<SampleTable> kRegistrar("seven", kSample);
}  // namespace

TEST_GROUP(Registry){};

TEST(Registry, FindsPluginsByKindAndName) {
  CHECK_EQUAL(7, ek::FindPlugin<SampleTable>("seven")->number);
  POINTERS_EQUAL(nullptr, ek::FindPlugin<SampleTable>("eight"));
}

TEST_GROUP(Hash){};

TEST(Hash, SignatureDependsOnKeyAndText) {
  const std::string signature = ek::Sign("key", "text");
  CHECK_EQUAL(64U, signature.size());
  CHECK_TRUE(ek::IsSameSignature(signature, ek::Sign("key", "text")));
  CHECK_FALSE(ek::IsSameSignature(signature, ek::Sign("key", "other")));
  CHECK_FALSE(ek::IsSameSignature(signature, ""));
}

TEST_GROUP(Loop){};

TEST(Loop, DestroyedWatcherNeverFires) {
  ek::Loop loop = ek::CreateLoop();
  bool fired = false;
  {
    const ek::EventWatcher destroyed =
        ek::RunAfter(loop, 0ms, [&] { fired = true; });
  }
  const ek::EventWatcher stop =
      ek::RunAfter(loop, 1ms, [&] { ek::StopLoop(loop); });
  ek::RunLoop(loop);
  CHECK_FALSE(fired);
}

TEST_GROUP(ManualTimers) {
  ek::ManualClock clock;
  ek::Loop loop = ek::CreateLoop();
  std::string ran;

  void setup() override {
    loop.clock = ek::ClockOf(clock);
    loop.manual_timers = std::make_shared<ek::ManualTimers>();
  }
  std::string RunAfter(std::chrono::milliseconds time) {
    ran.clear();
    ek::Advance(clock, time);
    ek::RunDueTimers(loop);
    return ran;
  }
};

// Guards against timers that run early, out of turn or twice.
TEST(ManualTimers, RunWhenTheyAreDueInTurn) {
  const auto late = ek::RunAfter(loop, 30ms, [this] { ran += 'l'; });
  const auto early = ek::RunAfter(loop, 20ms, [this] { ran += 'e'; });
  const auto again = ek::RunEvery(loop, 20ms, [this] { ran += 'a'; });
  STRCMP_EQUAL("", RunAfter(19ms).c_str());
  STRCMP_EQUAL("eal", RunAfter(11ms).c_str());
  STRCMP_EQUAL("aa", RunAfter(30ms).c_str());
}

// Guards against timers of objects that are gone, also of one that is cancelled
// by its own action.
TEST(ManualTimers, DestroyedOnesNeverRun) {
  {
    const auto gone = ek::RunAfter(loop, 1ms, [this] { ran += 'g'; });
  }
  ek::EventWatcher once;
  once = ek::RunEvery(loop, 10ms, [this, &once] {
    ran += 'o';
    once = {};
  });
  STRCMP_EQUAL("o", RunAfter(50ms).c_str());
}

// Guards against an action that sets its timer again and never lets others run.
TEST(ManualTimers, ThoseThatAreSetMeanwhileRunNextTime) {
  ek::EventWatcher next;
  const auto first = ek::RunAfter(loop, 0ms, [this, &next] {
    ran += 'f';
    next = ek::RunAfter(loop, 0ms, [this] { ran += 'n'; });
  });
  STRCMP_EQUAL("f", RunAfter(0ms).c_str());
  STRCMP_EQUAL("n", RunAfter(0ms).c_str());
}
