// What the stand-ins share: a loop that signals end, and one call in progress.
#pragma once

#include <event2/http.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "egretladder/kernel/loop.h"
#include "egretladder/lab/command.h"
#include "egretladder/lab/fault.h"
#include "http_p.h"

namespace egretladder::lab {

/// A call a stand-in has taken and not yet answered. The client may go away at
/// any time; then `on_gone` runs and every later reply is dropped.
class OpenCall {
 public:
  OpenCall(evhttp_request* request, std::function<void()> on_gone);
  ~OpenCall();
  OpenCall(const OpenCall&) = delete;
  OpenCall& operator=(const OpenCall&) = delete;

  bool gone() const { return gone_; }
  void StartStream(const char* content_type);
  void Chunk(std::string_view text);
  void EndStream();
  void Answer(int status, const char* content_type, std::string_view body);
  /// Announces more bytes than it sends, then closes.
  void AnswerWrongLength(std::string_view body);
  /// Closes the connection without a word.
  void Break();

 private:
  static void OnClose(evhttp_connection* connection, void* arg);
  void Detach();

  evhttp_request* request_;
  std::function<void()> on_gone_;
  bool gone_ = false;
};

/// Runs `loop` until SIGTERM or SIGINT.
void RunUntilSignalled(kernel::Loop& loop);

/// Listens on every address and writes one line for each to `streams.out`.
/// Returns the exit code.
int ServeUntilSignalled(kernel::Loop& loop,
                        const std::vector<std::string>& listen,
                        const RequestHandler& handler,
                        const CommandStreams& streams);

/// Adds what the stand-in states about itself to the answer, if it states
/// anything.
void AddStatement(evhttp_request* request, const FaultState& state);

/// Refuses a call with the statement that it did not run.
void RefuseUnrun(evhttp_request* request, const char* why);

/// Refuses a call and asks for time without calls, if the stand-in does that
/// now. Returns true if it did.
bool RefuseIfBusy(evhttp_request* request, const FaultState& state);

/// Takes a control call's fault, or answers 400. `crash` ends the process here.
void TakeFault(evhttp_request* request, FaultState& state);

}  // namespace egretladder::lab
