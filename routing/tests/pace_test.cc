#include "egretladder/routing/pace.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
namespace er = egretladder::routing;

TEST_GROUP(Pace) {
  er::ServicePace service;
  er::EnginePace fast;
  er::EnginePace slow;

  void AddSamples(er::EnginePace & engine, double interval_ms, int count,
                  double running = 0) {
    for (int i = 0; i < count; ++i) {
      er::OnEventInterval(
          engine, service, running,
          std::chrono::duration<double, std::milli>(interval_ms));
    }
  }
};

TEST(Pace, AnEngineWithoutSamplesHasTheMeanPaceOfItsService) {
  AddSamples(fast, 20, 200);
  DOUBLES_EQUAL(20, er::ExpectedEventMs(er::EnginePace{}, service, 0), 0.1);
}

// Guards against avoiding an engine because of one sample in a busy moment.
TEST(Pace, FewSamplesChangeThePaceLittle) {
  AddSamples(fast, 20, 200);
  AddSamples(slow, 60, 1);
  CHECK(er::ExpectedEventMs(slow, service, 0) < 30);
  AddSamples(slow, 60, 30);
  CHECK(er::ExpectedEventMs(slow, service, 0) > 45);
}

// Guards against learning the load of the moment instead of the engine's pace:
// samples are taken while the engine runs varying numbers of requests.
TEST(Pace, ThePaceIsCorrectedForRunningRequests) {
  AddSamples(fast, 20 * (1 + 10 * er::kPaceFactorPerRunning), 50, 10);
  DOUBLES_EQUAL(20, er::ExpectedEventMs(fast, service, 0), 0.1);
  DOUBLES_EQUAL(20 * (1 + 4 * er::kPaceFactorPerRunning),
                er::ExpectedEventMs(fast, service, 4), 0.1);
}

// Guards against an average that hides an engine's slowdown for long.
TEST(Pace, ASlowdownOfAnEngineIsLearnedWithinSeconds) {
  AddSamples(fast, 20, 200);
  AddSamples(slow, 20, 200);
  AddSamples(slow, 100, 20);  // Four streams of forty events.
  CHECK(er::ExpectedEventMs(slow, service, 0) >
        2 * er::ExpectedEventMs(fast, service, 0));
}

TEST(Pace, TheLengthOfStreamsIsLearnedPerRoute) {
  DOUBLES_EQUAL(er::kDefaultStreamEvents,
                er::ExpectedStreamEvents(service, "chat"), 0);
  for (int i = 0; i < 200; ++i) er::OnStreamEnded(service, "chat", 50, 1500ms);
  for (int i = 0; i < 200; ++i) er::OnStreamEnded(service, "tag", 3, 90ms);
  DOUBLES_EQUAL(50, er::ExpectedStreamEvents(service, "chat"), 0.1);
  DOUBLES_EQUAL(3, er::ExpectedStreamEvents(service, "tag"), 0.1);
  DOUBLES_EQUAL(1500, er::ExpectedStreamMs(service, "chat"), 1);
  DOUBLES_EQUAL(90, er::ExpectedStreamMs(service, "tag"), 1);
  DOUBLES_EQUAL(er::kDefaultStreamEvents * er::kDefaultEventMs,
                er::ExpectedStreamMs(service, "other"), 0);
}

// Guards against a stopping node that accepts streams which outlast it by
// seconds because it expects the mean length: lengths of one route differ by a
// factor of ten.
TEST(Pace, LearnsTheLengthOfLongStreams) {
  for (int stream = 0; stream < 200; ++stream) {
    er::OnStreamEnded(service, "record", stream % 20 == 0 ? 60 : 5, 1s);
  }
  CHECK(er::ExpectedStreamEvents(service, "record") < 30);
  CHECK(er::LongStreamEvents(service, "record") > 30);
  CHECK(er::LongStreamEvents(service, "record") <= 60);
}

// Guards against a node that just started and expects only short streams,
// because the long ones are still running.
TEST(Pace, AFewShortStreamsDoNotHideLongOnes) {
  for (int stream = 0; stream < 5; ++stream) {
    er::OnStreamEnded(service, "record", 5, 1s);
  }
  CHECK(er::LongStreamEvents(service, "record") >
        er::kDefaultLongStreamEvents / 2);
  er::OnStreamRunning(service, "record", 300);
  DOUBLES_EQUAL(300, er::LongStreamEvents(service, "record"), 0);
}
