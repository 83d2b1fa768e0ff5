#include "egretladder/routing/pace.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
namespace er = egretladder::routing;

TEST_GROUP(Pace) {
  er::ServicePace service;
  er::EnginePace fast;
  er::EnginePace slow;

  void See(er::EnginePace & engine, double pause_ms, int times,
           double running = 0) {
    for (int i = 0; i < times; ++i) {
      er::OnEventInterval(engine, service, running,
                          std::chrono::duration<double, std::milli>(pause_ms));
    }
  }
};

TEST(Pace, AnEngineNotSeenYetIsTakenForAMeanOne) {
  See(fast, 20, 200);
  DOUBLES_EQUAL(20, er::EventMs(er::EnginePace{}, service, 0), 0.1);
}

// One sample in a busy moment must not keep work away from an engine.
TEST(Pace, FewSamplesSayLittle) {
  See(fast, 20, 200);
  See(slow, 60, 1);
  CHECK(er::EventMs(slow, service, 0) < 30);
  See(slow, 60, 30);
  CHECK(er::EventMs(slow, service, 0) > 45);
}

// Engines run many requests when they are seen, and their number differs. What
// is learned is the engine, not the load of that moment.
TEST(Pace, TheLoadOfTheMomentIsTakenOut) {
  See(fast, 20 * (1 + 10 * er::kPacePerRunning), 50, 10);
  DOUBLES_EQUAL(20, er::EventMs(fast, service, 0), 0.1);
  DOUBLES_EQUAL(20 * (1 + 4 * er::kPacePerRunning),
                er::EventMs(fast, service, 4), 0.1);
}

// An engine turns slow in the middle of a day.
TEST(Pace, AnEngineThatTurnsSlowIsKnownWithinSeconds) {
  See(fast, 20, 200);
  See(slow, 20, 200);
  See(slow, 100, 20);  // Four streams of forty events.
  CHECK(er::EventMs(slow, service, 0) > 2 * er::EventMs(fast, service, 0));
}

TEST(Pace, TheLengthOfStreamsIsLearnedByRoute) {
  DOUBLES_EQUAL(er::kEventsUnknown, er::ExpectedStreamEvents(service, "chat"),
                0);
  for (int i = 0; i < 200; ++i) er::OnStreamEnded(service, "chat", 50, 1500ms);
  for (int i = 0; i < 200; ++i) er::OnStreamEnded(service, "tag", 3, 90ms);
  DOUBLES_EQUAL(50, er::ExpectedStreamEvents(service, "chat"), 0.1);
  DOUBLES_EQUAL(3, er::ExpectedStreamEvents(service, "tag"), 0.1);
  DOUBLES_EQUAL(1500, er::ExpectedStreamMs(service, "chat"), 1);
  DOUBLES_EQUAL(90, er::ExpectedStreamMs(service, "tag"), 1);
  DOUBLES_EQUAL(er::kEventsUnknown * er::kEventMsUnknown,
                er::ExpectedStreamMs(service, "other"), 0);
}

// Lengths of one route differ by a factor of ten. A node that counts on the
// mean takes streams, just before it stops, that outlast it by seconds.
TEST(Pace, KnowsHowLongALongStreamIs) {
  for (int stream = 0; stream < 200; ++stream) {
    er::OnStreamEnded(service, "record", stream % 20 == 0 ? 60 : 5, 1s);
  }
  CHECK(er::ExpectedStreamEvents(service, "record") < 30);
  CHECK(er::LongStreamEvents(service, "record") > 30);
  CHECK(er::LongStreamEvents(service, "record") <= 60);
}

// A node that just started has seen short streams end, since the long ones are
// still running. It must not take the short ones for all there is.
TEST(Pace, AFewShortStreamsDoNotHideTheLongOnes) {
  for (int stream = 0; stream < 5; ++stream) {
    er::OnStreamEnded(service, "record", 5, 1s);
  }
  CHECK(er::LongStreamEvents(service, "record") > er::kEventsMostUnknown / 2);
  er::OnStreamRunning(service, "record", 300);
  DOUBLES_EQUAL(300, er::LongStreamEvents(service, "record"), 0);
}
