#include "egretladder/routing/stream_begins.h"

#include <CppUTest/TestHarness.h>

#include "egretladder/routing/limits.h"
#include "egretladder/routing/software_version.h"

using namespace std::chrono_literals;
namespace ek = egretladder::kernel;
namespace er = egretladder::routing;
using er::BeginVerdict;

namespace {

constexpr ek::Time kStart{100s};
constexpr ek::Time kSent{kStart + 10s};
constexpr std::uint64_t kStarted = 1000;

er::EndpointEntry MakeEntry(std::uint64_t started, const char* version) {
  er::EndpointEntry entry;
  entry.id = "x";
  entry.service = "s";
  entry.address = "127.0.0.1:80";
  entry.software_version = version;
  entry.started_unix_ms = started;
  return entry;
}

}  // namespace

TEST_GROUP(StreamBegins) {
  er::EndpointSet set;
  er::StreamBegin begin;

  void Begin(std::uint64_t started) {
    er::OnEntryPublished(set, MakeEntry(started, "v1"), kStart);
    begin.endpoint = set.by_id.at("x");
    begin.version = begin.endpoint->version;
    begin.sent_at = kSent;
    begin.may_state_start = started != 0;
  }
  BeginVerdict JudgeAfter(std::chrono::milliseconds age,
                          bool knows_entries = true) const {
    return er::JudgeBegin(set, begin, knows_entries, kSent + age);
  }
};

// Guards against a process that is taken for the one of the entry by an answer
// that another one gave before.
TEST(StreamBegins, OnlyAQuestionAskedSinceProvesAStatedStart) {
  Begin(kStarted);
  er::OnProcessStated(*begin.endpoint, kStarted, kSent - 1ms);
  CHECK(BeginVerdict::kOpen == JudgeAfter(20s));
  er::OnProcessStated(*begin.endpoint, kStarted + 1, kSent + 1ms);
  CHECK(BeginVerdict::kOpen == JudgeAfter(20s));
  er::OnProcessStated(*begin.endpoint, kStarted, kSent + 2ms);
  CHECK(BeginVerdict::kProven == JudgeAfter(20s));
}

// Guards against a doubt without an end where no process states its start, and
// against one that ends before another entry can have come.
TEST(StreamBegins, AnEntryThatStaysProvesAProcessWithoutAStart) {
  Begin(0);
  CHECK(BeginVerdict::kOpen == JudgeAfter(er::kMaxEntryDelay));
  CHECK(BeginVerdict::kOpen == JudgeAfter(er::kMaxEntryDelay + 1ms, false));
  CHECK(BeginVerdict::kProven == JudgeAfter(er::kMaxEntryDelay + 1ms));
}

// Guards against a stream of the next process that is taken for one of the
// process before, whose entry was known.
TEST(StreamBegins, AnotherEntryLeavesItInDoubt) {
  Begin(0);
  er::OnEntryPublished(set, MakeEntry(0, "v2"), kSent + 100ms);
  CHECK(BeginVerdict::kReplaced == JudgeAfter(20s));
  Begin(kStarted);
  er::OnEntryPublished(set, MakeEntry(kStarted + 1, "v1"), kSent + 100ms);
  er::OnProcessStated(*set.by_id.at("x"), kStarted + 1, kSent + 200ms);
  CHECK(BeginVerdict::kReplaced == JudgeAfter(20s));
}
