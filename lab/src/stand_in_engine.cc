// A model engine over HTTP: the thin shell round engine_model.h.
#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <algorithm>
#include <cstdlib>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "egretladder/lab/config.h"
#include "egretladder/lab/stand_in.h"
#include "engine_wire_p.h"
#include "stand_in_p.h"

namespace egretladder::lab {
namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kConflict = 409;
constexpr int kCrashExitCode = 3;

struct ShellOptions {
  std::string listen;
  std::string poison;  ///< A prompt that holds it crashes the engine.
  std::uint64_t seed = 1;
  EngineOptions engine;
};

struct Answering {
  ChatRequest request;
  FaultKind fault = FaultKind::kNone;
  std::unique_ptr<OpenCall> call;
};

struct Engine {
  kernel::Loop& loop;
  ShellOptions options;
  EngineState model;
  FaultState faults;
  std::map<EngineCallId, Answering> calls;
  EngineCallId next_call = 1;
  kernel::EventWatcher step;
};

void ScheduleStep(Engine& engine);

void Finish(Engine& engine, EngineCallId id) {
  Answering& answering = engine.calls.at(id);
  if (answering.request.stream) {
    answering.call->EndStream();
  } else if (answering.fault == FaultKind::kWrongLength) {
    answering.call->AnswerWrongLength(WholeAnswer(answering.request, id));
  } else {
    answering.call->Answer(kOk, "application/json",
                           WholeAnswer(answering.request, id));
  }
  engine.calls.erase(id);
}

/// Breaks off a call that meets the `half` fault once half of it is generated.
bool BreaksHere(const Answering& answering, const EngineToken& token) {
  return answering.fault == FaultKind::kHalf &&
         token.index * 2 >= answering.request.output_tokens;
}

void Deliver(Engine& engine, const EngineToken& token) {
  const auto at = engine.calls.find(token.call);
  if (at == engine.calls.end()) return;
  Answering& answering = at->second;
  if (BreaksHere(answering, token)) {
    Cancel(engine.model, token.call, kernel::Now(engine.loop.clock));
    engine.calls.erase(at);
    return;
  }
  if (answering.request.stream) {
    if (token.index == 0) answering.call->StartStream("text/event-stream");
    answering.call->Chunk(answering.fault == FaultKind::kGarbage
                              ? std::string("\x01\xff}}garbage\n")
                              : StreamEvent(answering.request, token));
  }
  if (token.last) Finish(engine, token.call);
}

void RunSteps(Engine& engine) {
  std::vector<EngineToken> tokens;
  Advance(engine.model, kernel::Now(engine.loop.clock), tokens);
  for (const EngineToken& token : tokens) Deliver(engine, token);
  ScheduleStep(engine);
}

void ScheduleStep(Engine& engine) {
  const auto end = NextStepEnd(engine.model);
  if (!end) {
    engine.step = kernel::EventWatcher();
    return;
  }
  const auto wait = std::chrono::ceil<std::chrono::milliseconds>(
      *end - kernel::Now(engine.loop.clock));
  engine.step = kernel::RunAfter(engine.loop,
                                 std::max(wait, std::chrono::milliseconds(0)),
                                 [&engine] { RunSteps(engine); });
}

const char* WhyRefused(SubmitResult result) {
  switch (result) {
    case SubmitResult::kBooting:
      return "booting\n";
    case SubmitResult::kFull:
      return "full\n";
    case SubmitResult::kModelNotLoaded:
      return "model not loaded\n";
    default:
      return "refused\n";
  }
}

void Begin(Engine& engine, evhttp_request* request, ChatRequest chat) {
  const EngineCallId id = engine.next_call++;
  EngineCall call;
  call.id = id;
  call.priority = static_cast<std::uint32_t>(
      std::strtoul(HeaderOf(request, "X-Priority").c_str(), nullptr, 10));
  call.model = chat.model;
  call.blocks = PromptBlocks(chat.prompt);
  call.prompt_tokens =
      static_cast<std::uint32_t>(chat.prompt.size() / kCharsPerToken);
  call.output_tokens = chat.output_tokens;
  std::vector<EngineCallId> lost;
  const SubmitResult result = Submit(engine.model, std::move(call),
                                     kernel::Now(engine.loop.clock), lost);
  for (const EngineCallId gone : lost) engine.calls.erase(gone);
  if (result == SubmitResult::kFellOver) {
    evhttp_connection_free(evhttp_request_get_connection(request));
  } else if (result != SubmitResult::kTaken) {
    RefuseUnrun(request, WhyRefused(result));
  } else {
    Answering& answering = engine.calls[id];
    answering.request = std::move(chat);
    answering.fault = DrawFault(engine.faults);
    answering.call = std::make_unique<OpenCall>(request, [&engine, id] {
      Cancel(engine.model, id, kernel::Now(engine.loop.clock));
      engine.calls.erase(id);
    });
  }
  ScheduleStep(engine);
}

void TakeChat(Engine& engine, evhttp_request* request) {
  auto chat = ReadChatRequest(BodyOf(request));
  if (!chat) {
    Reply(request, kBadRequest, "text/plain",
          kernel::Describe(chat.error()) + "\n");
    return;
  }
  const std::string& poison = engine.options.poison;
  if (!poison.empty() &&
      chat.value().prompt.find(poison) != std::string::npos) {
    std::_Exit(kCrashExitCode);
  }
  Begin(engine, request, std::move(chat).value());
}

void TakeEngineOrder(Engine& engine, evhttp_request* request) {
  const auto order = ReadEngineOrder(BodyOf(request));
  if (!order) {
    Reply(request, kBadRequest, "text/plain",
          kernel::Describe(order.error()) + "\n");
    return;
  }
  const bool taken =
      TakeOrder(engine.model, order.value(), kernel::Now(engine.loop.clock));
  ReplyJson(request, taken ? kOk : kConflict, "{}");
}

void TakeControl(Engine& engine, evhttp_request* request) {
  TakeFault(request, engine.faults);
  Fault& fault = engine.faults.fault;
  engine.model.slow_factor =
      fault.kind == FaultKind::kSlow ? fault.factor : 1.0;
  if (fault.kind != FaultKind::kCold) return;
  TurnCold(engine.model);
  fault = {};
}

void OnRequest(Engine& engine, evhttp_request* request) {
  const std::string path = PathOf(request);
  AddStatement(request, engine.faults);
  if (path == "/v1/chat/completions") {
    if (RefuseIfBusy(request, engine.faults)) return;
    TakeChat(engine, request);
  } else if (path == "/report") {
    ReplyJson(
        request, kOk,
        ReportJson(ReportOf(engine.model, kernel::Now(engine.loop.clock))));
  } else if (path == "/orders") {
    TakeEngineOrder(engine, request);
  } else if (path == "/control") {
    TakeControl(engine, request);
  } else if (path == "/counts") {
    ReplyJson(request, kOk,
              EngineCountsJson(engine.model, kernel::Now(engine.loop.clock)));
  } else {
    Reply(request, HTTP_NOTFOUND, "text/plain", "no such path\n");
  }
}

struct TimeOptions {
  double boot_seconds = 0;
  double load_seconds = 2;
  double step_ms = 8;
  double step_per_call_us = 500;
  double prefill_us = 20;
  std::uint32_t report_lag_ms = 300;
  bool ignores_fencing = false;
};

void DeclareOptions(CLI::App& app, ShellOptions& options, TimeOptions& times) {
  EngineOptions& engine = options.engine;
  app.add_option("--listen", options.listen, "loopback IP:port")->required();
  app.add_option("--models", engine.models, "loaded at start; none: any")
      ->delimiter(',');
  app.add_option("--holds", engine.max_loaded_models,
                 "models in memory; 0: no limit");
  app.add_option("--max-batch", engine.max_batch, "calls in one step");
  app.add_option("--max-waiting", engine.max_waiting, "beyond: refused unrun");
  app.add_option("--step-ms", times.step_ms, "time of an empty step");
  app.add_option("--step-per-call-us", times.step_per_call_us,
                 "added for each running call");
  app.add_option("--prefill-us", times.prefill_us, "for each prompt token");
  app.add_option("--cache-tokens", engine.cache_tokens, "prefix cache");
  app.add_option("--boot-seconds", times.boot_seconds,
                 "refuses calls until the weights are loaded");
  app.add_option("--load-seconds", times.load_seconds, "of an ordered model");
  app.add_option("--cold-factor", engine.cold_factor, "slower when cold");
  app.add_option("--warm-tokens", engine.warm_tokens,
                 "generated until warm; 0: starts warm");
  app.add_option("--cold-bears", engine.cold_max_in_flight,
                 "calls in progress, cold, before it falls over; 0: never");
  app.add_option("--report-lag-ms", times.report_lag_ms, "of GET /report");
  app.add_flag("--ignores-fencing", times.ignores_fencing,
               "takes orders with an old fencing number");
  app.add_option("--poison", options.poison,
                 "a prompt that holds this text crashes the engine");
  app.add_option("--seed", options.seed, "of the faults drawn");
}

void ApplyTimes(const TimeOptions& times, EngineOptions& engine) {
  const auto micros = [](double value, double unit) {
    return std::chrono::microseconds(static_cast<std::int64_t>(value * unit));
  };
  constexpr double kMillisecond = 1e3;
  constexpr double kSecond = 1e6;
  engine.step_base = micros(times.step_ms, kMillisecond);
  engine.step_per_call = micros(times.step_per_call_us, 1);
  engine.prefill_per_token = micros(times.prefill_us, 1);
  engine.boot = std::chrono::duration_cast<std::chrono::milliseconds>(
      micros(times.boot_seconds, kSecond));
  engine.load = std::chrono::duration_cast<std::chrono::milliseconds>(
      micros(times.load_seconds, kSecond));
  engine.report_lag = std::chrono::milliseconds(times.report_lag_ms);
  engine.honours_fencing = !times.ignores_fencing;
}

int RunEngine(const CommandArgs& args, const CommandStreams& streams) {
  ShellOptions options;
  TimeOptions times;
  CLI::App app("Emulates a model engine: batches, caches, starts cold.",
               "egretladder stand-in engine");
  DeclareOptions(app, options, times);
  app.footer(
      "Example:\n  egretladder stand-in engine --listen 127.0.0.1:9101 "
      "--warm-tokens 2000 --cold-bears 8\n"
      "  curl 127.0.0.1:9101/control -d '{\"fault\":\"slow\",\"factor\":5}'\n"
      "  curl 127.0.0.1:9101/counts");
  if (const auto code = ParseCommand(app, args, streams)) return *code;
  ApplyTimes(times, options.engine);
  kernel::Loop loop = kernel::CreateLoop();
  Engine engine{loop,
                options,
                StartEngine(options.engine, kernel::SecureRandom64() >> 16U,
                            kernel::Now(loop.clock)),
                {{}, kernel::Random(options.seed)},
                {},
                1,
                {}};
  const kernel::EventWatcher reports = kernel::RunEvery(
      loop, options.engine.report_period,
      [&engine] { ReportOf(engine.model, kernel::Now(engine.loop.clock)); });
  return ServeUntilSignalled(
      loop, {options.listen},
      [&engine](evhttp_request* request) { OnRequest(engine, request); },
      streams);
}

constexpr StandInPlugin kTable{"a model engine that batches continuously",
                               RunEngine};
const kernel::PluginRegistrar<StandInPlugin> kRegistrar("engine", kTable);

}  // namespace
}  // namespace egretladder::lab
