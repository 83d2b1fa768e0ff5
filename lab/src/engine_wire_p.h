// The engine stand-in's side of the wire: what a chat request asks, and how
// tokens, answers, reports and counts read in JSON.
#pragma once

#include <string>
#include <string_view>

#include "egretladder/kernel/error.h"
#include "egretladder/lab/engine_model.h"

namespace egretladder::lab {

/// What the stand-in understands of a chat request. `metadata.request` is
/// echoed in the first token; `metadata.output_tokens` fixes the length.
struct ChatRequest {
  std::string model;
  std::string prompt;  ///< All messages, in order.
  std::string mark;    ///< `metadata.request`.
  bool stream = false;
  std::uint32_t output_tokens = 1;
  bool cut_by_cap = false;  ///< `max_tokens` was smaller.
};

kernel::Result<ChatRequest> ReadChatRequest(const std::string& body);

/// The text of token `index`; the first carries the request's mark.
std::string TokenText(const ChatRequest& request, std::uint32_t index);

/// One SSE event with one token, and `data: [DONE]` after the last.
std::string StreamEvent(const ChatRequest& request, const EngineToken& token);

std::string WholeAnswer(const ChatRequest& request, EngineCallId id);

std::string ReportJson(const EngineReport& report);
/// `idle_ms` is the time since it last took a call; -1 before the first.
std::string EngineCountsJson(const EngineState& state, Time now);

kernel::Result<EngineOrder> ReadEngineOrder(const std::string& body);

}  // namespace egretladder::lab
