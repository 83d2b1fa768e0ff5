// The life of one call of the load tool: attempts, retries with the same key,
// and how it ended.
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include "load_run_p.h"

namespace egretladder::lab {
namespace {

using std::chrono::microseconds;

/// Attempts of one call. A careful caller gives up after a few.
constexpr std::uint32_t kMostAttempts = 4;
constexpr std::chrono::milliseconds kRetryPause{200};

const Flow& FlowOf(const LoadRun& run, const LoadCall& call) {
  return run.options.profile.flows[call.plan.flow];
}

std::string ChatBody(const LoadRun& run, const LoadCall& call) {
  const Flow& flow = FlowOf(run, call);
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> json(buffer);
  json.StartObject();
  json.Key("model");
  json.String(flow.model.c_str());
  json.Key("stream");
  json.Bool(flow.stream);
  json.Key("messages");
  json.StartArray();
  json.StartObject();
  json.Key("role");
  json.String("user");
  json.Key("content");
  json.String(PromptOf(run.options.profile, call.plan, call.number).c_str());
  json.EndObject();
  json.EndArray();
  json.Key("metadata");
  json.StartObject();
  json.Key("request");
  json.String(call.mark.c_str());
  json.Key("output_tokens");
  json.String(std::to_string(call.plan.output_tokens).c_str());
  json.EndObject();
  json.EndObject();
  return buffer.GetString();
}

/// Where the attempt goes; nothing when no endpoint serves it directly.
std::optional<Address> TargetOf(const LoadRun& run, const LoadCall& call) {
  if (!run.options.direct) {
    const auto& addresses = run.clients[call.client].addresses;
    return addresses[(call.attempts - 1) % addresses.size()];
  }
  const Flow& flow = FlowOf(run, call);
  const rules::Rules& rules = *run.options.rules;
  const rules::TargetHandle target =
      rules::FindTarget(rules, flow.model.empty() ? flow.service : flow.model);
  std::vector<std::string> serving;
  for (const rules::Endpoint& endpoint : rules.endpoints) {
    if (rules::Serves(endpoint, target)) serving.push_back(endpoint.address);
  }
  if (serving.empty()) return std::nullopt;
  const auto address =
      ParseLoopback(serving[(call.number + call.attempts) % serving.size()]);
  if (!address) return std::nullopt;
  return address.value();
}

std::string PathOf(const LoadRun& run, const Flow& flow) {
  if (!flow.model.empty()) return "/v1/chat/completions";
  const std::string path = "/" + flow.name;
  return run.options.direct ? path : "/svc/" + flow.service + path;
}

std::vector<HttpHeader> HeadersOf(const LoadRun& run, const LoadCall& call) {
  const Flow& flow = FlowOf(run, call);
  const rules::CallerHeaders& names = run.options.rules->headers;
  std::vector<HttpHeader> headers = {
      {names.account, flow.accounts[call.plan.account].account},
      {names.cls, flow.cls},
      {"Content-Type", "application/json"}};
  if (!flow.service.empty()) headers.push_back({"Idempotency-Key", call.key});
  if (!call.repeatable) headers.push_back({"Egretladder-Lane", call.lane});
  return headers;
}

void TakeChunk(LoadRun& run, std::uint64_t number, std::string_view bytes) {
  const auto at = run.calls.find(number);
  if (at == run.calls.end()) return;
  LoadCall& call = at->second;
  const std::uint32_t tokens = Scan(call.scan, bytes, call.mark);
  const Time now = kernel::Now(run.loop.clock);
  for (std::uint32_t i = 0; i < tokens; ++i) {
    if (!call.last_token) {
      call.seen.first_token =
          std::chrono::duration_cast<microseconds>(now - call.planned);
    } else {
      call.seen.gaps.push_back(
          std::chrono::duration_cast<microseconds>(now - *call.last_token));
    }
    call.last_token = now;
  }
}

void Remember(LoadRun& run, const LoadCall& call, KeyVerdict verdict) {
  if (call.repeatable || call.key.empty()) return;
  run.result.keys.push_back({call.key, verdict});
}

/// Goes on with the same key, so that a router may answer from what it kept.
void Retry(LoadRun& run, LoadCall& call, CallEnd otherwise) {
  if (call.attempts >= kMostAttempts) {
    EndCall(run, call.number, otherwise);
    return;
  }
  ++run.result.retries;
  ForgetWhere(run, call.client);
  call.scan = {};
  call.seen = {};
  call.last_token.reset();
  Delay(run, kRetryPause, [&run, number = call.number] {
    if (run.calls.contains(number)) PlaceCall(run, number);
  });
}

/// The request itself is at fault: to come back later would not help.
bool IsInvalidRequest(const std::string& code) {
  constexpr std::array<std::string_view, 8> kCodes = {
      "unknown_account", "unknown_class", "class_not_allowed", "unknown_target",
      "lane_missing",    "lane_invalid",  "lane_expired",      "key_reused"};
  return std::find(kCodes.begin(), kCodes.end(), code) != kCodes.end();
}

void OnError(LoadRun& run, LoadCall& call, const ErrorSeen& error) {
  const bool leaving = error.code == "leaving";
  if (error.not_run && leaving && call.attempts < kMostAttempts) {
    // Certain not to have run: a caller starts over with a new key.
    Remember(run, call, KeyVerdict::kNotRun);
    call.key.clear();
    call.lane.clear();
    Retry(run, call, CallEnd::kShed);
    return;
  }
  if (!error.not_run) {
    Retry(run, call, CallEnd::kUnknown);
    return;
  }
  EndCall(run, call.number,
          IsInvalidRequest(error.code) ? CallEnd::kRefused : CallEnd::kShed);
}

/// True when the answer is complete and belongs to this request.
bool IsOwnAnswer(const LoadRun& run, const LoadCall& call,
                 const std::string& body) {
  const Flow& flow = FlowOf(run, call);
  if (!flow.service.empty()) {
    return body.find("\"key\":\"" + call.key + "\"") != std::string::npos;
  }
  if (!flow.stream) {
    const std::string last =
        " w" + std::to_string(call.plan.output_tokens - 1) + "\"";
    return body.find(call.mark) != std::string::npos &&
           (call.plan.output_tokens == 1 ||
            body.find(last) != std::string::npos);
  }
  return call.scan.mark_seen && call.scan.tokens == call.plan.output_tokens;
}

void OnServed(LoadRun& run, LoadCall& call, const std::string& body) {
  const Flow& flow = FlowOf(run, call);
  const bool streamed = !flow.model.empty() && flow.stream;
  if (streamed && call.scan.error.is_error) {
    EndCall(run, call.number, CallEnd::kCut);
    return;
  }
  if (streamed && !call.scan.done) {
    EndCall(run, call.number, CallEnd::kCut);
    return;
  }
  if (!streamed) {
    call.seen.first_token = std::chrono::duration_cast<microseconds>(
        kernel::Now(run.loop.clock) - call.planned);
  }
  call.seen.tokens = flow.model.empty() ? 1 : call.plan.output_tokens;
  EndCall(run, call.number,
          IsOwnAnswer(run, call, body) ? CallEnd::kServed : CallEnd::kWrong);
}

void OnAnswer(LoadRun& run, std::uint64_t number, const HttpAnswer& answer) {
  const auto at = run.calls.find(number);
  if (at == run.calls.end()) return;
  LoadCall& call = at->second;
  if (answer.complete && answer.status == HTTP_OK) {
    OnServed(run, call, answer.body);
  } else if (call.scan.tokens > 0) {
    EndCall(run, number, CallEnd::kCut);
  } else if (!answer.complete) {
    Retry(run, call, CallEnd::kUnknown);
  } else {
    OnError(run, call, ReadError(answer.body));
  }
}

}  // namespace

void SendAttempt(LoadRun& run, std::uint64_t number) {
  const auto at = run.calls.find(number);
  if (at == run.calls.end()) return;
  LoadCall& call = at->second;
  ++call.attempts;
  if (call.key.empty()) {
    call.key = run.run_id + "-" + std::to_string(number) + "-" +
               std::to_string(call.attempts);
    if (!run.options.direct) call.lane = run.clients[call.client].lane;
  }
  const Flow& flow = FlowOf(run, call);
  HttpCall http;
  http.method = EVHTTP_REQ_POST;
  http.path = PathOf(run, flow);
  http.headers = HeadersOf(run, call);
  http.body = flow.model.empty() ? "{\"from\":\"" + call.mark + "\"}"
                                 : ChatBody(run, call);
  if (!flow.model.empty() && flow.stream) {
    http.on_chunk = [&run, number](std::string_view bytes) {
      TakeChunk(run, number, bytes);
    };
  }
  http.on_done = [&run, number](const HttpAnswer& answer) {
    OnAnswer(run, number, answer);
  };
  const auto target = TargetOf(run, call);
  if (!target || !run.http.Send(*target, std::move(http))) {
    EndCall(run, number, CallEnd::kNotSent);
  }
}

void EndCall(LoadRun& run, std::uint64_t number, CallEnd end) {
  const auto at = run.calls.find(number);
  if (at == run.calls.end()) return;
  LoadCall& call = at->second;
  call.seen.end = end;
  Record(run.result.account.classes[FlowOf(run, call).cls], call.seen);
  const bool not_run = end == CallEnd::kShed || end == CallEnd::kRefused;
  Remember(run, call,
           end == CallEnd::kServed ? KeyVerdict::kServed
           : not_run               ? KeyVerdict::kNotRun
                                   : KeyVerdict::kUnknown);
  run.calls.erase(at);
}

}  // namespace egretladder::lab
