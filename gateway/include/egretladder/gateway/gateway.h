// A node with its sockets: callers, endpoints, the platform and peers, all on
// one loop. Several may run on one loop and thread, as tests do.
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

/// Bounds that keep a node's memory and sockets finite whatever comes in.
struct Limits {
  std::size_t header_bytes = kHeaderBytes;
  std::size_t body_bytes = kBodyBytes;
  /// Of all calls whose answer has not begun; they are kept to be sent again.
  std::size_t bodies_bytes = kBodiesBytes;
  std::size_t connections = kConnections;  ///< Of callers.
  /// Reading one request, and idle time between two.
  std::chrono::milliseconds request_time = kRequestTime;
  /// From sending to an endpoint until its first byte.
  std::chrono::milliseconds answer_time = kAnswerTime;
  /// Between two bytes of an endpoint's answer.
  std::chrono::milliseconds idle_timeout = kIdleTime;
  /// A caller that takes nothing for this long is dropped.
  std::chrono::milliseconds write_timeout = kDrainTime;
  /// Unread output of one caller above which its endpoint is not read.
  std::size_t caller_buffer = kCallerBuffer;
  /// Largest answer that is held whole before the caller gets any of it.
  std::size_t answer_bytes = kAnswerBytes;
};

/// TLS towards callers; both empty: plain HTTP.
struct TlsOptions {
  std::string certificate;  ///< PEM file with the chain.
  std::string key;          ///< PEM file.
};

/// What a gateway is started with, from its settings.
struct GatewayOptions {
  /// `fleet.caller_address` and `fleet.peer_address`, where empty, become the
  /// bound addresses.
  node::NodeOptions node;
  std::string caller_listen = "127.0.0.1:0";  ///< Port 0: any free one.
  std::string peer_listen = "127.0.0.1:0";
  std::string platform;  ///< `IP:port`; empty: none.
  Limits limits;
  TlsOptions tls;
  /// How long a leaving node stays at least, also when it is idle.
  std::chrono::milliseconds linger = kLinger;
};

struct Gateway;
/// Lets `GatewayPtr` own a type that only the sources know.
struct GatewayDelete {
  void operator()(Gateway* gateway) const;
};
/// Owns a node with its sockets; closes them when it goes.
using GatewayPtr = std::unique_ptr<Gateway, GatewayDelete>;

/// Binds the sockets and starts the node. `loop` must outlive it. Fails when an
/// address can't be bound, the certificate can't be read or the scheduler has
/// no such name.
kernel::Result<GatewayPtr> StartGateway(kernel::Loop& loop,
                                        const GatewayOptions& options);

/// Begins a graceful stop: out of `/where` at once, calls in progress end.
void Leave(Gateway& gateway);
/// True when no call is in progress and every answer has left.
bool IsIdle(const Gateway& gateway);
/// True when a leaving node may end: it is idle, and no caller still keeps an
/// answer of `/where` that names it.
bool CanShutDown(const Gateway& gateway);

/// Ends the calls in progress of a leaving node whose time is up. Their callers
/// learn what became of them; a process that just ended would leave them with a
/// connection that closes.
void EndCalls(Gateway& gateway);
/// True when no caller waits for an answer, or for the rest of one.
bool IsAnswered(const Gateway& gateway);

/// The address bound for callers, `IP:port`.
const std::string& CallerAddressOf(const Gateway& gateway);
/// The address bound for peers, `IP:port`.
const std::string& PeerAddressOf(const Gateway& gateway);
/// The node behind the sockets, for its views.
node::NodeState& NodeOf(Gateway& gateway);
/// What `GET /metrics` shows.
kernel::Metrics& MetricsOf(Gateway& gateway);

/// Numbers for tests and benchmarks.
struct GatewayView {
  std::size_t connections = 0;        ///< Of callers.
  std::size_t calls = 0;              ///< In progress.
  std::size_t exchanges = 0;          ///< With endpoints and other servers.
  std::size_t paused = 0;             ///< Exchanges held back for slow callers.
  std::size_t most_output_bytes = 0;  ///< Largest output waiting for a caller.
  std::size_t peers = 0;              ///< Connected.
};
/// What is open and in progress now.
GatewayView ViewOf(const Gateway& gateway);

}  // namespace egretladder::gateway
