#include "egretladder/routing/endpoint_notices.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
namespace er = egretladder::routing;

namespace {

constexpr er::Time kStart{std::chrono::hours(1)};

er::EndpointEntry MakeEntry(const std::string& id) {
  er::EndpointEntry entry;
  entry.id = id;
  entry.service = "engines";
  entry.address = "10.0.0.1:80";
  entry.zone = "a";
  entry.slots = 8;
  entry.started_unix_ms = 100;
  return entry;
}

}  // namespace

TEST_GROUP(EndpointNotices) {
  er::EndpointSet set;

  er::EndpointPtr Publish(const er::EndpointEntry& entry) {
    er::OnEntryPublished(set, entry, kStart);
    return set.by_id[entry.id];
  }
};

TEST(EndpointNotices, TheFirstStatementOfEachKindIsAChange) {
  const er::EndpointPtr endpoint = Publish(MakeEntry("x"));
  CHECK(er::OnNotice(set, *endpoint, {true, {}}, kStart).leaving);
  CHECK(!er::OnNotice(set, *endpoint, {true, {}}, kStart).leaving);
  CHECK(er::OnNotice(set, *endpoint, {false, 3s}, kStart).backoff);
  CHECK(!er::OnNotice(set, *endpoint, {false, 3s}, kStart + 10ms).backoff);
}

// Guards against an answer that was made earlier, or elsewhere in the endpoint,
// and ends what another answer stated.
TEST(EndpointNotices, AnswersWithoutNoticeRevokeNothing) {
  const er::EndpointPtr endpoint = Publish(MakeEntry("x"));
  er::OnNotice(set, *endpoint, {true, 3s}, kStart);
  er::OnNotice(set, *endpoint, {}, kStart + 10ms);
  er::OnNotice(set, *endpoint, {false, 1s}, kStart + 20ms);
  CHECK(endpoint->notices.leaving);
  CHECK(er::RemainingBackoff(*endpoint, kStart + 1s) == 2s);
  CHECK(er::RemainingBackoff(*endpoint, kStart + 3s) == 0ms);
}

// Guards against a notice that is held against an endpoint which has not given
// it: addresses are used again.
TEST(EndpointNotices, BelongToTheEndpointThatAnswered) {
  const er::EndpointPtr addressed = Publish(MakeEntry("x"));
  const er::EndpointPtr successor = Publish(MakeEntry("y"));
  CHECK(er::FindAnsweringEndpoint(set, addressed, "", false) == addressed);
  CHECK(er::FindAnsweringEndpoint(set, addressed, "x", true) == addressed);
  CHECK(er::FindAnsweringEndpoint(set, addressed, "", true) == successor);
  CHECK(er::FindAnsweringEndpoint(set, addressed, "y", true) == successor);
  CHECK(er::FindAnsweringEndpoint(set, addressed, "z", true) == nullptr);
}
