#include "egretladder/lab/engine_model.h"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <string>
#include <vector>

using namespace std::chrono_literals;
namespace ek = egretladder::kernel;
namespace el = egretladder::lab;

TEST_GROUP(EngineModel) {
  ek::ManualClock clock_;
  el::EngineOptions options_;
  el::EngineState engine_;
  std::vector<el::EngineCallId> lost_;
  std::vector<el::EngineToken> tokens_;

  void Start() { engine_ = el::StartEngine(options_, 1, clock_.now); }

  el::SubmitResult Submit(el::EngineCallId id, std::uint32_t output,
                          std::uint32_t priority = 0,
                          const std::string& prompt = "") {
    el::EngineCall call;
    call.id = id;
    call.priority = priority;
    call.blocks = el::PromptBlocks(prompt);
    call.prompt_tokens = static_cast<std::uint32_t>(prompt.size() / 4);
    call.output_tokens = output;
    return el::Submit(engine_, call, clock_.now, lost_);
  }

  void Run(std::chrono::milliseconds time) {
    ek::Advance(clock_, time);
    el::Advance(engine_, clock_.now, tokens_);
  }

  std::chrono::nanoseconds StepTime() {
    return *el::NextStepEnd(engine_) - clock_.now;
  }
};

TEST(EngineModel, AStepGivesEachRunningCallOneTokenAndGrowsWithTheBatch) {
  Start();
  Submit(1, 3);
  const auto alone = StepTime();
  Run(9ms);
  CHECK_EQUAL(1U, tokens_.size());
  Submit(2, 3);
  Submit(3, 3);
  Run(100ms);
  CHECK_EQUAL(9U, tokens_.size());
  CHECK_TRUE(tokens_.back().last);
  CHECK_EQUAL(3U, engine_.counts.finished);
  CHECK_FALSE(el::NextStepEnd(engine_).has_value());
  for (el::EngineCallId id = 4; id < 20; ++id) Submit(id, 50);
  Run(10ms);
  CHECK(StepTime() > alone);
}

TEST(EngineModel, ACachedPrefixShortensThePrefill) {
  Start();
  const std::string record(8000, 'r');
  Submit(1, 1, 0, record);
  const auto first = StepTime();
  Run(200ms);
  Submit(2, 1, 0, record + "other question");
  CHECK(StepTime() < first);
  CHECK_EQUAL(2000U, engine_.counts.cached_tokens);
}

TEST(EngineModel, TheCacheDropsWhatWasUsedLeastRecently) {
  options_.cache_tokens = 64;
  Start();
  const std::string a(256, 'a');
  const std::string b(256, 'b');
  Submit(1, 1, 0, a);
  Run(100ms);
  Submit(2, 1, 0, b);
  Run(100ms);
  Submit(3, 1, 0, a);
  CHECK_EQUAL(0U, engine_.counts.cached_tokens);
}

// A burst of low-priority work waits in the engine when an urgent call comes.
// Without priorities the urgent caller waits behind all of the burst.
TEST(EngineModel, TheHigherPriorityLeavesTheQueueFirst) {
  options_.max_batch = 1;
  Start();
  Submit(1, 1, 4);
  Submit(2, 1, 4);
  Submit(3, 1, 0);
  Run(100ms);
  CHECK_EQUAL(3U, tokens_.size());
  CHECK_EQUAL(3U, tokens_[1].call);
}

// An engine that has just started gets the work of a warm one. It falls over
// and every caller on it loses the answer.
TEST(EngineModel, AColdEngineFallsOverWhenGivenMoreThanItBears) {
  options_.warm_tokens = 100;
  options_.cold_max_in_flight = 2;
  options_.boot = 1s;
  Start();
  CHECK(el::SubmitResult::kBooting == Submit(1, 5));
  Run(1000ms);
  CHECK(el::SubmitResult::kTaken == Submit(2, 5));
  CHECK(el::SubmitResult::kTaken == Submit(3, 5));
  CHECK(el::SubmitResult::kFellOver == Submit(4, 5));
  CHECK_EQUAL(3U, lost_.size());
  CHECK_EQUAL(2U, engine_.boot);
  CHECK(el::SubmitResult::kBooting == Submit(5, 5));
}

