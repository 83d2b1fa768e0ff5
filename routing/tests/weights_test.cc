#include "egretladder/routing/weights.h"

#include <CppUTest/TestHarness.h>

#include <memory>

#include "egretladder/routing/stream_records.h"

namespace er = egretladder::routing;

TEST_GROUP(Weights) {
  er::StreamRecords records;
  er::EndpointSet set;
  er::Time now{std::chrono::hours(1)};

  void Publish(const std::string& id, er::Weights weights) {
    er::EndpointEntry entry;
    entry.id = id;
    entry.service = "engines";
    entry.address = "127.0.0.1:1";
    entry.weights = weights;
    er::OnEntryPublished(set, entry, now);
    er::ObserveVersions(records, set, now);
  }
  er::WeightsKnowledge Known() const {
    return er::WeightsOf(records, set, "engines");
  }
};

// Guards against events of two versions that follow each other, and against
// refusing those of engines that state none.
TEST(Weights, OnlyStatedVersionsThatDifferDoNotFollow) {
  CHECK(er::MayFollow(7, 7));
  CHECK_FALSE(er::MayFollow(7, 8));
  CHECK(er::MayFollow(std::nullopt, 8));
  CHECK(er::MayFollow(7, std::nullopt));
}

// Guards against asking for the weights of streams that can have only one, and
// against not asking where an engine has said nothing so far.
TEST(Weights, WeightsAreInDoubtWhereAnyMayDiffer) {
  Publish("a", std::nullopt);
  CHECK_FALSE(Known().is_in_doubt);
  Publish("b", 7);
  CHECK(Known().is_in_doubt);
  Publish("a", 7);
  CHECK_FALSE(Known().is_in_doubt);
  CHECK(Known().only == er::Weights(7));
}

// Guards against forgetting weights whose streams are still taken up.
TEST(Weights, WeightsThatServedOfLateStayInDoubt) {
  Publish("a", 7);
  Publish("a", 8);
  CHECK(Known().is_in_doubt);
  now += er::kStreamRetention;
  Publish("a", 8);
  CHECK_FALSE(Known().is_in_doubt);
}
