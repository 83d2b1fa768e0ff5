#include "egretladder/routing/event_order.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

namespace er = egretladder::routing;
using er::EventPlace;

namespace {

constexpr er::SoftwareVersion kFirstVersion = 11;
constexpr er::SoftwareVersion kSecondVersion = 12;

// A stream, and the run that brings it.
struct Stream {
  er::StreamPosition position;
  er::StreamRun run;
  er::IdSteps steps;  // Of the endpoint that sends it.
  er::IdRise rise = er::IdRise::kUnknown;

  explicit Stream(const std::string& last_event_id = "")
      : position(er::BeginStream(last_event_id)), run(er::BeginRun(position)) {}
  bool may_ask = false;  // Another endpoint can be asked.

  void GoOn(const std::string& source = "") {
    run = er::BeginRun(position, source);
  }
  EventPlace Place(const std::string& id) {
    const auto placed = er::PlaceEvent(
        position, run, [this] { return rise; }, id, [this] { return may_ask; });
    if (placed.step) er::OnIdStep(steps, *placed.step);
    return placed.place;
  }
  void Pass(const std::vector<std::string>& ids) {
    for (const std::string& id : ids)
      CHECK_TEXT(Place(id) == EventPlace::kNext, id.c_str());
  }
};

// Decides by the steps of the stream's endpoint alone.
er::IdRise JudgeAlone(const Stream& stream) {
  er::IdVotes votes;
  er::AddVote(votes, stream.steps);
  return er::JudgeIdRise(votes);
}

}  // namespace

TEST_GROUP(EventOrder){};

// Guards against sound streams that are cut at a seam.
TEST(EventOrder, ARunThatFollowsIsJoined) {
  Stream stream;
  stream.Pass({"1", "2", "3"});
  CHECK(er::CanGoOn(stream.position));
  stream.GoOn();
  stream.Pass({"4", "5"});
}

// Guards against joining what another endpoint sends from its begin on.
TEST(EventOrder, ARunThatBeginsEarlierIsNotJoined) {
  Stream stream;
  stream.Pass({"1", "2", "3"});
  stream.GoOn();
  CHECK(stream.Place("1") == EventPlace::kBehind);
  CHECK(er::EndsRun(EventPlace::kBehind));
  STRCMP_EQUAL("3", stream.position.last_id.c_str());
}

// Guards against an event that comes twice at a seam, and against a run that
// is not joined since it repeats it.
TEST(EventOrder, TheLastEventRepeatedIsLeftOut) {
  Stream stream;
  stream.Pass({"1", "2", "3"});
  stream.GoOn();
  CHECK(stream.Place("3") == EventPlace::kRepeated);
  CHECK_FALSE(er::EndsRun(EventPlace::kRepeated));
  CHECK(stream.Place("5") == EventPlace::kGap);
  stream.GoOn();
  CHECK(stream.Place("3") == EventPlace::kRepeated);
  stream.Pass({"4", "5"});
}

// Guards against an event that is missing at a seam.
TEST(EventOrder, AGapEndsARunWhereIdsWereConsecutive) {
  for (const int first : {0, 1, 100}) {
    Stream stream;
    stream.Pass({std::to_string(first), std::to_string(first + 1)});
    stream.GoOn();
    CHECK(stream.Place(std::to_string(first + 3)) == EventPlace::kGap);
    stream.GoOn();
    stream.Pass({std::to_string(first + 2)});
  }
}

// Guards against a gap that one event without an id at the head hides.
TEST(EventOrder, AHeadWithoutIdHidesNoGap) {
  Stream stream;
  stream.Pass({"", "1", "2"});
  stream.GoOn();
  CHECK(stream.Place("4") == EventPlace::kGap);
}

// Guards against endpoints that keep sending what the caller has.
TEST(EventOrder, ARunThatRepeatsWithoutEndIsEnded) {
  Stream stream;
  stream.Pass({"1"});
  for (std::uint32_t i = 0; i < er::kMaxRepeatedEvents; ++i)
    CHECK(stream.Place("1") == EventPlace::kRepeated);
  CHECK(er::EndsRun(stream.Place("1")));
}

// Guards against refusing sound streams whose ids count tokens.
TEST(EventOrder, AGapShowsNothingWhereIdsLeftNumbersOut) {
  Stream stream;
  stream.Pass({"5", "10", "13"});
  stream.GoOn();
  stream.Pass({"20"});
  stream.GoOn();
  CHECK(stream.Place("15") == EventPlace::kBehind);
}

