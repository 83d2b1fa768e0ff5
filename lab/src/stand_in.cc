#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <csignal>
#include <cstdlib>
#include <ostream>
#include <utility>

#include "stand_in_p.h"

namespace egretladder::lab {
namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnavailable = 503;
constexpr int kCrashExitCode = 3;

}  // namespace

OpenCall::OpenCall(evhttp_request* request, std::function<void()> on_gone)
    : request_(request), on_gone_(std::move(on_gone)) {
  evhttp_connection* connection = evhttp_request_get_connection(request);
  evhttp_connection_set_closecb(connection, OnClose, this);
  // evhttp stops reading while a call is in progress, and so would not see the
  // client go away: an engine would generate for nobody.
  bufferevent_enable(evhttp_connection_get_bufferevent(connection), EV_READ);
}

OpenCall::~OpenCall() { Break(); }

void OpenCall::OnClose(evhttp_connection* /*connection*/, void* arg) {
  auto& call = *static_cast<OpenCall*>(arg);
  call.gone_ = true;
  // A copy, since it may end the call that holds it.
  const auto on_gone = call.on_gone_;
  if (on_gone) on_gone();
}

void OpenCall::Detach() {
  if (!gone_) {
    evhttp_connection_set_closecb(evhttp_request_get_connection(request_),
                                  nullptr, nullptr);
  }
  request_ = nullptr;
}

void OpenCall::StartStream(const char* content_type) {
  evhttp_add_header(evhttp_request_get_output_headers(request_), "Content-Type",
                    content_type);
  evhttp_send_reply_start(request_, kOk, nullptr);
}

void OpenCall::Chunk(std::string_view text) {
  if (!gone_) ReplyChunk(request_, text);
}

void OpenCall::EndStream() {
  if (gone_) return Break();
  evhttp_request* request = request_;
  Detach();
  evhttp_send_reply_end(request);
}

void OpenCall::Answer(int status, const char* content_type,
                      std::string_view body) {
  if (gone_) return Break();
  evhttp_request* request = request_;
  Detach();
  Reply(request, status, content_type, body);
}

void OpenCall::AnswerWrongLength(std::string_view body) {
  evkeyvalq* headers = evhttp_request_get_output_headers(request_);
  evhttp_add_header(headers, "Content-Length",
                    std::to_string(body.size() * 2 + 1).c_str());
  evhttp_add_header(headers, "Connection", "close");
  Answer(kOk, "application/json", body);
}

void OpenCall::Break() {
  if (request_ == nullptr) return;
  evhttp_request* request = request_;
  const bool gone = gone_;
  Detach();
  if (gone) {
    // A request cut off from its connection is ours; any other is evhttp's.
    if (evhttp_request_get_connection(request) == nullptr) {
      evhttp_request_free(request);
    }
    return;
  }
  evhttp_connection* connection = evhttp_request_get_connection(request);
  bufferevent* stream = evhttp_connection_get_bufferevent(connection);
  // Freeing drops what is still buffered; the client is to see the first part.
  evbuffer* output = bufferevent_get_output(stream);
  evbuffer_unfreeze(output, 1);
  evbuffer_write(output, bufferevent_getfd(stream));
  evhttp_connection_free(connection);
}

void RunUntilSignalled(kernel::Loop& loop) {
  const auto stop = [&loop] { kernel::StopLoop(loop); };
  const kernel::EventWatcher term = kernel::RunOnSignal(loop, SIGTERM, stop);
  const kernel::EventWatcher interrupt =
      kernel::RunOnSignal(loop, SIGINT, stop);
  kernel::RunLoop(loop);
}

int ServeUntilSignalled(kernel::Loop& loop,
                        const std::vector<std::string>& listen,
                        const RequestHandler& handler,
                        const CommandStreams& streams) {
  std::vector<HttpServer> servers;
  for (const std::string& text : listen) {
    const auto address = ParseLoopback(text);
    if (!address) {
      streams.err << kernel::Describe(address.error()) << "\n";
      return kExitUsage;
    }
    auto server = Listen(loop, address.value(), handler);
    if (!server) {
      streams.err << kernel::Describe(server.error()) << "\n";
      return kExitFailed;
    }
    servers.push_back(std::move(server).value());
    streams.out << "listening on " << text << std::endl;
  }
  RunUntilSignalled(loop);
  return kExitDone;
}

void AddStatement(evhttp_request* request, const FaultState& state) {
  if (state.fault.kind != FaultKind::kLeaving) return;
  evhttp_add_header(evhttp_request_get_output_headers(request), "X-Leaving",
                    "yes");
}

void RefuseUnrun(evhttp_request* request, const char* why) {
  evhttp_add_header(evhttp_request_get_output_headers(request), "X-Not-Run",
                    "yes");
  Reply(request, kUnavailable, "text/plain", why);
}

bool RefuseIfBusy(evhttp_request* request, const FaultState& state) {
  if (state.fault.kind != FaultKind::kBusy) return false;
  const auto seconds = static_cast<std::int64_t>(state.fault.factor);
  evhttp_add_header(evhttp_request_get_output_headers(request), "Retry-After",
                    std::to_string(seconds).c_str());
  RefuseUnrun(request, "busy\n");
  return true;
}

void TakeFault(evhttp_request* request, FaultState& state) {
  const auto fault = ReadFault(BodyOf(request));
  if (!fault) {
    Reply(request, kBadRequest, "text/plain",
          kernel::Describe(fault.error()) + "\n");
    return;
  }
  // A crash gives no warning: no answer, no clean-up.
  if (fault.value().kind == FaultKind::kCrash) std::_Exit(kCrashExitCode);
  state.fault = fault.value();
  ReplyJson(request, kOk, "{}");
}

}  // namespace egretladder::lab
