#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <utility>

#include "gateway_p.h"
#include "http_headers_p.h"

namespace egretladder::gateway {
namespace {

// The common format of errors groups codes by who has to act.
const char* TypeOf(int status) {
  constexpr int kTooManyRequests = 429;
  constexpr int kFirstServerError = 500;
  if (status == kTooManyRequests) return "rate_limit_error";
  return status < kFirstServerError ? "invalid_request_error" : "server_error";
}

net::HttpFields ErrorFields(const ErrorBody& error,
                            const std::string& request_id) {
  net::HttpFields fields = {{"Content-Type", "application/json"},
                            {kRequestIdHeader, request_id}};
  if (error.retry_after.count() > 0) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(error.retry_after);
    fields.push_back({"Retry-After", std::to_string(seconds.count())});
  }
  return fields;
}

void Send(const net::HttpCallPtr& request, int status,
          const net::HttpFields& fields, std::string_view body) {
  request->Answer(status, net::ReasonPhrase(status), fields, body);
}

net::HttpFields WithRequestId(const CallerCall& call,
                              const HttpHeaders& headers) {
  net::HttpFields fields = headers;
  fields.push_back({kRequestIdHeader, call.request_id});
  return fields;
}

net::HttpCallPtr EndCaller(CallerCall& call) {
  call.caller->OnDisconnect(nullptr);
  return std::exchange(call.caller, nullptr);
}

void OnDrained(Gateway& gateway, CallId id) {
  const auto at = gateway.calls.find(id);
  if (at == gateway.calls.end()) return;
  Exchange* exchange = at->second->attempt.exchange;
  if (exchange != nullptr) SetReading(exchange, true);
}

}  // namespace

std::string ErrorJson(const ErrorBody& error, const std::string& request_id) {
  rapidjson::StringBuffer text;
  rapidjson::Writer<rapidjson::StringBuffer> writer(text);
  const auto put = [&writer](const char* key, std::string_view value) {
    writer.Key(key);
    writer.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  };
  writer.StartObject();
  writer.Key("error");
  writer.StartObject();
  put("message", error.message);
  put("type", TypeOf(error.status));
  put("code", error.code);
  put("ran", error.ran);
  put("request_id", request_id);
  writer.EndObject();
  writer.EndObject();
  return {text.GetString(), text.GetSize()};
}

void ReplyError(const net::HttpCallPtr& request, const ErrorBody& error,
                const std::string& request_id) {
  Send(request, error.status, ErrorFields(error, request_id),
       ErrorJson(error, request_id));
}

void ReplyText(const net::HttpCallPtr& request, int status,
               const char* content_type, std::string_view text) {
  Send(request, status, {{"Content-Type", content_type}}, text);
}

void AnswerCallError(CallerCall& call, const ErrorBody& error) {
  if (call.caller == nullptr) return;
  if (call.reply_started) {
    // The status line was sent. An event with the error and the missing
    // `[DONE]` tell the caller that the answer is incomplete.
    if (call.request.stream) {
      call.caller->Send("data: " + ErrorJson(error, call.request_id) + "\n\n");
      EndStream(call);
    } else {
      BreakOff(call);
    }
    return;
  }
  const std::string body = ErrorJson(error, call.request_id);
  Send(EndCaller(call), error.status, ErrorFields(error, call.request_id),
       body);
}

void AnswerCallWhole(CallerCall& call, int status, const HttpHeaders& headers,
                     std::string_view body) {
  if (call.caller == nullptr) return;
  const net::HttpFields fields = WithRequestId(call, headers);
  Send(EndCaller(call), status, fields, body);
}

void StartStream(CallerCall& call, int status, const HttpHeaders& headers) {
  if (call.caller == nullptr || call.reply_started) return;
  call.reply_started = true;
  ReleaseBody(call);
  call.caller->OnDrained(
      [gateway = call.gateway, id = call.id] { OnDrained(*gateway, id); });
  call.caller->Begin(status, net::ReasonPhrase(status),
                     WithRequestId(call, headers));
}

void StreamOn(CallerCall& call, evbuffer* data) {
  const std::size_t size = evbuffer_get_length(data);
  if (call.caller == nullptr || size == 0) return;
  call.caller->Send(
      {reinterpret_cast<const char*>(evbuffer_pullup(data, -1)), size});
  evbuffer_drain(data, size);
  Gateway& gateway = *call.gateway;
  const std::size_t output = call.caller->UnsentBytes();
  gateway.front.most_output = std::max(gateway.front.most_output, output);
  // A caller may read slower than its engine writes. Its answer would pile up
  // here, and some hundred such callers would exhaust the node's memory. TCP
  // slows the engine down instead.
  if (output > gateway.options.limits.caller_buffer &&
      call.attempt.exchange != nullptr) {
    SetReading(call.attempt.exchange, false);
  }
}

void EndStream(CallerCall& call) {
  if (call.caller == nullptr) return;
  EndCaller(call)->End();
}

void BreakOff(CallerCall& call) {
  if (call.caller == nullptr) return;
  EndCaller(call)->Abort();
}

}  // namespace egretladder::gateway