// Guards against ending a run whose numbers are uneven without a seam.
TEST(EventOrder, AGapWithinARunShowsNothing) {
  Stream stream;
  stream.Pass({"1", "2", "5", "6"});
  stream.GoOn();
  stream.Pass({"9"});
}

// Guards against events that one run sends twice.
TEST(EventOrder, EventsSentAgainInARunAreLeftOut) {
  Stream stream;
  stream.Pass({"1", "2", "3"});
  CHECK(stream.Place("3") == EventPlace::kRepeated);
  CHECK(stream.Place("2") == EventPlace::kRepeated);
  CHECK(stream.Place("3") == EventPlace::kRepeated);
  stream.Pass({"4"});
}

// Guards against going on after an id that other events have followed.
TEST(EventOrder, AStreamCannotGoOnBehindEventsWithoutIds) {
  Stream stream;
  stream.Pass({"1", "", ""});
  CHECK_FALSE(er::CanGoOn(stream.position));
  stream.Pass({"4"});
  CHECK(er::CanGoOn(stream.position));
}

// Guards against refusing sound streams where some events have no id.
TEST(EventOrder, RunsOfEventsWithFewIdsAreJoined) {
  Stream stream;
  stream.Pass({"1", "", "", "", "5"});
  stream.GoOn();
  stream.Pass({"", "", "", "9"});
  stream.GoOn();
  stream.Pass({"", ""});
}

// Guards against a gap between events of which few have ids.
TEST(EventOrder, AGapBetweenFewIdsEndsTheRun) {
  Stream stream;
  stream.Pass({"1", "", "", "", "5"});
  stream.GoOn();
  stream.Pass({"", ""});
  CHECK(stream.Place("9") == EventPlace::kGap);
}

// Guards against events without an id that come twice in one run.
TEST(EventOrder, EventsWithoutIdsBehindARepeatedOneAreNotPlaced) {
  Stream stream;
  stream.Pass({"1", "", ""});
  CHECK(stream.Place("1") == EventPlace::kRepeated);
  CHECK(stream.Place("") == EventPlace::kUnplaced);
}

// Guards against cutting a run that repeats the event that it goes on after.
TEST(EventOrder, EventsWithoutIdsFollowTheLastIdRepeated) {
  Stream stream;
  stream.Pass({"1", "", "", "", "5"});
  stream.GoOn();
  CHECK(stream.Place("5") == EventPlace::kRepeated);
  stream.Pass({"", ""});
}

// Guards against joining a run without ids where all events had one.
TEST(EventOrder, ARunWithoutIdsIsNotJoinedToAStreamWithIds) {
  Stream stream;
  stream.Pass({"1", "2"});
  stream.GoOn();
  CHECK(stream.Place("") == EventPlace::kUnplaced);
}

// Guards against going back behind what the client of a stream says it has, and
// against a claim about gaps before anything shows how its ids rise.
TEST(EventOrder, AStreamThatIsTakenUpGoesOnAfterItsClientsEvent) {
  for (const char* next : {"8", "9", "12"}) {
    Stream stream("7");
    stream.Pass({next});
  }
  for (const char* earlier : {"1", "6"}) {
    Stream stream("7");
    CHECK(stream.Place(earlier) == EventPlace::kBehind);
  }
  Stream stream("7");
  CHECK(stream.Place("7") == EventPlace::kRepeated);
  stream.Pass({"8", "9"});
  stream.GoOn();
  CHECK(stream.Place("11") == EventPlace::kGap);
}

// Guards against an event that is missing where a client takes a stream up.
TEST(EventOrder, AStreamThatIsTakenUpHasNoGapWhereIdsAreConsecutive) {
  Stream seen;
  for (std::uint32_t id = 1; id <= er::kMinConsecutiveSteps + 1; ++id)
    seen.Pass({std::to_string(id)});
  Stream stream("7");
  stream.rise = JudgeAlone(seen);
  CHECK(stream.Place("9") == EventPlace::kGap);
  stream.Pass({"8"});
}

