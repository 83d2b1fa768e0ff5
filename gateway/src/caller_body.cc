#include <rapidjson/document.h>
#include <rapidjson/reader.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <limits>

#include "caller_body_p.h"
#include "egretladder/gateway/limits.h"
#include "egretladder/kernel/hash.h"

namespace egretladder::gateway {
namespace {

// Iterative, because a body of a million brackets must not exhaust the stack.
constexpr unsigned kParseFlags = rapidjson::kParseIterativeFlag;

using Value = rapidjson::Value;

std::string_view TextIn(const Value& value) {
  return {value.GetString(), value.GetStringLength()};
}

// Visits the text parts of a message's content, a string or a list of parts.
void AddContent(const Value& content, std::string& prefix, std::size_t& size) {
  const auto add = [&](std::string_view text) {
    size += text.size();
    if (prefix.size() < kPrefixBytes) {
      prefix.append(text.substr(0, kPrefixBytes - prefix.size()));
    }
  };
  if (content.IsString()) add(TextIn(content));
  if (!content.IsArray()) return;
  for (const Value& part : content.GetArray()) {
    if (!part.IsObject()) continue;
    const auto text = part.FindMember("text");
    if (text != part.MemberEnd() && text->value.IsString()) {
      add(TextIn(text->value));
    }
  }
}

kernel::Error Invalid(std::string sentence) {
  return kernel::MakeError(kernel::ErrorCode::kInvalidInput, "read chat body",
                           "caller", std::move(sentence));
}

kernel::Result<void> ReadMessages(const Value& messages, ChatBody& body) {
  if (!messages.IsArray() || messages.Empty()) {
    return Invalid("'messages' is not a list with at least one message");
  }
  std::string prefix;
  std::size_t size = 0;
  for (const Value& message : messages.GetArray()) {
    if (!message.IsObject()) return Invalid("a message is not an object");
    const auto role = message.FindMember("role");
    if (role == message.MemberEnd() || !role->value.IsString()) {
      return Invalid("a message has no 'role'");
    }
    if (prefix.size() < kPrefixBytes) prefix.append(TextIn(role->value));
    const auto content = message.FindMember("content");
    if (content != message.MemberEnd()) {
      AddContent(content->value, prefix, size);
    }
  }
  body.prefix = kernel::HashBytes(prefix);
  body.prompt_tokens = static_cast<std::uint32_t>(
      std::min<std::size_t>(size / kCharactersPerToken + 1,
                            std::numeric_limits<std::uint32_t>::max()));
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

kernel::Result<void> ReadCap(const Value& document, const char* key,
                             ChatBody& body) {
  const auto cap = document.FindMember(key);
  if (cap == document.MemberEnd() || cap->value.IsNull()) {
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }
  if (!cap->value.IsUint()) {
    return Invalid(std::string("'") + key + "' is not a whole number from 0");
  }
  body.max_tokens = cap->value.GetUint();
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

struct UsageReader
    : rapidjson::BaseReaderHandler<rapidjson::UTF8<>, UsageReader> {
  ChatAnswer answer;
  int depth = 0;
  bool at_tokens = false;
  bool object_first = false;

  bool Key(const char* text, rapidjson::SizeType size, bool /*copy*/) {
    at_tokens = std::string_view(text, size) == "completion_tokens";
    return true;
  }
  bool Uint(unsigned value) {
    if (at_tokens) answer.tokens = value;
    at_tokens = false;
    return true;
  }
  bool StartObject() {
    if (depth++ == 0) object_first = true;
    return true;
  }
  bool EndObject(rapidjson::SizeType /*members*/) {
    --depth;
    return true;
  }
  bool StartArray() {
    ++depth;
    return true;
  }
  bool EndArray(rapidjson::SizeType /*elements*/) {
    --depth;
    return true;
  }
};

}  // namespace

kernel::Result<ChatBody> ReadChatBody(std::string_view text) {
  // RapidJSON would allocate a first block of 64 KiB on the heap for each of
  // thousands of small requests a second, and the allocator would spend its
  // time on merging free blocks. Most bodies fit on the stack.
  constexpr std::size_t kArena = 8192;
  alignas(std::max_align_t) std::array<char, kArena> arena;
  rapidjson::MemoryPoolAllocator<> pool(arena.data(), arena.size(), kArena);
  rapidjson::Document document(&pool);
  document.Parse<kParseFlags>(text.data(), text.size());
  if (document.HasParseError()) {
    return Invalid("the body is not JSON at byte " +
                   std::to_string(document.GetErrorOffset()));
  }
  if (!document.IsObject()) return Invalid("the body is not a JSON object");
  ChatBody body;
  const auto model = document.FindMember("model");
  if (model == document.MemberEnd() || !model->value.IsString()) {
    return Invalid("'model' is missing or not a text");
  }
  body.model = TextIn(model->value);
  const auto stream = document.FindMember("stream");
  if (stream != document.MemberEnd() && !stream->value.IsNull()) {
    if (!stream->value.IsBool())
      return Invalid("'stream' is not true or false");
    body.stream = stream->value.GetBool();
  }
  BOOST_OUTCOME_TRYV(ReadCap(document, "max_tokens", body));
  BOOST_OUTCOME_TRYV(ReadCap(document, "max_completion_tokens", body));
  const auto messages = document.FindMember("messages");
  if (messages == document.MemberEnd()) return Invalid("'messages' is missing");
  BOOST_OUTCOME_TRYV(ReadMessages(messages->value, body));
  return body;
}

ChatAnswer ReadChatAnswer(std::string_view text) {
  rapidjson::MemoryStream memory(text.data(), text.size());
  rapidjson::Reader reader;
  UsageReader usage;
  const auto result = reader.Parse<kParseFlags>(memory, usage);
  usage.answer.valid = !result.IsError() && usage.object_first;
  return usage.answer;
}

}  // namespace egretladder::gateway
