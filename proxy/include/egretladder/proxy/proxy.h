// A node that routes by host and path to endpoints that it discovers: its
// listeners, its reads of the platform's store, its peers.
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

/// What a proxy is started with, from its settings.
struct ProxyOptions {
  std::string node;
  std::string zone;
  std::string region;
  std::string dialect;  ///< Name of the platform's plug-in.
  std::string callers = "127.0.0.1:0";
  std::string ready = "127.0.0.1:0";
  std::string directory = "127.0.0.1:0";
  std::string peers = "127.0.0.1:0";
  std::string metrics;             ///< Empty: not served.
  std::string store;               ///< `IP:port`.
  std::vector<std::string> seeds;  ///< Peer addresses; may be stale.
  /// The whole fleet starts for the first time, without callers so far.
  bool is_new_fleet = false;
  routing::RetryBudgetRule retries;
  /// Mechanisms of placing that are left out, to measure their worth.
  routing::DisabledMechanisms disabled_mechanisms;
  std::size_t memory_bytes = std::size_t{256} << 20U;
  std::size_t descriptors = 4096;
  /// From SIGTERM until the process must be gone.
  std::chrono::milliseconds grace{8000};
  /// How long callers are told to keep the list of addresses.
  std::chrono::milliseconds directory_ttl{1000};
};

struct Proxy;
/// Lets `ProxyPtr` own a type that only the sources know.
struct ProxyDelete {
  void operator()(Proxy* proxy) const;
};
/// Owns a node with its sockets; closes them when it goes.
using ProxyPtr = std::unique_ptr<Proxy, ProxyDelete>;

/// Binds the sockets and starts to read the store. `loop` must outlive it.
/// Fails when an address can't be bound or no dialect has the name.
kernel::Result<ProxyPtr> StartProxy(kernel::Loop& loop,
                                    const ProxyOptions& options);

/// The stop that these settings ask for.
policy::StopPlan MakeStopPlan(const ProxyOptions& options);
/// Begins a graceful stop: out of the directory at once, calls go to their end.
/// Later calls change nothing.
void Leave(Proxy& proxy);
/// True when a leaving node may end: callers have their answers, or its time is
/// up.
bool CanShutDown(const Proxy& proxy);
/// New seeds from changed settings.
void SetSeeds(Proxy& proxy, const std::vector<std::string>& seeds);

/// What `GET /metrics` shows.
kernel::Metrics& MetricsOf(Proxy& proxy);

/// Addresses bound, and numbers for tests.
struct ProxyView {
  std::string callers;
  std::string ready;
  std::string directory;
  std::string peers;
  std::string metrics;  ///< Empty: not served.
  std::uint64_t rules_version = 0;
  std::size_t endpoints = 0;
  std::size_t nodes = 1;        ///< There, this one included.
  std::size_t calls = 0;        ///< In progress.
  std::size_t waiting = 0;      ///< Of these, without an endpoint.
  std::size_t cut = 0;          ///< Ended by the stop before their answers.
  std::size_t undelivered = 0;  ///< Answers that callers have not taken yet.
  bool ready_now = false;
};
ProxyView ViewOf(Proxy& proxy);

}  // namespace egretladder::proxy
