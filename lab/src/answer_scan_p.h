// Reads answers as a caller of the load tool does: events of a stream as they
// come, and what an error says of the request.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace egretladder::lab {

/// What an error answer says.
struct ErrorSeen {
  bool is_error = false;
  bool not_run = false;  ///< `ran` is `no`.
  std::string code;
};

/// Reads `{"error":{...}}`; anything else is no error.
ErrorSeen ReadError(std::string_view json);

/// A stream as far as it has come.
struct StreamScan {
  std::string line;  ///< Not yet complete.
  std::uint32_t tokens = 0;
  bool mark_seen = false;
  bool done = false;  ///< `[DONE]` came.
  ErrorSeen error;
};

/// Takes the next bytes; returns how many tokens they held. `mark` is looked
/// for in the first token, so that someone else's answer is noticed.
std::uint32_t Scan(StreamScan& scan, std::string_view bytes,
                   std::string_view mark);

}  // namespace egretladder::lab