// Guards against refusing sound streams of a service whose ids count tokens,
// though those of this one have risen by one so far.
TEST(EventOrder, AServiceWhoseIdsLeaveNumbersOutShowsNoGaps) {
  Stream seen;
  for (std::uint32_t id = 1; id <= er::kMinConsecutiveSteps + 1; ++id)
    seen.Pass({std::to_string(id)});
  seen.Pass({std::to_string(er::kMinConsecutiveSteps + 4)});
  Stream taken_up("7");
  taken_up.rise = JudgeAlone(seen);
  taken_up.Pass({"9"});
  Stream stream;
  stream.rise = taken_up.rise;
  stream.Pass({"1", "2"});
  stream.GoOn();
  stream.Pass({"4"});
}

// Guards against an event that is missing within a run, and against a run that
// is ended where fewer ids have been seen.
TEST(EventOrder, ANumberLeftOutWithinARunIsMissingWhereIdsFirmlyRiseByOne) {
  Stream stream;
  stream.rise = er::IdRise::kFirmlyByOne;
  stream.Pass({"1", "2"});
  CHECK(stream.Place("4") == EventPlace::kMissing);
  CHECK(er::EndsRun(EventPlace::kMissing));
  CHECK(stream.steps.leaves_out);
  stream.GoOn();
  stream.Pass({"3", "4"});
  Stream early;
  early.rise = er::IdRise::kByOne;
  early.Pass({"1", "2", "4"});
}

// Guards against events without an id that make their neighbours' ids count as
// leaving numbers out.
TEST(EventOrder, APingBetweenTwoIdsLeavesNothingOut) {
  Stream stream;
  stream.Pass({"1", "2", "", "3"});
  CHECK_FALSE(stream.steps.leaves_out);
  stream.GoOn();
  CHECK(stream.Place("5") == EventPlace::kGap);
}

// Guards against a habit that a faulty seam teaches.
TEST(EventOrder, AGapAtASeamShowsNothingOfTheService) {
  Stream stream("7");
  stream.Pass({"9"});
  CHECK_FALSE(stream.steps.leaves_out);
  stream.Pass({"10"});
  LONGS_EQUAL(1, stream.steps.by_one);
}

// Guards against ids that are no numbers being compared as numbers.
TEST(EventOrder, IdsThatAreNoNumbersAreEqualOrUnknown) {
  Stream stream;
  stream.Pass({"a", "b"});
  CHECK(stream.Place("b") == EventPlace::kRepeated);
  stream.GoOn();
  stream.Pass({"c"});
  stream.GoOn();
  CHECK(stream.Place("4") == EventPlace::kUnplaced);
  Stream huge;
  huge.Pass({"18446744073709551616", "18446744073709551617"});
}

// Guards against joining runs of two versions, and against refusing sound ones
// while a single version serves.
TEST(EventOrder, OnlyRunsOfTheStreamsVersionJoin) {
  constexpr er::SoftwareVersion kUnknown = er::kUnknownVersion;
  for (const bool several : {false, true}) {
    CHECK(er::MayJoinVersions(kFirstVersion, kFirstVersion, several));
    CHECK_FALSE(er::MayJoinVersions(kFirstVersion, kSecondVersion, several));
    CHECK_EQUAL(!several,
                er::MayJoinVersions(kFirstVersion, kUnknown, several));
    CHECK_EQUAL(!several,
                er::MayJoinVersions(kUnknown, kFirstVersion, several));
  }
}

namespace {

// A stream after `ids`, sent by "a", while other endpoints can be asked.
Stream MakeStreamOf(const std::vector<std::string>& ids) {
  Stream stream;
  stream.may_ask = true;
  stream.GoOn("a");
  stream.Pass(ids);
  return stream;
}

}  // namespace

// Guards against an event that is missing before ids have shown how they rise.
TEST(EventOrder, AStepOverANumberIsInDoubtUntilAnotherEndpointShowsIt) {
  Stream stream = MakeStreamOf({"1", "2", "3"});
  CHECK(stream.Place("5") == EventPlace::kInDoubt);
  CHECK(er::EndsRun(EventPlace::kInDoubt));
  STRCMP_EQUAL("2", er::IdToGoOnAfter(stream.position).c_str());
  stream.GoOn("b");
  CHECK(stream.Place("3") == EventPlace::kRepeated);
  stream.Pass({"4", "5"});
  STRCMP_EQUAL("5", er::IdToGoOnAfter(stream.position).c_str());
}

