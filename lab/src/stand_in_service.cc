// A plain service over HTTP: takes any call, waits, records its run by key.
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <string>

#include "egretladder/lab/service_model.h"
#include "egretladder/lab/stand_in.h"
#include "stand_in_p.h"

namespace egretladder::lab {
namespace {

constexpr int kOk = 200;

struct ServiceOptions {
  std::string listen;
  std::string name = "service";
  std::uint32_t delay_ms = 20;
  std::uint64_t seed = 1;
};

struct PendingCall {
  std::unique_ptr<OpenCall> call;
  kernel::EventWatcher timer;
};

struct Service {
  kernel::Loop& loop;
  ServiceOptions options;
  ServiceModel model;
  FaultState faults;
  std::map<std::uint64_t, PendingCall> pending;
  std::uint64_t next_call = 1;
};

std::string KeyOf(evhttp_request* request) {
  std::string key = HeaderOf(request, "Idempotency-Key");
  if (!key.empty()) return key;
  rapidjson::Document document;
  document.Parse(BodyOf(request).c_str());
  if (document.HasParseError() || !document.IsObject()) return "";
  const auto member = document.FindMember("key");
  if (member == document.MemberEnd() || !member->value.IsString()) return "";
  return member->value.GetString();
}

std::string AnswerOf(const Service& service, const std::string& key,
                     std::uint32_t run) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> json(buffer);
  json.StartObject();
  json.Key("service");
  json.String(service.options.name.c_str());
  json.Key("key");
  json.String(key.c_str());
  json.Key("run");
  json.Uint(run);
  json.EndObject();
  return buffer.GetString();
}

void Finish(Service& service, std::uint64_t number, FaultKind fault,
            const std::string& answer) {
  const auto at = service.pending.find(number);
  if (at == service.pending.end()) return;
  // Taken out of the table first: the call may be freed with its watch.
  const PendingCall pending = std::move(at->second);
  service.pending.erase(at);
  if (pending.call->gone()) return;
  switch (fault) {
    case FaultKind::kGarbage:
      pending.call->Answer(kOk, "application/json", "\x01\xff{{garbage");
      return;
    case FaultKind::kHalf:
      pending.call->StartStream("application/json");
      pending.call->Chunk(answer.substr(0, answer.size() / 2));
      pending.call->Break();
      return;
    case FaultKind::kWrongLength:
      pending.call->AnswerWrongLength(answer);
      return;
    default:
      pending.call->Answer(kOk, "application/json", answer);
  }
}

void Take(Service& service, evhttp_request* request) {
  const std::string key = KeyOf(request);
  // A run counts from its start: the work is done even if nobody waits for the
  // answer.
  const std::uint32_t run =
      RecordRun(service.model, key, kernel::Now(service.loop.clock));
  const FaultKind fault = DrawFault(service.faults);
  const std::uint64_t number = service.next_call++;
  PendingCall& pending = service.pending[number];
  pending.call = std::make_unique<OpenCall>(request, nullptr);
  if (fault == FaultKind::kHang) return;
  const double factor =
      fault == FaultKind::kSlow ? service.faults.fault.factor : 1.0;
  const auto delay = std::chrono::milliseconds(
      static_cast<std::int64_t>(service.options.delay_ms * factor));
  pending.timer = kernel::RunAfter(
      service.loop, delay,
      [&service, number, fault, answer = AnswerOf(service, key, run)] {
        Finish(service, number, fault, answer);
      });
}

void OnRequest(Service& service, evhttp_request* request) {
  const std::string path = PathOf(request);
  AddStatement(request, service.faults);
  if (path == "/control") {
    TakeFault(request, service.faults);
  } else if (path == "/counts") {
    ReplyJson(request, kOk,
              CountsJson(service.model, !QueryOf(request, "keys").empty(),
                         kernel::Now(service.loop.clock)));
  } else if (!RefuseIfBusy(request, service.faults)) {
    Take(service, request);
  }
}

int RunService(const CommandArgs& args, const CommandStreams& streams) {
  ServiceOptions options;
  CLI::App app("Runs a plain service that records each run by its key.",
               "egretladder stand-in service");
  app.add_option("--listen", options.listen, "loopback IP:port")->required();
  app.add_option("--name", options.name, "named in its answers");
  app.add_option("--delay-ms", options.delay_ms, "work of one call");
  app.add_option("--seed", options.seed, "of the faults drawn");
  app.footer(
      "Example:\n  egretladder stand-in service --listen 127.0.0.1:9201 --name "
      "orders\n"
      "  curl 127.0.0.1:9201/control -d '{\"fault\":\"half\",\"share\":0.1}'\n"
      "  curl 127.0.0.1:9201/counts?keys=1");
  if (const auto code = ParseCommand(app, args, streams)) return *code;
  kernel::Loop loop = kernel::CreateLoop();
  Service service{loop, options, {}, {{}, kernel::Random(options.seed)}, {}, 1};
  return ServeUntilSignalled(
      loop, {options.listen},
      [&service](evhttp_request* request) { OnRequest(service, request); },
      streams);
}

constexpr StandInPlugin kTable{"a plain service that counts runs by key",
                               RunService};
const kernel::PluginRegistrar<StandInPlugin> kRegistrar("service", kTable);

}  // namespace
}  // namespace egretladder::lab
