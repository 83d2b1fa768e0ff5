#include "egretladder/routing/event_form.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

namespace er = egretladder::routing;
using er::EventPlace;
using er::Habit;
using er::OddKind;

namespace {

// Forms of events.
constexpr std::uint64_t kUsual = 1;
constexpr std::uint64_t kWithoutId = 2;
constexpr std::uint64_t kNew = 3;

// A stream, and the run that brings it.
struct Stream {
  er::StreamPosition position;
  er::StreamRun run;
  er::StreamForms forms;
  er::HeldEvents held;
  er::IdRise rise = er::IdRise::kUnknown;
  Habit habit = Habit::kUnknown;
  bool may_be_taken_up = false;
  std::optional<bool> counts_others;

  explicit Stream(const std::string& last_event_id = "")
      : position(er::BeginStream(last_event_id)) {
    GoOn("a");
  }
  void GoOn(const std::string& source) {
    run = er::BeginRun(position, source);
    held.clear();
  }
  er::EventJudges Judges() {
    return {.ask_for_rise = [this] { return rise; },
            .ask_for_habit = [this](OddKind) { return habit; },
            .may_ask_elsewhere = {},
            .may_be_taken_up = may_be_taken_up};
  }
  EventPlace Place(const std::string& id, std::uint64_t fields = kUsual,
                   bool is_readable = true) {
    const auto formed = er::PlaceFormedEvent(
        position, run, forms, held,
        {.id = id, .fields = fields, .is_readable = is_readable}, Judges());
    counts_others = formed.counts_others;
    return formed.placed.place;
  }
  EventPlace PlaceWithout() { return Place("", kWithoutId); }
  EventPlace PlaceEnd() {
    return er::PlaceEnd(position, run, forms, held, Judges());
  }
  void Pass(const std::vector<std::string>& ids) {
    for (const std::string& id : ids)
      CHECK_TEXT(Place(id) == EventPlace::kNext, id.c_str());
  }
};

}  // namespace

TEST_GROUP(EventForm){};

// Guards against an event without an id that hides a missing one, however much
// is known, and whether or not anybody can be asked.
TEST(EventForm, AnOddEventThatANumberIsMissingForEndsItsRun) {
  for (const er::IdRise rise :
       {er::IdRise::kUnknown, er::IdRise::kByOne, er::IdRise::kFirmlyByOne}) {
    Stream stream;
    stream.rise = rise;
    stream.Pass({"1", "2"});
    CHECK(stream.PlaceWithout() == EventPlace::kHeld);
    CHECK_FALSE(er::EndsRun(EventPlace::kHeld));
    CHECK(er::EndsRun(stream.Place("4")));
    CHECK(er::CanGoOn(stream.position));
    STRCMP_EQUAL("2", stream.position.last_id.c_str());
    stream.GoOn("b");
    stream.Pass({"3", "4"});
  }
}

// Guards against losing pings, and against holding all of them.
TEST(EventForm, AnOddEventThatStandsForNothingIsPassedOn) {
  Stream stream;
  stream.Pass({"1", "2"});
  CHECK(stream.PlaceWithout() == EventPlace::kHeld);
  stream.Pass({"3"});
  CHECK(stream.held.empty());
  CHECK(stream.PlaceWithout() == EventPlace::kNext);
  stream.Pass({"4"});
  CHECK_FALSE(stream.counts_others.value_or(true));
  // The next one may stand for an event all the same.
  CHECK(stream.PlaceWithout() == EventPlace::kNext);
  CHECK(er::EndsRun(stream.Place("6")));
}

// Guards against a half event that the next one joins under the id of the
// first, or of the second.
TEST(EventForm, AnEventOfANewFormIsHeldUntilTheNextNumber) {
  Stream sound;
  sound.Pass({"1", "2"});
  CHECK(sound.Place("3", kNew) == EventPlace::kHeld);
  sound.Pass({"4"});
  CHECK(sound.Place("5", kNew) == EventPlace::kNext);
  Stream first;
  first.Pass({"1", "2"});
  CHECK(first.Place("3", kNew) == EventPlace::kHeld);
  CHECK(er::EndsRun(first.Place("5")));
  STRCMP_EQUAL("2", first.position.last_id.c_str());
  Stream second;
  second.Pass({"1", "2"});
  CHECK(er::EndsRun(second.Place("4", kNew)));
}

