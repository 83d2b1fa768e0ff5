#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>

#include "gateway_p.h"
#include "http_headers_p.h"

namespace egretladder::gateway {
namespace {

struct EvbufferFree {
  void operator()(evbuffer* buffer) const { evbuffer_free(buffer); }
};
using Evbuffer = std::unique_ptr<evbuffer, EvbufferFree>;

// The widely used form groups codes by who has to act.
const char* TypeOf(int status) {
  constexpr int kTooManyRequests = 429;
  constexpr int kFirstServerError = 500;
  if (status == kTooManyRequests) return "rate_limit_error";
  return status < kFirstServerError ? "invalid_request_error" : "server_error";
}

void AddHeader(evhttp_request* request, const char* name,
               const std::string& value) {
  evhttp_add_header(evhttp_request_get_output_headers(request), name,
                    value.c_str());
}

void AddRetryAfter(evhttp_request* request, std::chrono::milliseconds after) {
  if (after.count() <= 0) return;
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(after);
  AddHeader(request, "Retry-After", std::to_string(seconds.count()));
}

void Send(evhttp_request* request, int status, std::string_view body) {
  const Evbuffer buffer(evbuffer_new());
  evbuffer_add(buffer.get(), body.data(), body.size());
  evhttp_send_reply(request, status, nullptr, buffer.get());
}

// On a leaving node, callers should not keep connections for further calls.
void AddCallHeaders(CallerCall& call) {
  AddHeader(call.caller, kRequestIdHeader, call.request_id);
  const Gateway& gateway = *call.gateway;
  if (gateway.leaving) AddHeader(call.caller, "Connection", "close");
}

evhttp_request* EndCaller(CallerCall& call) {
  evhttp_request* request = call.caller;
  ReleaseConnection(call);
  call.caller = nullptr;
  return request;
}

std::size_t OutputOf(const CallerCall& call) {
  evhttp_connection* connection = evhttp_request_get_connection(call.caller);
  if (connection == nullptr) return 0;
  return evbuffer_get_length(
      bufferevent_get_output(evhttp_connection_get_bufferevent(connection)));
}

void OnDrained(evhttp_connection* /*connection*/, void* arg) {
  auto& call = *static_cast<CallerCall*>(arg);
  if (call.attempt.exchange != nullptr) SetReading(call.attempt.exchange, true);
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

void ReplyError(evhttp_request* request, const ErrorBody& error,
                const std::string& request_id) {
  AddHeader(request, "Content-Type", "application/json");
  AddHeader(request, kRequestIdHeader, request_id);
  AddRetryAfter(request, error.retry_after);
  Send(request, error.status, ErrorJson(error, request_id));
}

void ReplyText(evhttp_request* request, int status, const char* content_type,
               std::string_view text) {
  AddHeader(request, "Content-Type", content_type);
  Send(request, status, text);
}

void AnswerCallError(CallerCall& call, const ErrorBody& error) {
  if (call.caller == nullptr) return;
  if (call.reply_started) {
    // The status line is out: the caller learns of the break by an event of the
    // error's form and by the missing `[DONE]`.
    const std::string event =
        "data: " + ErrorJson(error, call.request_id) + "\n\n";
    const Evbuffer buffer(evbuffer_new());
    if (call.request.stream) {
      evbuffer_add(buffer.get(), event.data(), event.size());
      evhttp_send_reply_chunk(call.caller, buffer.get());
      EndStream(call);
    } else {
      BreakOff(call);
    }
    return;
  }
  AddHeader(call.caller, "Content-Type", "application/json");
  AddCallHeaders(call);
  AddRetryAfter(call.caller, error.retry_after);
  const std::string body = ErrorJson(error, call.request_id);
  Send(EndCaller(call), error.status, body);
}

void AnswerCallWhole(CallerCall& call, int status, const HttpHeaders& headers,
                     std::string_view body) {
  if (call.caller == nullptr) return;
  for (const auto& [name, value] : headers) {
    AddHeader(call.caller, name.c_str(), value);
  }
  AddCallHeaders(call);
  Send(EndCaller(call), status, body);
}

void StartStream(CallerCall& call, int status, const HttpHeaders& headers) {
  if (call.caller == nullptr || call.reply_started) return;
  for (const auto& [name, value] : headers) {
    AddHeader(call.caller, name.c_str(), value);
  }
  AddCallHeaders(call);
  call.reply_started = true;
  ReleaseBody(call);
  evhttp_send_reply_start(call.caller, status, nullptr);
}

void StreamOn(CallerCall& call, evbuffer* data) {
  if (call.caller == nullptr || evbuffer_get_length(data) == 0) return;
  evhttp_send_reply_chunk_with_cb(call.caller, data, OnDrained, &call);
  Gateway& gateway = *call.gateway;
  const std::size_t output = OutputOf(call);
  gateway.front.most_output = std::max(gateway.front.most_output, output);
  // Load: a caller that reads slower than its engine writes. Without this its
  // part of the answer piles up here, and some hundred such callers take the
  // node's memory. The engine is held back instead, by TCP.
  if (output > gateway.options.limits.caller_buffer &&
      call.attempt.exchange != nullptr) {
    SetReading(call.attempt.exchange, false);
  }
}

void EndStream(CallerCall& call) {
  if (call.caller == nullptr) return;
  evhttp_send_reply_end(EndCaller(call));
}

void BreakOff(CallerCall& call) {
  if (call.caller == nullptr) return;
  evhttp_connection* connection = evhttp_request_get_connection(call.caller);
  EndCaller(call);
  if (connection != nullptr) evhttp_connection_free(connection);
}

}  // namespace egretladder::gateway
