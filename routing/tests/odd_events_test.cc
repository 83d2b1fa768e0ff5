#include "egretladder/routing/odd_events.h"

#include <CppUTest/TestHarness.h>

#include <memory>

#include "egretladder/routing/endpoints.h"

namespace er = egretladder::routing;
using er::Habit;
using er::OddKind;

namespace {

constexpr er::SoftwareVersion kVersion = 11;

struct Processes {
  er::EndpointSet set;

  // Adds one of which one of `interval` events is odd; 0: none.
  void Add(int events, int interval, er::SoftwareVersion version = kVersion,
           OddKind kind = OddKind::kCountsOthers) {
    const auto endpoint = std::make_shared<er::Endpoint>();
    endpoint->version = version;
    for (int i = 1; i <= events; ++i) {
      er::CountOdd(endpoint->odd_events, kind,
                   interval != 0 && i % interval == 0);
    }
    set.by_service["s"].push_back(endpoint);
  }
  Habit Judge(OddKind kind = OddKind::kCountsOthers) const {
    return er::JudgeHabit(set, "s", kVersion, kind);
  }
};

}  // namespace

TEST_GROUP(OddEvents){};

// Guards against a habit that few processes, or rare faults, decide.
TEST(OddEvents, MostProcessesOfAVersionDecide) {
  Processes processes;
  CHECK(processes.Judge() == Habit::kUnknown);
  processes.Add(8, 1);
  CHECK(processes.Judge() == Habit::kUnknown);
  processes.Add(100, 3);
  CHECK(processes.Judge() == Habit::kUnknown);
  processes.Add(100, 3);
  CHECK(processes.Judge() == Habit::kYes);
  processes.Add(100, 0);
  CHECK(processes.Judge() == Habit::kYes);
  processes.Add(100, 0);
  CHECK(processes.Judge() == Habit::kNo);
  processes.Add(100, 3, kVersion + 1);
  CHECK(processes.Judge() == Habit::kNo);
  processes.Add(100, 10);
  CHECK(processes.Judge() == Habit::kYes);
}

// Guards against a service that nobody could decide for.
TEST(OddEvents, TheOnlyProcessDecides) {
  Processes processes;
  processes.Add(100, 3);
  CHECK(processes.Judge() == Habit::kYes);
}

// Guards against spoiled events at all processes that count as a habit.
TEST(OddEvents, RareOnesAreNoHabit) {
  Processes processes;
  for (int i = 0; i < 4; ++i) processes.Add(9000, 100);
  CHECK(processes.Judge() == Habit::kNo);
  for (int i = 0; i < 4; ++i)
    processes.Add(400, 10, kVersion, OddKind::kUnreadable);
  CHECK(processes.Judge(OddKind::kUnreadable) == Habit::kNo);
}