TEST(EngineModel, AWarmedEngineBearsAllAndIsFast) {
  options_.warm_tokens = 20;
  options_.cold_max_in_flight = 2;
  Start();
  Submit(1, 20);
  const auto cold = StepTime();
  Run(2000ms);
  CHECK_EQUAL(options_.max_batch + options_.max_waiting, el::BearsNow(engine_));
  Submit(2, 1);
  CHECK(StepTime() < cold);
  el::TurnCold(engine_);
  CHECK_EQUAL(2U, el::BearsNow(engine_));
}

// More calls come than an engine holds. Those beyond are refused unrun, so that
// the router may send them elsewhere.
TEST(EngineModel, AFullQueueRefusesUnrun) {
  options_.max_batch = 1;
  options_.max_waiting = 1;
  Start();
  Submit(1, 5);
  Submit(2, 5);
  CHECK(el::SubmitResult::kFull == Submit(3, 5));
  CHECK_EQUAL(2U, engine_.counts.taken);
}

// The caller hangs up. An engine that went on would generate for nobody while
// others wait.
TEST(EngineModel, ACancelledCallLeavesTheBatchAndIsCounted) {
  options_.max_batch = 1;
  Start();
  Submit(1, 1000);
  Submit(2, 1);
  Run(20ms);
  el::Cancel(engine_, 1, clock_.now);
  tokens_.clear();
  Run(20ms);
  CHECK_EQUAL(2U, tokens_.back().call);
  CHECK_EQUAL(1U, engine_.counts.cancelled);
  CHECK_EQUAL(2U, engine_.counts.cancelled_tokens);
}

// Reports lag: a router that trusts them as the present sends a burst to an
// engine that is full already.
TEST(EngineModel, AReportSaysWhatWasTrueSomeTimeAgo) {
  Start();
  el::ReportOf(engine_, clock_.now);
  Submit(1, 1000);
  Run(100ms);
  Run(100ms);
  CHECK_EQUAL(0U, el::ReportOf(engine_, clock_.now).running);
  Run(100ms);
  Run(100ms);
  const el::EngineReport later = el::ReportOf(engine_, clock_.now);
  CHECK_EQUAL(1U, later.running);
  CHECK(later.age >= options_.report_lag - options_.report_period);
}

// Two nodes both believe that they order an engine. The one that was paused
// comes back with an old number.
TEST(EngineModel, AnOldFencingNumberIsRefusedOnlyByEnginesThatHonourIt) {
  options_.models = {"trace"};
  Start();
  CHECK_TRUE(el::TakeOrder(engine_, {"load", "quotes", 7}, clock_.now));
  CHECK_FALSE(el::TakeOrder(engine_, {"unload", "trace", 6}, clock_.now));
  CHECK_TRUE(engine_.loaded.contains("trace"));
  engine_.options.honours_fencing = false;
  CHECK_TRUE(el::TakeOrder(engine_, {"unload", "trace", 6}, clock_.now));
  CHECK_FALSE(engine_.loaded.contains("trace"));
  CHECK_EQUAL(2U, engine_.counts.old_orders);
}

// A call comes for a model that the engine hasn't loaded. Taken, it would wait
// for weights that nobody ordered.
TEST(EngineModel, AModelThatIsNotLoadedIsRefusedUnrunUntilItIs) {
  options_.models = {"trace"};
  options_.max_loaded_models = 1;
  Start();
  CHECK(el::SubmitResult::kModelNotLoaded == Submit(1, 1));
  el::TakeOrder(engine_, {"load", "", 1}, clock_.now);
  CHECK(el::SubmitResult::kModelNotLoaded == Submit(2, 1));
  Run(2000ms);
  CHECK(el::SubmitResult::kTaken == Submit(3, 1));
  CHECK_EQUAL(1U, engine_.loaded.size());
}
