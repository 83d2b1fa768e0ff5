// Answers of the node itself: errors, the directory, readiness and metrics.
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <array>
#include <cstdio>

#include "state_p.h"

namespace egretladder::proxy {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

std::string FormatSeconds(milliseconds time) {
  std::array<char, 32> text{};
  const int size = std::snprintf(text.data(), text.size(), "%.3f",
                                 std::chrono::duration<double>(time).count());
  return {text.data(), static_cast<std::size_t>(size)};
}

void AnswerText(const net::HttpCallPtr& caller, int status, const char* type,
                std::string_view body) {
  caller->Answer(status, net::ReasonPhrase(status), {{"Content-Type", type}},
                 body);
}

}  // namespace

std::string ErrorBody(const char* code, std::string_view message,
                      const char* ran) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  writer.StartObject();
  writer.Key("error");
  writer.StartObject();
  writer.Key("code");
  writer.String(code);
  writer.Key("message");
  writer.String(message.data(),
                static_cast<rapidjson::SizeType>(message.size()));
  writer.Key("ran");
  writer.String(ran);
  writer.EndObject();
  writer.EndObject();
  return buffer.GetString();
}

void AnswerError(const net::HttpCallPtr& caller, int status, const char* code,
                 std::string_view message, const char* ran,
                 milliseconds retry_after) {
  net::HttpFields fields = {{"Content-Type", "application/json"}};
  if (retry_after.count() > 0) {
    fields.push_back({"Retry-After", FormatSeconds(retry_after)});
  }
  caller->Answer(status, net::ReasonPhrase(status), fields,
                 ErrorBody(code, message, ran));
}

void AnswerDirectory(Proxy& proxy, const net::HttpCallPtr& caller) {
  std::string zone;
  if (!proxy.dialect->is_directory_request(caller->request().target, &zone)) {
    AnswerError(caller, kNotFound, "unknown_page", "no such page", "no", {});
    return;
  }
  const auto addresses =
      routing::DirectoryFor(proxy.members, zone, proxy.random);
  if (addresses.empty()) {
    AnswerError(caller, kUnavailable, "no_node", "no node takes callers", "no",
                kLeavingRetryDelay);
    return;
  }
  AnswerText(
      caller, kOk, "application/json",
      proxy.dialect->directory_body(addresses, proxy.options.directory_ttl));
}

void AnswerReady(Proxy& proxy, const net::HttpCallPtr& caller) {
  if (!proxy.dialect->is_readiness_request(caller->request().target)) {
    AnswerError(caller, kNotFound, "unknown_page", "no such page", "no", {});
    return;
  }
  const bool ready = IsReady(proxy);
  AnswerText(caller, ready ? kOk : kUnavailable, "text/plain",
             ready ? "ready\n" : "not ready\n");
}

void AnswerMetrics(Proxy& proxy, const net::HttpCallPtr& caller) {
  UpdateGauges(proxy);
  AnswerText(caller, kOk, "text/plain; version=0.0.4",
             kernel::PrometheusText(proxy.metrics));
}

}  // namespace egretladder::proxy
