// Parses the JSON bodies of chat requests and of answers.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "egretladder/kernel/error.h"

namespace egretladder::gateway {

/// The parts of a chat request that routing depends on.
struct ChatBody {
  std::string model;
  bool stream = false;
  std::uint32_t max_tokens = 0;     ///< 0: not given.
  std::uint64_t prefix = 0;         ///< Hash of the first part of the messages.
  std::uint32_t prompt_tokens = 0;  ///< Estimated from the length.
};

/// Fails with `kInvalidInput` and a message for the caller.
kernel::Result<ChatBody> ReadChatBody(std::string_view text);

/// The parts of a complete answer that are checked or counted.
struct ChatAnswer {
  bool valid = false;        ///< It is one JSON object.
  std::uint64_t tokens = 0;  ///< `usage.completion_tokens`; 0: not given.
};
ChatAnswer ReadChatAnswer(std::string_view text);

}  // namespace egretladder::gateway