// Guards against losing sound streams whose ids count tokens, also where those
// have risen by one for long.
TEST(EventOrder,
     TwoEndpointsThatLeaveOutTheSameNumberShowThatNothingIsMissing) {
  for (const er::IdRise rise :
       {er::IdRise::kUnknown, er::IdRise::kByOne, er::IdRise::kFirmlyByOne}) {
    Stream stream = MakeStreamOf({"1", "2", "3"});
    stream.rise = rise;
    CHECK(er::EndsRun(stream.Place("5")));
    stream.GoOn("b");
    CHECK(stream.Place("3") == EventPlace::kRepeated);
    stream.Pass({"5", "6"});
  }
}

// Guards against taking an endpoint's own word for another one's.
TEST(EventOrder, AnEndpointDoesNotConfirmItself) {
  Stream stream = MakeStreamOf({"1", "2", "3"});
  stream.rise = er::IdRise::kFirmlyByOne;
  CHECK(stream.Place("5") == EventPlace::kMissing);
  stream.GoOn("a");
  CHECK(stream.Place("3") == EventPlace::kRepeated);
  CHECK(er::EndsRun(stream.Place("5")));
}

// Guards against an endpoint that leaves out what it is asked for, and so seems
// to confirm that nothing is missing.
TEST(EventOrder, AStepAtASeamConfirmsNoStepWithinARun) {
  Stream stream = MakeStreamOf({"1", "2", "3"});
  CHECK(stream.Place("5") == EventPlace::kInDoubt);
  stream.GoOn("b");
  CHECK(er::EndsRun(stream.Place("5")));
}

// Guards against an endpoint that is not joined since it repeats the event that
// it is asked to go on after.
TEST(EventOrder, TheEventBeforeAStepInDoubtMayBeRepeated) {
  Stream stream = MakeStreamOf({"1", "2", "3"});
  CHECK(stream.Place("5") == EventPlace::kInDoubt);
  stream.GoOn("b");
  CHECK(stream.Place("2") == EventPlace::kRepeated);
  CHECK(stream.Place("3") == EventPlace::kRepeated);
  stream.Pass({"4"});
}

// Guards against questions that nothing calls for, or that can't be asked.
TEST(EventOrder, AStepOverANumberFollowsWhereNothingIsAsked) {
  Stream alone = MakeStreamOf({"1", "2"});
  alone.may_ask = false;
  alone.Pass({"4"});
  Stream uneven = MakeStreamOf({"5"});
  uneven.Pass({"10", "15"});
  Stream known = MakeStreamOf({"1", "2"});
  known.rise = er::IdRise::kLeavesOut;
  known.Pass({"4"});
  Stream with_ping = MakeStreamOf({"1", "2", "", "3"});
  with_ping.Pass({"5"});
  Stream of_a_peer = MakeStreamOf({"1"});
  of_a_peer.GoOn("");
  of_a_peer.Pass({"2", "4"});
}

// Guards against an event that is missing where a client takes a stream up,
// before ids have shown how they rise.
TEST(EventOrder, AStepInDoubtWhereAStreamIsTakenUpIsDecidedByAnotherEndpoint) {
  for (const char* next : {"8", "9"}) {
    Stream stream("7");
    stream.may_ask = true;
    stream.GoOn("a");
    CHECK(stream.Place("9") == EventPlace::kInDoubt);
    STRCMP_EQUAL("7", er::IdToGoOnAfter(stream.position).c_str());
    stream.GoOn("b");
    stream.Pass({next});
  }
}

// Guards against an event that is missing where a stream broke off since nobody
// else could be asked, and against losing one whose ids count tokens.
TEST(EventOrder, AClientThatTakesAStreamUpAsksAboutTheStepInDoubt) {
  Stream begun = MakeStreamOf({"1", "2", "3"});
  CHECK(begun.Place("5") == EventPlace::kInDoubt);
  CHECK(er::CanClientAsk(begun.position));
  for (const char* next : {"4", "5"}) {
    Stream stream("3");
    er::TakeUpInDoubt(stream.position, *begun.position.doubt);
    STRCMP_EQUAL("2", er::IdToGoOnAfter(stream.position).c_str());
    stream.GoOn("b");
    CHECK(stream.Place("3") == EventPlace::kRepeated);
    stream.Pass({next, "6"});
  }
}

