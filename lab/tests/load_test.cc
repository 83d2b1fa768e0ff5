#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "egretladder/lab/load_account.h"
#include "egretladder/lab/load_profile.h"

using namespace std::chrono_literals;
namespace el = egretladder::lab;

TEST_GROUP(LoadProfile) {
  std::string text_ =
      "[load]\nseed = 7\nduration = 20s\n[flow]\n"
      "checks = class=record-check model=m accounts=big:9,small rate=10 "
      "burst_at=5s burst_for=5s burst_rate=100 prompt=100 output=40 tail=1\n";

  el::LoadProfile Read() { return el::ReadLoadProfile(text_, "p.ini").value(); }
};

TEST(LoadProfile, TheSameSeedPlansTheSameCalls) {
  const auto one = el::PlanCalls(Read());
  const auto two = el::PlanCalls(Read());
  CHECK_EQUAL(one.size(), two.size());
  for (std::size_t i = 0; i < one.size(); ++i) {
    CHECK(one[i].at == two[i].at);
    CHECK_EQUAL(one[i].output_tokens, two[i].output_tokens);
  }
  text_.replace(text_.find("seed = 7"), 8, "seed = 8");
  CHECK(el::PlanCalls(Read()).front().at != one.front().at);
}

TEST(LoadProfile, ABurstRaisesTheRateWhileItLasts) {
  const auto calls = el::PlanCalls(Read());
  const auto within = [&calls](std::chrono::microseconds from,
                               std::chrono::microseconds to) {
    return std::count_if(calls.begin(), calls.end(), [&](const auto& call) {
      return call.at >= from && call.at < to;
    });
  };
  CHECK(within(0s, 5s) > 25 && within(0s, 5s) < 80);
  CHECK(within(5s, 10s) > 400 && within(5s, 10s) < 600);
}

TEST(LoadProfile, LengthsHaveALongTailAndAccountsTheirWeights) {
  const auto calls = el::PlanCalls(Read());
  std::vector<std::uint32_t> lengths;
  std::size_t big = 0;
  for (const auto& call : calls) {
    lengths.push_back(call.output_tokens);
    if (call.account == 0) ++big;
  }
  std::sort(lengths.begin(), lengths.end());
  const std::uint32_t median = lengths[lengths.size() / 2];
  CHECK(median > 30 && median < 50);
  CHECK(lengths.back() > 5 * median);
  CHECK(big > calls.size() * 8 / 10 && big < calls.size());
}

TEST(LoadProfile, CallsOfOneAccountShareAPrefixAndNothingElse) {
  el::LoadProfile profile = Read();
  profile.flows[0].prefix = 32;
  const el::PlannedCall call{0us, 0, 0, 16, 1};
  const std::string one = el::PromptOf(profile, call, 1);
  const std::string two = el::PromptOf(profile, call, 2);
  CHECK(one.substr(0, 128) == two.substr(0, 128));
  CHECK(one.substr(128) != two.substr(128));
  CHECK_EQUAL(192U, one.size());
}

TEST(LoadProfile, AFaultNamesFileAndLine) {
  text_.replace(text_.find("rate=10"), 7, "rate=ab");
  const auto read = el::ReadLoadProfile(text_, "p.ini");
  STRCMP_EQUAL("p.ini:5", read.error().peer.c_str());
  CHECK_FALSE(el::ReadLoadProfile("[load]\nsede = 1\n", "p.ini").has_value());
  CHECK_FALSE(
      el::ReadLoadProfile("[flow]\na = class=c rate=1\n", "p.ini").has_value());
}

TEST_GROUP(LoadAccount) {
  el::ClassAccount account_{.targets = {1, 800ms, 60ms}};

  static el::CallSeen Served(std::chrono::microseconds first,
                             std::chrono::microseconds gap) {
    return {el::CallEnd::kServed, first, {gap, gap}, 3};
  }
};

TEST(LoadAccount, InTimeNeedsTheFirstTokenAndTheMeanGap) {
  CHECK_TRUE(el::IsInTime(account_.targets, Served(800ms, 60ms)));
  CHECK_FALSE(el::IsInTime(account_.targets, Served(801ms, 1ms)));
  CHECK_FALSE(el::IsInTime(account_.targets, Served(1ms, 61ms)));
  el::CallSeen cut = Served(1ms, 1ms);
  cut.end = el::CallEnd::kCut;
  CHECK_FALSE(el::IsInTime(account_.targets, cut));
}

// A scheduler sheds most calls and answers the rest fast. Its table must not
// look better than that of one that answers all.
TEST(LoadAccount, AttainmentIsOutOfAllCallsSent) {
  el::Record(account_, Served(1ms, 1ms));
  el::Record(account_, {el::CallEnd::kShed, {}, {}, 0});
  el::Record(account_, {el::CallEnd::kUnknown, {}, {}, 0});
  el::Record(account_, Served(900ms, 1ms));
  DOUBLES_EQUAL(0.25, el::AttainmentOf(account_), 1e-9);
  CHECK_EQUAL(4U, account_.sent);
  CHECK_EQUAL(2U, account_.served);
  CHECK_EQUAL(1U, account_.shed);
  CHECK_EQUAL(1U, account_.unknown);
  CHECK_EQUAL(6U, account_.tokens);
  CHECK_EQUAL(3U, account_.tokens_in_time);
}

TEST(LoadAccount, QuantilesAreByNearestRank) {
  std::vector<std::chrono::microseconds> samples;
  CHECK(el::QuantileOf(samples, 0.5) == 0us);
  for (int i = 100; i >= 1; --i) samples.emplace_back(i);
  CHECK(el::QuantileOf(samples, 0.5) == 50us);
  CHECK(el::QuantileOf(samples, 0.99) == 99us);
  CHECK(el::QuantileOf(samples, 1) == 100us);
}

TEST(LoadAccount, TheTableListsTheTopTierFirst) {
  el::LoadAccount load;
  load.classes["a-bulk"].targets.tier = 5;
  load.classes["question"].targets.tier = 1;
  const std::string table = el::TableOf(load, "ladder", 10s);
  CHECK(table.find("question") < table.find("a-bulk"));
  STRCMP_CONTAINS("\"attainment\":1.0", el::JsonOf(load, "x", 10s).c_str());
}
