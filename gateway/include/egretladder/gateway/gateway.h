// A node and its sockets, for callers, endpoints, the platform and peers, all
// on one loop. Several gateways can share a loop and a thread, as tests do.
#pragma once

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

#include "egretladder/gateway/limits.h"
#include "egretladder/kernel/error.h"
#include "egretladder/kernel/loop.h"
#include "egretladder/kernel/metrics.h"
#include "egretladder/node/node.h"

namespace egretladder::gateway {

/// Upper bounds on the memory and the sockets that a node uses.
struct Limits {
  std::size_t header_bytes = kHeaderBytes;
  std::size_t body_bytes = kBodyBytes;
  /// Total size of the bodies of all calls without an answer so far. They are
  /// kept for retries.
  std::size_t bodies_bytes = kBodiesBytes;
  std::size_t connections = kConnections;  ///< Open connections of callers.
  /// Timeout for reading one request, and for the next one on a connection.
  std::chrono::milliseconds request_time = kRequestTime;
  /// Time from sending a request to the first byte of its answer.
  std::chrono::milliseconds answer_time = kAnswerTime;
  /// Longest time between two bytes of an endpoint's answer.
  std::chrono::milliseconds idle_timeout = kIdleTime;
  /// A caller that reads nothing for this long is disconnected.
  std::chrono::milliseconds write_timeout = kDrainTime;
  /// When a caller has more unread output than this, its endpoint isn't read.
  std::size_t caller_buffer = kCallerBuffer;
  /// Largest answer that is buffered completely before it is forwarded.
  std::size_t answer_bytes = kAnswerBytes;
};

/// TLS for connections of callers. If both are empty, plain HTTP is used.
struct TlsOptions {
  std::string certificate;  ///< PEM file with the certificate chain.
  std::string key;          ///< PEM file with the private key.
};

/// The options of a gateway, from its settings.
struct GatewayOptions {
  /// If `fleet.caller_address` or `fleet.peer_address` is empty, the bound
  /// address is used.
  node::NodeOptions node;
  std::string caller_listen = "127.0.0.1:0";  ///< Port 0: any free port.
  std::string peer_listen = "127.0.0.1:0";
  std::string platform;  ///< `IP:port`; empty: no platform.
  Limits limits;
  TlsOptions tls;
  /// Minimum time for which a leaving node keeps running, even if it is idle.
  std::chrono::milliseconds linger = kLinger;
};

struct Gateway;
/// Deleter of the incomplete type `Gateway`.
struct GatewayDelete {
  void operator()(Gateway* gateway) const;
};
/// Owns a node and its sockets. Destruction closes the sockets.
using GatewayPtr = std::unique_ptr<Gateway, GatewayDelete>;

/// Binds the sockets and starts the node. `loop` must outlive the gateway.
/// Fails if an address can't be bound, the certificate can't be read or the
/// scheduler is unknown.
kernel::Result<GatewayPtr> StartGateway(kernel::Loop& loop,
                                        const GatewayOptions& options);

/// Begins a graceful stop: the node leaves `/where` at once and completes the
/// calls in progress.
void Leave(Gateway& gateway);
/// Returns true if no call is in progress and all answers were sent.
bool IsIdle(const Gateway& gateway);
/// Returns true if a leaving node may exit: it is idle, and no caller still has
/// an answer of `/where` that lists it.
bool CanShutDown(const Gateway& gateway);

/// Ends the calls in progress of a leaving node whose grace period is over, and
/// tells their callers whether they ran. If the process simply exited, callers
/// would only see a closed connection.
void EndCalls(Gateway& gateway);
/// Returns true if no caller waits for an answer or for the rest of one.
bool IsAnswered(const Gateway& gateway);

/// Returns the bound address for callers, `IP:port`.
const std::string& CallerAddressOf(const Gateway& gateway);
/// Returns the bound address for peers, `IP:port`.
const std::string& PeerAddressOf(const Gateway& gateway);
/// Returns the state of the node, for its views.
node::NodeState& NodeOf(Gateway& gateway);
/// Returns the metrics that `GET /metrics` serves.
kernel::Metrics& MetricsOf(Gateway& gateway);

/// The current state, for tests and benchmarks.
struct GatewayView {
  std::size_t connections = 0;  ///< Open connections of callers.
  std::size_t calls = 0;        ///< Calls in progress.
  std::size_t exchanges = 0;    ///< Requests in progress to other servers.
  std::size_t paused = 0;       ///< Exchanges paused for slow callers.
  std::size_t most_output_bytes = 0;  ///< Largest backlog of one caller.
  std::size_t peers = 0;              ///< Connected peers.
};
/// Returns the current state.
GatewayView ViewOf(const Gateway& gateway);

}  // namespace egretladder::gateway
