// State of a gateway and the functions that its sources share.
#pragma once

#include <event2/bufferevent.h>
#include <event2/http.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "call_metrics_p.h"
#include "documents_p.h"
#include "egretladder/gateway/gateway.h"
#include "egretladder/net/http_server.h"
#include "http_client_p.h"
#include "sse_scanner_p.h"

namespace egretladder::gateway {

using node::CallId;

/// How the answer of an attempt is forwarded.
enum class RelayMode : std::uint8_t {
  kHold,    ///< Buffered until it is complete.
  kStream,  ///< Forwarded as it arrives.
};

/// One attempt of a call at an endpoint, or at the node that owns its lane.
struct Attempt {
  std::uint8_t number = 0;
  bool open = false;  ///< It has not ended.
  Exchange* exchange = nullptr;
  std::string address;
  bool forward = false;
  bool keep_answer = false;
  bool first_byte = false;
  bool not_run = false;  ///< The endpoint states that it did not run it.
  bool events = false;   ///< The answer is an event stream.
  RelayMode mode = RelayMode::kHold;
  int status = 0;
  HttpHeaders headers;
  std::string content_type;
  std::string held;
  SseScanner sse;
  std::uint64_t tokens = 0;
};

/// The request of a caller, as it is sent to an endpoint.
struct CallerRequest {
  evhttp_cmd_type method = EVHTTP_REQ_GET;
  std::string original_uri;  ///< As the caller sent it, for another node.
  std::string uri;           ///< As it is sent to an endpoint.
  HttpHeaders headers;
  std::shared_ptr<const std::string> body;
  bool chat = false;
  bool stream = false;
};

/// A caller's call in progress.
struct CallerCall {
  Gateway* gateway = nullptr;
  CallId id = 0;
  std::string request_id;
  std::string lane;
  CallerRequest request;
  rules::ClassHandle cls;
  kernel::Time arrived{};
  net::HttpCallPtr caller;  ///< Null after the answer or a disconnect.
  bool reply_started = false;
  Attempt attempt;
};

struct TlsContext;
struct TlsContextFree {
  void operator()(TlsContext* context) const;
};

/// The state of the connections of callers.
struct CallerFront {
  std::unique_ptr<TlsContext, TlsContextFree> tls;
  std::unique_ptr<net::HttpServer> server;
  std::size_t most_output = 0;
};

struct PeerNet;
struct PeerNetDelete {
  void operator()(PeerNet* net) const;
};
using PeerNetPtr = std::unique_ptr<PeerNet, PeerNetDelete>;

struct Gateway {
  kernel::Loop* loop = nullptr;
  GatewayOptions options;
  kernel::Metrics metrics;
  CallMetrics call_metrics;
  std::string request_prefix;  ///< Makes request ids unique to this process.
  CallId last_call = 0;
  std::size_t bodies_bytes = 0;  ///< Size of the bodies kept for retries.
  HttpClientPtr client;
  CallerFront front;
  node::NodePtr node;
  std::unordered_map<CallId, std::unique_ptr<CallerCall>> calls;
  std::vector<std::unique_ptr<CallerCall>> ended;
  std::deque<node::Action> queue;
  std::vector<std::function<void()>> later;
  /// Calls whose endpoint is about to be probed.
  std::map<CallId, kernel::EventWatcher> death_pauses;
  bool pumping = false;
  bool leaving = false;
  kernel::Time linger_until{};   ///< Set when the node leaves.
  bool platform_answers = true;  ///< As it was last logged.
  VmListRead vm_list;
  kernel::Event pump;
  kernel::EventWatcher tick;
  PeerNetPtr peers;
};

kernel::Time NowOf(const Gateway& gateway);

// gateway.cc
/// Carries out the actions that the node decided on. Use `PumpLater` in
/// callbacks that must not start or end exchanges.
void Pump(Gateway& gateway, node::Actions&& actions);
void PumpLater(Gateway& gateway, node::Actions&& actions);
void Later(Gateway& gateway, std::function<void()> work);

// apply_actions.cc
void Apply(Gateway& gateway, node::Action&& action);

// caller_http.cc
kernel::Result<void> OpenFront(Gateway& gateway);
void CloseFront(Gateway& gateway);
/// Frees the body of a request that can't be sent again.
void ReleaseBody(CallerCall& call);

// caller_pages.cc
/// Answers `/where`, `/metrics` and the other pages of the node. Returns false
/// if there is no such page.
bool AnswerPage(Gateway& gateway, const net::HttpCallPtr& request,
                const std::string& path);

// caller_reply.cc
struct ErrorBody {
  int status = 500;
  std::string code;
  std::string message;
  const char* ran = "no";
  std::chrono::milliseconds retry_after{};
};
std::string ErrorJson(const ErrorBody& error, const std::string& request_id);
/// Answers a request for which no call was created.
void ReplyError(const net::HttpCallPtr& request, const ErrorBody& error,
                const std::string& request_id);
void ReplyText(const net::HttpCallPtr& request, int status,
               const char* content_type, std::string_view text);
// Each of these functions ends the answer to the caller.
void AnswerCallError(CallerCall& call, const ErrorBody& error);
void AnswerCallWhole(CallerCall& call, int status, const HttpHeaders& headers,
                     std::string_view body);
void EndStream(CallerCall& call);
/// Closes the caller's connection, so that an incomplete answer doesn't look
/// complete.
void BreakOff(CallerCall& call);
/// Begins an answer that is forwarded as it arrives.
void StartStream(CallerCall& call, int status, const HttpHeaders& headers);
/// Forwards a piece of an answer. Stops reading from the endpoint while the
/// caller is slow.
void StreamOn(CallerCall& call, evbuffer* data);

// endpoint_evhttp.cc
void SendToEndpoint(Gateway& gateway, const node::SendCall& send);
void SendToOwner(Gateway& gateway, const node::ForwardCall& forward);
void CancelAttempt(CallerCall& call);
/// Removes the call if it has neither a caller nor an attempt.
void ForgetIfDone(CallerCall& call);

// platform_evhttp.cc
void ReadRulesDocument(Gateway& gateway, const fleet::ReadRulesDocument& read);
void ReadVmList(Gateway& gateway);
void ReadReport(Gateway& gateway, rules::EndpointHandle endpoint);
void OrderEngine(Gateway& gateway, const fleet::OrderEngine& order);

// peer_capnp.cc
kernel::Result<PeerNetPtr> OpenPeers(Gateway& gateway, std::string* address);
void SendToPeer(PeerNet& net, const fleet::SendMessage& send);
std::size_t CountPeers(const PeerNet& net);

// tls_openssl.cc
kernel::Result<std::unique_ptr<TlsContext, TlsContextFree>> OpenTls(
    const TlsOptions& options);
net::Bufferevent NewTlsBuffer(event_base* base, evutil_socket_t fd,
                              TlsContext& context);

}  // namespace egretladder::gateway