// The same where a step over a number comes right behind the event after which
// a stream was taken up.
TEST(EventOrder, TwoEndpointsThatAClientAskedInTurnAreBelieved) {
  Stream begun("7");
  begun.may_ask = true;
  begun.GoOn("a");
  CHECK(begun.Place("9") == EventPlace::kInDoubt);
  CHECK(er::CanClientAsk(begun.position));
  Stream stream("7");
  er::TakeUpInDoubt(stream.position, *begun.position.doubt);
  STRCMP_EQUAL("7", er::IdToGoOnAfter(stream.position).c_str());
  stream.GoOn("b");
  stream.Pass({"9"});
}

// Guards against a doubt that is carried to another place of a stream, or that
// can't be told from the last id alone.
TEST(EventOrder, AStepInDoubtBelongsToItsEvent) {
  const er::StepInDoubt doubt{
      .from = 3, .to = 5, .source = "a", .is_own = true};
  for (const char* last : {"2", "4", "03", "", "x"}) {
    Stream stream(last);
    er::TakeUpInDoubt(stream.position, doubt);
    CHECK_FALSE(stream.position.doubt.has_value());
  }
  CHECK_FALSE(er::CanClientAsk(MakeStreamOf({"1"}).position));
  CHECK_FALSE(er::CanClientAsk(MakeStreamOf({"a", "b"}).position));
  CHECK(er::CanClientAsk(MakeStreamOf({"1", "2"}).position));
}

// Guards against a stream that is told as whole by an endpoint that leaves out
// what it is asked for, and against sound ends that are never believed.
TEST(EventOrder, AnEndInDoubtIsShownBehindTheLastEvent) {
  Stream stream = MakeStreamOf({"1", "2", "3"});
  CHECK(er::PutEndInDoubt(stream.position, "b", er::IdRise::kUnknown));
  STRCMP_EQUAL("2", er::IdToGoOnAfter(stream.position).c_str());
  stream.GoOn("c");
  CHECK(er::IsEndRefuted(stream.position, std::nullopt));
  CHECK(er::IsEndRefuted(stream.position, stream.run));
  CHECK(stream.Place("3") == EventPlace::kRepeated);
  CHECK_FALSE(er::IsEndRefuted(stream.position, stream.run));
  stream.Pass({"4"});
  CHECK_FALSE(stream.position.doubt.has_value());
}

// Guards against asking after an id that no event has.
TEST(EventOrder, AnEndIsInDoubtOnlyWhereTheEventBeforeIsKnown) {
  Stream taken_up("7");
  CHECK_FALSE(er::PutEndInDoubt(taken_up.position, "b", er::IdRise::kUnknown));
  CHECK_FALSE(
      er::PutEndInDoubt(taken_up.position, "b", er::IdRise::kLeavesOut));
  CHECK(er::PutEndInDoubt(taken_up.position, "b", er::IdRise::kByOne));
  STRCMP_EQUAL("6", er::IdToGoOnAfter(taken_up.position).c_str());
  CHECK_FALSE(er::PutEndInDoubt(taken_up.position, "c", er::IdRise::kByOne));
  Stream first = MakeStreamOf({"1"});
  CHECK_FALSE(er::PutEndInDoubt(first.position, "b", er::IdRise::kByOne));
  Stream uneven = MakeStreamOf({"5", "10", "15"});
  CHECK(er::PutEndInDoubt(uneven.position, "b", er::IdRise::kLeavesOut));
  STRCMP_EQUAL("10", er::IdToGoOnAfter(uneven.position).c_str());
}

// Guards against events without an id that come twice, since an endpoint was
// asked from the event before the last one.
TEST(EventOrder, EventsWithoutIdBeforeTheLastOneAreNotSentTwice) {
  Stream stream("14");
  CHECK(er::PutEndInDoubt(stream.position, "a", er::IdRise::kByOne));
  STRCMP_EQUAL("13", er::IdToGoOnAfter(stream.position).c_str());
  stream.GoOn("b");
  CHECK(stream.Place("") == EventPlace::kRepeated);
  CHECK(stream.Place("") == EventPlace::kRepeated);
  CHECK(stream.Place("14") == EventPlace::kRepeated);
  CHECK_FALSE(er::IsEndRefuted(stream.position, stream.run));
  stream.Pass({""});
}
