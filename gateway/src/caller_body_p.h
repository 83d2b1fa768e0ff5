// Reads what callers send: JSON bodies of chat requests and request headers.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "egretladder/kernel/error.h"

namespace egretladder::gateway {

/// What a router needs to know of a chat request.
struct ChatBody {
  std::string model;
  bool stream = false;
  std::uint32_t max_tokens = 0;     ///< 0: not given.
  std::uint64_t prefix = 0;         ///< Hash of the messages' first part.
  std::uint32_t prompt_tokens = 0;  ///< Estimated from the length.
};

/// Fails with `kInvalidInput` and a sentence for the caller.
kernel::Result<ChatBody> ReadChatBody(std::string_view text);

/// What a whole answer says of itself.
struct ChatAnswer {
  bool valid = false;        ///< One JSON object.
  std::uint64_t tokens = 0;  ///< `usage.completion_tokens`; 0: not given.
};
ChatAnswer ReadChatAnswer(std::string_view text);

}  // namespace egretladder::gateway