// Guards against the same where a run goes on.
TEST(EventForm, ANewFormIsHeldAtASeam) {
  for (const char* next : {"4", "5"}) {
    Stream stream;
    stream.Pass({"1", "2"});
    stream.GoOn("b");
    CHECK(stream.Place("3", kNew) == EventPlace::kHeld);
    const EventPlace place = stream.Place(next);
    CHECK(place == (next[0] == '4' ? EventPlace::kNext : EventPlace::kGap));
  }
}

// Guards against an id that can't be compared in the place of a number.
TEST(EventForm, AnIdThatIsNoNumberIsHeldAmongNumbers) {
  Stream stream;
  stream.Pass({"1", "2"});
  CHECK(stream.Place("x") == EventPlace::kHeld);
  CHECK(er::EndsRun(stream.Place("4")));
  Stream hexadecimal;
  hexadecimal.Pass({"8", "9"});
  for (const char* id : {"a", "b", "c", "d", "e", "f"})
    CHECK(hexadecimal.Place(id) == EventPlace::kHeld);
  hexadecimal.Pass({"10"});
  Stream without_numbers;
  without_numbers.Pass({"x1", "x2", "x3"});
}

// Guards against holding what ids never tell.
TEST(EventForm, WhereNumbersTellNothingNothingIsHeld) {
  Stream few_ids;
  few_ids.Pass({"1"});
  for (int i = 0; i < 3; ++i)
    CHECK(few_ids.PlaceWithout() == EventPlace::kNext);
  few_ids.Pass({"5"});
  CHECK(few_ids.counts_others.value_or(false));
  CHECK(few_ids.PlaceWithout() == EventPlace::kNext);
  Stream uneven;
  uneven.Pass({"5", "6", "9"});
  CHECK(uneven.PlaceWithout() == EventPlace::kNext);
  Stream one_id;
  one_id.Pass({"1"});
  for (int i = 0; i < 30; ++i)
    CHECK(one_id.PlaceWithout() == EventPlace::kNext);
}

// Guards against an endpoint that makes a node hold events without end.
TEST(EventForm, FewEventsAreHeld) {
  Stream stream;
  stream.Pass({"1", "2"});
  for (std::size_t i = 0; i < er::kMaxHeldEvents; ++i)
    CHECK(stream.PlaceWithout() == EventPlace::kHeld);
  CHECK(stream.PlaceWithout() == EventPlace::kNext);
  CHECK(stream.held.empty());
}

// Guards against losing sound streams whose ids count events without one.
TEST(EventForm, WhatAnotherEndpointOrMostDoIsNoFault) {
  Stream stream;
  stream.Pass({"1", "2"});
  CHECK(stream.PlaceWithout() == EventPlace::kHeld);
  CHECK(er::EndsRun(stream.Place("4")));
  stream.GoOn("b");
  CHECK(stream.Place("2") == EventPlace::kRepeated);
  CHECK(stream.PlaceWithout() == EventPlace::kHeld);
  stream.Pass({"4"});
  Stream known;
  known.Pass({"1", "2"});
  CHECK(known.PlaceWithout() == EventPlace::kHeld);
  known.habit = Habit::kYes;
  known.Pass({"4"});
  Stream itself;
  itself.Pass({"1", "2"});
  CHECK(itself.PlaceWithout() == EventPlace::kHeld);
  CHECK(er::EndsRun(itself.Place("4")));
  itself.GoOn("a");
  CHECK(itself.Place("2") == EventPlace::kRepeated);
  CHECK(itself.PlaceWithout() == EventPlace::kHeld);
  CHECK(er::EndsRun(itself.Place("4")));
}

// Guards against an event that takes the place of the first one that a client
// asks for, where its service numbers all events.
TEST(EventForm, AnOddEventIsHeldWhereAStreamIsTakenUp) {
  for (const char* next : {"8", "9"}) {
    Stream stream("7");
    stream.rise = er::IdRise::kByOne;
    stream.habit = Habit::kNo;
    CHECK(stream.PlaceWithout() == EventPlace::kHeld);
    const EventPlace place = stream.Place(next);
    CHECK(place == (next[0] == '8' ? EventPlace::kNext : EventPlace::kGap));
  }
  Stream unknown("7");
  unknown.rise = er::IdRise::kByOne;
  CHECK(unknown.PlaceWithout() == EventPlace::kNext);
}

