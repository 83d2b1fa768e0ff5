#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <cstdlib>

#include "egretladder/kernel/hash.h"
#include "egretladder/lab/config.h"
#include "engine_wire_p.h"

namespace egretladder::lab {
namespace {

using Json = rapidjson::Writer<rapidjson::StringBuffer>;

/// Output lengths of requests that name none: a long tail, by the prompt's
/// hash.
constexpr std::uint32_t kShortestOutput = 16;
constexpr std::uint32_t kOutputSpread = 240;

kernel::Error Refuse(const char* step, const char* detail) {
  return kernel::MakeError(kernel::ErrorCode::kInvalidInput, step, "caller",
                           detail);
}

kernel::Result<rapidjson::Document> ReadObject(const std::string& body,
                                               const char* step) {
  rapidjson::Document document;
  document.Parse(body.c_str());
  if (document.HasParseError() || !document.IsObject()) {
    return Refuse(step, "expected a JSON object");
  }
  return document;
}

std::string TextIn(const rapidjson::Value& object, const char* key) {
  const auto member = object.FindMember(key);
  if (member == object.MemberEnd() || !member->value.IsString()) return "";
  return {member->value.GetString(), member->value.GetStringLength()};
}

std::uint32_t CountIn(const rapidjson::Value& object, const char* key) {
  const auto member = object.FindMember(key);
  if (member == object.MemberEnd()) return 0;
  if (member->value.IsUint()) return member->value.GetUint();
  if (!member->value.IsString()) return 0;
  return static_cast<std::uint32_t>(
      std::strtoul(member->value.GetString(), nullptr, 10));
}

void AppendContent(const rapidjson::Value& message, std::string& prompt) {
  const auto content = message.FindMember("content");
  if (content == message.MemberEnd()) return;
  if (content->value.IsString()) {
    prompt.append(content->value.GetString(), content->value.GetStringLength());
  }
  if (!content->value.IsArray()) return;
  for (const auto& part : content->value.GetArray()) {
    if (part.IsObject()) prompt += TextIn(part, "text");
  }
}

void ReadLengths(const rapidjson::Value& document, ChatRequest& request) {
  const auto metadata = document.FindMember("metadata");
  std::uint32_t wanted = 0;
  if (metadata != document.MemberEnd() && metadata->value.IsObject()) {
    wanted = CountIn(metadata->value, "output_tokens");
    request.mark = TextIn(metadata->value, "request");
  }
  if (wanted == 0) {
    wanted = kShortestOutput +
             static_cast<std::uint32_t>(kernel::HashBytes(request.prompt) %
                                        kOutputSpread);
  }
  const std::uint32_t cap = CountIn(document, "max_tokens");
  request.cut_by_cap = cap > 0 && cap < wanted;
  request.output_tokens = request.cut_by_cap ? cap : wanted;
}

const char* FinishReason(const ChatRequest& request) {
  return request.cut_by_cap ? "length" : "stop";
}

void OpenAnswer(Json& json, const ChatRequest& request, const char* object,
                EngineCallId id) {
  json.StartObject();
  json.Key("id");
  json.String(("chatcmpl-" + std::to_string(id)).c_str());
  json.Key("object");
  json.String(object);
  json.Key("created");
  json.Uint(0);
  json.Key("model");
  json.String(request.model.c_str());
  json.Key("choices");
  json.StartArray();
  json.StartObject();
  json.Key("index");
  json.Uint(0);
}

void WriteCount(Json& json, const char* key, std::uint64_t value) {
  json.Key(key);
  json.Uint64(value);
}

}  // namespace

kernel::Result<ChatRequest> ReadChatRequest(const std::string& body) {
  const auto read = ReadObject(body, "read chat request");
  if (!read) return read.error();
  const rapidjson::Document& document = read.value();
  ChatRequest request;
  request.model = TextIn(document, "model");
  const auto stream = document.FindMember("stream");
  request.stream = stream != document.MemberEnd() && stream->value.IsTrue();
  const auto messages = document.FindMember("messages");
  if (messages == document.MemberEnd() || !messages->value.IsArray()) {
    return Refuse("read chat request", "expected \"messages\"");
  }
  for (const auto& message : messages->value.GetArray()) {
    if (message.IsObject()) AppendContent(message, request.prompt);
  }
  ReadLengths(document, request);
  return request;
}

std::string TokenText(const ChatRequest& request, std::uint32_t index) {
  if (index == 0 && !request.mark.empty()) return "[" + request.mark + "]";
  return " w" + std::to_string(index);
}

std::string StreamEvent(const ChatRequest& request, const EngineToken& token) {
  rapidjson::StringBuffer buffer;
  Json json(buffer);
  OpenAnswer(json, request, "chat.completion.chunk", token.call);
  json.Key("delta");
  json.StartObject();
  json.Key("content");
  json.String(TokenText(request, token.index).c_str());
  json.EndObject();
  json.Key("finish_reason");
  token.last ? json.String(FinishReason(request)) : json.Null();
  json.EndObject();
  json.EndArray();
  json.EndObject();
  std::string event = "data: ";
  event += buffer.GetString();
  event += "\n\n";
  if (token.last) event += "data: [DONE]\n\n";
  return event;
}

std::string WholeAnswer(const ChatRequest& request, EngineCallId id) {
  std::string text;
  for (std::uint32_t i = 0; i < request.output_tokens; ++i) {
    text += TokenText(request, i);
  }
  rapidjson::StringBuffer buffer;
  Json json(buffer);
  OpenAnswer(json, request, "chat.completion", id);
  json.Key("message");
  json.StartObject();
  json.Key("role");
  json.String("assistant");
  json.Key("content");
  json.String(text.c_str());
  json.EndObject();
  json.Key("finish_reason");
  json.String(FinishReason(request));
  json.EndObject();
  json.EndArray();
  json.Key("usage");
  json.StartObject();
  const auto prompt = request.prompt.size() / kCharsPerToken;
  WriteCount(json, "prompt_tokens", prompt);
  WriteCount(json, "completion_tokens", request.output_tokens);
  WriteCount(json, "total_tokens", prompt + request.output_tokens);
  json.EndObject();
  json.EndObject();
  return buffer.GetString();
}

std::string ReportJson(const EngineReport& report) {
  rapidjson::StringBuffer buffer;
  Json json(buffer);
  json.StartObject();
  WriteCount(json, "boot", report.boot);
  WriteCount(json, "age_ms", static_cast<std::uint64_t>(report.age.count()));
  WriteCount(json, "running", report.running);
  WriteCount(json, "waiting", report.waiting);
  json.Key("cache_used");
  json.Double(std::min(1.0, report.cache_used));
  json.Key("loaded");
  json.StartArray();
  for (const std::string& model : report.loaded) json.String(model.c_str());
  json.EndArray();
  json.EndObject();
  return buffer.GetString();
}

std::string EngineCountsJson(const EngineState& state, Time now) {
  const EngineCounts& counts = state.counts;
  rapidjson::StringBuffer buffer;
  Json json(buffer);
  json.StartObject();
  WriteCount(json, "boot", state.boot);
  json.Key("idle_ms");
  json.Int64(state.last_taken
                 ? std::chrono::duration_cast<std::chrono::milliseconds>(
                       now - *state.last_taken)
                       .count()
                 : -1);
  WriteCount(json, "requests", counts.taken + counts.refused);
  WriteCount(json, "taken", counts.taken);
  WriteCount(json, "refused", counts.refused);
  WriteCount(json, "finished", counts.finished);
  WriteCount(json, "cancelled", counts.cancelled);
  WriteCount(json, "lost", counts.lost);
  WriteCount(json, "tokens", counts.tokens);
  WriteCount(json, "cancelled_tokens", counts.cancelled_tokens);
  WriteCount(json, "prompt_tokens", counts.prompt_tokens);
  WriteCount(json, "cached_tokens", counts.cached_tokens);
  WriteCount(json, "fell_over", counts.fell_over);
  WriteCount(json, "orders", counts.orders);
  WriteCount(json, "old_orders", counts.old_orders);
  WriteCount(json, "most_in_progress", counts.most_in_progress);
  WriteCount(json, "in_progress", state.running.size() + state.waiting.size());
  json.EndObject();
  return buffer.GetString();
}

kernel::Result<EngineOrder> ReadEngineOrder(const std::string& body) {
  const auto read = ReadObject(body, "read order");
  if (!read) return read.error();
  const rapidjson::Document& document = read.value();
  EngineOrder order;
  order.kind = TextIn(document, "kind");
  if (order.kind.empty()) return Refuse("read order", "expected \"kind\"");
  order.model = TextIn(document, "model");
  const auto fencing = document.FindMember("fencing");
  if (fencing != document.MemberEnd() && fencing->value.IsUint64()) {
    order.fencing = fencing->value.GetUint64();
  }
  return order;
}

}  // namespace egretladder::lab
