#include "egretladder/routing/stream_ends.h"

#include <CppUTest/TestHarness.h>

namespace er = egretladder::routing;
using er::EndVerdict;

namespace {

er::StreamEnds Framing(std::uint32_t framed, std::uint32_t bare) {
  er::StreamEnds ends;
  for (std::uint32_t i = 0; i < framed; ++i) er::OnStreamFraming(ends, true);
  for (std::uint32_t i = 0; i < bare; ++i) er::OnStreamFraming(ends, false);
  return ends;
}

// What a node knows of one endpoint and its service.
struct Known {
  er::StreamEnds endpoint;
  er::StreamEnds service;
};

void Confirm(Known& known, std::uint32_t count) {
  for (std::uint32_t i = 0; i < count; ++i)
    er::OnEndConfirmed(known.endpoint, known.service);
}

Known Confirmed(std::uint32_t count) {
  Known known{Framing(0, count), Framing(0, count)};
  Confirm(known, count);
  return known;
}

Known Cutting() {
  Known known = Confirmed(er::kMinConfirmedEnds);
  er::OnCutFound(known.endpoint, known.service);
  return known;
}

// Returns what is known of a service once two endpoints were found to cut.
er::StreamEnds AfterCutsOfTwo(er::StreamEnds service) {
  for (int i = 0; i < 2; ++i) {
    er::StreamEnds endpoint;
    er::OnCutFound(endpoint, service);
  }
  return service;
}

EndVerdict Judge(const er::StreamEnds& endpoint, const er::StreamEnds& service,
                 bool can_be_asked_for = true) {
  return er::JudgeBareEnd({endpoint, service, can_be_asked_for, false, false});
}
EndVerdict Judge(const Known& known, bool can_be_asked_for = true) {
  return Judge(known.endpoint, known.service, can_be_asked_for);
}
EndVerdict JudgeEmpty(const Known& known, bool is_second) {
  return er::JudgeBareEnd(
      {known.endpoint, known.service, true, true, is_second});
}

}  // namespace

TEST_GROUP(StreamEnds){};

// Guards against an end that counts as whole since its process lives, where the
// service's streams state their ends otherwise.
TEST(StreamEnds, ABareEndAmongFramedOnesIsDoubted) {
  const er::StreamEnds service = Framing(9 * 9, 9);
  CHECK(Judge(Framing(0, 1), service) == EndVerdict::kDoubted);
  CHECK(Judge(Framing(8, 1), service) == EndVerdict::kDoubted);
  CHECK(Judge(Framing(0, 1), Framing(3, 1)) == EndVerdict::kUnknown);
}

// Guards against sound streams that are broken off, of an engine that states no
// ends among others that do.
TEST(StreamEnds, AnEndpointIsJudgedByItsOwnHabit) {
  const er::StreamEnds service = Framing(90, 10);
  CHECK(Judge(Framing(0, er::kMinCountedEnds), service) ==
        EndVerdict::kUnknown);
  CHECK(Judge(Confirmed(er::kMinCountedEnds).endpoint, service) ==
        EndVerdict::kSample);
}

// Guards against an endpoint that is believed after it was found to cut.
TEST(StreamEnds, AnEndpointThatCutsIsDoubted) {
  CHECK(Judge(Cutting()) == EndVerdict::kDoubted);
  CHECK(Judge(Cutting(), false) == EndVerdict::kDoubted);
}

// Guards against ends of other endpoints that are believed once some were found
// to cut, though all of them may, and against sound ones that stay doubted.
TEST(StreamEnds, CutsPutTheOthersInDoubtUntilTheyAreConfirmedAgain) {
  Known other = Confirmed(er::kMaxConfirmedEnds);
  other.service = AfterCutsOfTwo(other.service);
  CHECK(Judge(other) == EndVerdict::kDoubted);
  CHECK(Judge(Framing(0, 1), other.service) == EndVerdict::kDoubted);
  Confirm(other, er::kMinConfirmedEnds - 1);
  CHECK(Judge(other) == EndVerdict::kDoubted);
  Confirm(other, 1);
  CHECK(Judge(other) == EndVerdict::kUnknown);
}

// Guards against sound endpoints that one faulty one keeps in doubt.
TEST(StreamEnds, AnotherCutOfAKnownOneDoubtsNobodyElse) {
  Known cutting = Cutting();
  Known other{{}, cutting.service};
  Confirm(other, er::kMinConfirmedEnds);
  cutting.service = other.service;
  er::OnCutFound(cutting.endpoint, cutting.service);
  other.service = cutting.service;
  CHECK(Judge(other) == EndVerdict::kUnknown);
}

// Guards against a service with many endpoints that asks for all ends, as few
// come from each, and has no retries left for faults.
TEST(StreamEnds, EndpointsVouchForEachOtherWhereNobodyCuts) {
  const er::StreamEnds service = Confirmed(er::kMaxConfirmedEnds).service;
  CHECK(Judge(Framing(0, 1), service) == EndVerdict::kSample);
}

// Guards against sound streams of a whole service that are broken off for one
// endpoint that cuts, and against ends that are only sampled beside it.
TEST(StreamEnds, OneThatCutsPutsNoOtherInDoubt) {
  Known other = Confirmed(er::kMaxConfirmedEnds);
  er::StreamEnds cutting;
  er::OnCutFound(cutting, other.service);
  CHECK(Judge(other) == EndVerdict::kUnknown);
}

// Guards against an endpoint that is doubted for ever.
TEST(StreamEnds, ACutIsForgottenAfterManyConfirmedEnds) {
  Known known = Cutting();
  Confirm(known, er::kMaxConfirmedEnds - 1);
  CHECK(Judge(known) == EndVerdict::kDoubted);
  Confirm(known, 1);
  CHECK(Judge(known) == EndVerdict::kSample);
}

// Guards against sound streams that can't be asked for and are broken off.
TEST(StreamEnds, OneThatCantBeAskedForIsWholeUnlessItsEndpointsCut) {
  CHECK(Judge(Framing(8, 1), Framing(90, 10), false) == EndVerdict::kWhole);
  CHECK(Judge(Cutting(), false) == EndVerdict::kDoubted);
}

// Guards against an endpoint that cuts before the first event and is taken for
// one that has nothing left.
TEST(StreamEnds, NothingLeftIsASecondWordUnlessTheEndpointCuts) {
  const Known framing{Framing(90, 10), Framing(90, 10)};
  CHECK(JudgeEmpty(framing, true) == EndVerdict::kWhole);
  CHECK(JudgeEmpty(framing, false) == EndVerdict::kUnknown);
  CHECK(JudgeEmpty({Framing(0, 9), Framing(0, 9)}, false) ==
        EndVerdict::kWhole);
  CHECK(JudgeEmpty({{}, Cutting().service}, false) == EndVerdict::kUnknown);
  CHECK(JudgeEmpty({{}, AfterCutsOfTwo({})}, true) == EndVerdict::kUnknown);
  CHECK(JudgeEmpty(Cutting(), true) == EndVerdict::kUnknown);
  CHECK(JudgeEmpty(Cutting(), false) == EndVerdict::kDoubted);
}

// Guards against a habit of long ago that outweighs the present one.
TEST(StreamEnds, FramingOfLongAgoIsForgotten) {
  er::StreamEnds ends = Framing(er::kMaxCountedEnds, er::kMaxCountedEnds);
  CHECK(Judge(ends, ends) == EndVerdict::kUnknown);
}