// Guards against bytes that are no event, and against losing the streams of a
// service that always sends such.
TEST(EventForm, WhatIsNotReadableEndsItsRun) {
  Stream stream;
  CHECK(stream.Place("", kNew, false) == EventPlace::kUnreadable);
  CHECK(er::EndsRun(EventPlace::kUnreadable));
  stream.Pass({"1", "2"});
  CHECK(stream.Place("3", kUsual, false) == EventPlace::kUnreadable);
  stream.GoOn("b");
  CHECK(stream.Place("2") == EventPlace::kRepeated);
  CHECK(stream.Place("3", kUsual, false) == EventPlace::kNext);
  CHECK(stream.Place("4", kUsual, false) == EventPlace::kNext);
  Stream usual;
  usual.habit = Habit::kYes;
  CHECK(usual.Place("1", kUsual, false) == EventPlace::kNext);
}

// Guards against an event that is missing at the end, and against closing marks
// that are lost.
TEST(EventForm, AnOddEventAtTheEndIsInDoubt) {
  struct Case {
    Habit habit;
    bool may_be_taken_up;
    EventPlace place;
  };
  for (const Case& end : {Case{Habit::kUnknown, false, EventPlace::kNext},
                          Case{Habit::kUnknown, true, EventPlace::kInDoubt},
                          Case{Habit::kNo, false, EventPlace::kInDoubt},
                          Case{Habit::kYes, true, EventPlace::kNext}}) {
    Stream stream;
    stream.habit = end.habit;
    stream.may_be_taken_up = end.may_be_taken_up;
    stream.Pass({"1", "2"});
    CHECK(stream.PlaceWithout() == EventPlace::kHeld);
    CHECK(stream.PlaceEnd() == end.place);
    CHECK(stream.held.empty() == (end.place == EventPlace::kNext));
  }
}

// Guards against losing a closing mark that two endpoints send.
TEST(EventForm, TheSameEndOfAnotherEndpointIsNoFault) {
  Stream stream;
  stream.may_be_taken_up = true;
  stream.Pass({"1", "2"});
  CHECK(stream.PlaceWithout() == EventPlace::kHeld);
  CHECK(stream.PlaceEnd() == EventPlace::kInDoubt);
  stream.GoOn("b");
  CHECK(stream.Place("2") == EventPlace::kRepeated);
  CHECK(stream.PlaceWithout() == EventPlace::kHeld);
  CHECK(stream.PlaceEnd() == EventPlace::kNext);
  CHECK(stream.held.empty());
}

// Guards against a stream that breaks off again and again at the only endpoint
// there is.
TEST(EventForm, TheSameEndOfTheOnlyEndpointIsBelieved) {
  Stream stream;
  stream.habit = Habit::kNo;
  stream.may_be_taken_up = true;
  stream.Pass({"1", "2"});
  CHECK(stream.PlaceWithout() == EventPlace::kHeld);
  CHECK(stream.PlaceEnd() == EventPlace::kInDoubt);
  stream.GoOn("a");
  CHECK(stream.Place("2") == EventPlace::kRepeated);
  CHECK(stream.PlaceWithout() == EventPlace::kHeld);
  CHECK(stream.PlaceEnd() == EventPlace::kNext);
}

// Guards against a closing mark that nobody can take up behind the last event.
TEST(EventForm, AMarkAloneIsShownByTwoEndpoints) {
  Stream stream("7");
  stream.rise = er::IdRise::kByOne;
  stream.habit = Habit::kNo;
  stream.may_be_taken_up = true;
  CHECK(stream.PlaceWithout() == EventPlace::kHeld);
  CHECK(er::EndsOddly(stream.position, stream.held));
  CHECK(stream.PlaceEnd() == EventPlace::kInDoubt);
  stream.GoOn("b");
  CHECK(stream.PlaceWithout() == EventPlace::kHeld);
  CHECK(stream.PlaceEnd() == EventPlace::kNext);
}
