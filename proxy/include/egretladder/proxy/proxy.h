// A proxy node: routes requests by host and path to endpoints that it discovers
// through the platform's store and through other nodes.
#pragma once

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "egretladder/kernel/error.h"
#include "egretladder/kernel/loop.h"
#include "egretladder/kernel/metrics.h"
#include "egretladder/policy/stopping.h"
#include "egretladder/routing/endpoints.h"
#include "egretladder/routing/retry_budget.h"

namespace egretladder::proxy {

/// The options of a proxy, from its settings.
struct ProxyOptions {
  std::string node;
  std::string zone;
  std::string region;
  std::string dialect;  ///< Name of the platform's plug-in.
  // Listening addresses, `IP:port`; port 0 stands for any free port.
  std::string callers = "127.0.0.1:0";    ///< For requests of callers.
  std::string ready = "127.0.0.1:0";      ///< For readiness checks.
  std::string directory = "127.0.0.1:0";  ///< For the addresses of nodes.
  std::string peers = "127.0.0.1:0";      ///< For other nodes.
  /// For requests that other nodes hand over; empty: none are accepted.
  std::string handovers = "127.0.0.1:0";
  std::string metrics;  ///< Empty: metrics are not served.
  std::string store;    ///< Address of the platform's store, `IP:port`.
  std::vector<std::string> seeds;  ///< Peer addresses; some may be stale.
  /// True while the whole fleet starts for the first time, before it has any
  /// callers.
  bool is_new_fleet = false;
  routing::RetryBudgetRule retries;
  /// Placement mechanisms to disable, which shows their effect in a
  /// measurement.
  routing::DisabledMechanisms disabled_mechanisms;
  std::size_t memory_bytes = std::size_t{256} << 20U;
  std::size_t descriptors = 4096;  ///< Limit of open file descriptors.
  /// Time from SIGTERM until the platform kills the process.
  std::chrono::milliseconds grace{8000};
  /// How long the directory tells callers to keep the list of addresses.
  std::chrono::milliseconds directory_ttl{1000};
};

struct Proxy;
/// Deleter of the incomplete type `Proxy`.
struct ProxyDelete {
  void operator()(Proxy* proxy) const;
};
/// Owns a node and its sockets. Destruction closes the sockets.
using ProxyPtr = std::unique_ptr<Proxy, ProxyDelete>;

/// Binds the sockets and starts to read the store. `loop` must outlive the
/// proxy. Fails if an address can't be bound or the dialect is not registered.
kernel::Result<ProxyPtr> StartProxy(kernel::Loop& loop,
                                    const ProxyOptions& options);

/// Returns the timing of a graceful stop with these options.
policy::StopPlan MakeStopPlan(const ProxyOptions& options);
/// Begins a graceful stop: the node leaves the directory at once and completes
/// the calls in progress. Further calls of this function have no effect.
void Leave(Proxy& proxy);
/// Returns true when the process of a leaving node may exit: its callers have
/// received their answers, or its time is up.
bool CanShutDown(const Proxy& proxy);
/// Replaces the seeds after a change of the settings.
void SetSeeds(Proxy& proxy, const std::vector<std::string>& seeds);

/// Returns the metrics that `GET /metrics` serves.
kernel::Metrics& MetricsOf(Proxy& proxy);

/// The bound addresses and the current state of a node.
struct ProxyView {
  std::string callers;
  std::string ready;
  std::string directory;
  std::string peers;
  std::string handovers;            ///< Empty: none are accepted.
  std::string metrics;              ///< Empty: metrics are not served.
  std::uint64_t rules_version = 0;  ///< 0: no rules are known.
  std::size_t endpoints = 0;        ///< Known endpoints.
  std::size_t nodes = 1;            ///< Available nodes, this one included.
  std::size_t calls = 0;            ///< Calls in progress.
  std::size_t waiting = 0;          ///< Calls that wait for an endpoint.
  std::size_t cut = 0;  ///< Calls ended by the stop before their answers.
  std::size_t undelivered = 0;  ///< Answers that callers have not yet received.
  bool ready_now = false;
};
/// Returns the current state of a node.
ProxyView ViewOf(Proxy& proxy);

}  // namespace egretladder::proxy
