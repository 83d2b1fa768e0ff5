#include "egretladder/gateway/gateway.h"

#include <array>
#include <csignal>
#include <cstdio>
#include <utility>

#include "caller_body_p.h"
#include "egretladder/kernel/hash.h"
#include "egretladder/kernel/log.h"
#include "gateway_p.h"

namespace egretladder::gateway {
namespace {

void RunQueue(Gateway& gateway) {
  if (gateway.pumping) return;
  gateway.pumping = true;
  while (!gateway.queue.empty() || !gateway.later.empty()) {
    const auto later = std::move(gateway.later);
    gateway.later.clear();
    for (const auto& work : later) work();
    if (gateway.queue.empty()) continue;
    node::Action action = std::move(gateway.queue.front());
    gateway.queue.pop_front();
    Apply(gateway, std::move(action));
  }
  gateway.pumping = false;
}

// The signature is libevent's.
// NOLINTNEXTLINE(google-runtime-int)
void OnPump(evutil_socket_t /*fd*/, short /*what*/, void* arg) {
  auto& gateway = *static_cast<Gateway*>(arg);
  RunQueue(gateway);
  const auto ended = std::move(gateway.ended);
  gateway.ended.clear();
}

void Put(Gateway& gateway, node::Actions& actions) {
  for (node::Action& action : actions) {
    gateway.queue.push_back(std::move(action));
  }
}

void Tick(Gateway& gateway) {
  node::Actions actions;
  node::OnTick(*gateway.node, NowOf(gateway), actions);
  Pump(gateway, std::move(actions));
}

std::string RequestPrefix(const std::string& node) {
  std::array<char, 12> text{};
  std::snprintf(text.data(), text.size(), "%08x",
                static_cast<unsigned>(kernel::SecureRandom64()));
  return node + "-" + text.data() + "-";
}

// Sets the values that differ with each start of the process.
void Identify(node::NodeOptions& options) {
  if (options.fleet.incarnation == 0) {
    options.fleet.incarnation = kernel::SecureRandom64();
  }
  if (options.fleet.started == 0) {
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    options.fleet.started = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::seconds>(since).count());
  }
  // Only this process checks its lanes, so it uses a secret of its own.
  if (options.lane_secret.empty()) {
    options.lane_secret = std::to_string(kernel::SecureRandom64()) +
                          std::to_string(kernel::SecureRandom64());
  }
}

kernel::Result<void> StartNode(Gateway& gateway) {
  node::NodeOptions& options = gateway.options.node;
  if (options.fleet.caller_address.empty()) {
    options.fleet.caller_address = gateway.front.server->address();
  }
  Identify(options);
  node::Actions actions;
  auto started = node::StartNode(options, NowOf(gateway), actions);
  if (!started) return started.error();
  gateway.node = std::move(started).value();
  PumpLater(gateway, std::move(actions));
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

}  // namespace

kernel::Time NowOf(const Gateway& gateway) {
  return kernel::Now(gateway.loop->clock);
}

void Pump(Gateway& gateway, node::Actions&& actions) {
  Put(gateway, actions);
  RunQueue(gateway);
}

void PumpLater(Gateway& gateway, node::Actions&& actions) {
  Put(gateway, actions);
  event_active(gateway.pump.get(), 0, 0);
}

void Later(Gateway& gateway, std::function<void()> work) {
  gateway.later.push_back(std::move(work));
  event_active(gateway.pump.get(), 0, 0);
}

kernel::Result<GatewayPtr> StartGateway(kernel::Loop& loop,
                                        const GatewayOptions& options) {
  // A write to a connection that a peer closed must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  GatewayPtr gateway(new Gateway);
  gateway->loop = &loop;
  gateway->options = options;
  gateway->request_prefix = RequestPrefix(options.node.fleet.node);
  gateway->call_metrics = AddCallMetrics(gateway->metrics);
  gateway->client = OpenHttpClient(loop);
  gateway->pump.reset(event_new(loop.base.get(), -1, 0, OnPump, gateway.get()));
  BOOST_OUTCOME_TRYV(OpenFront(*gateway));
  std::string peer_address;
  BOOST_OUTCOME_TRY(peers, OpenPeers(*gateway, &peer_address));
  gateway->peers = std::move(peers);
  if (gateway->options.node.fleet.peer_address.empty()) {
    gateway->options.node.fleet.peer_address = peer_address;
  }
  BOOST_OUTCOME_TRYV(StartNode(*gateway));
  gateway->tick = kernel::RunEvery(loop, node::kNodeTickInterval,
                                   [raw = gateway.get()] { Tick(*raw); });
  return gateway;
}

void GatewayDelete::operator()(Gateway* gateway) const {
  gateway->peers.reset();
  for (auto& [id, call] : gateway->calls) {
    if (call->attempt.exchange != nullptr) {
      CancelExchange(call->attempt.exchange);
    }
  }
  CloseFront(*gateway);
  gateway->client.reset();
  delete gateway;
}

void Leave(Gateway& gateway) {
  if (gateway.leaving) return;
  gateway.leaving = true;
  gateway.linger_until = NowOf(gateway) + gateway.options.linger;
  // Callers must not keep connections for further calls.
  gateway.front.server->CloseAfterAnswers();
  node::Actions actions;
  node::Leave(*gateway.node, NowOf(gateway), actions);
  Pump(gateway, std::move(actions));
}

bool IsIdle(const Gateway& gateway) {
  if (!gateway.calls.empty() || !node::IsIdle(*gateway.node)) return false;
  return gateway.front.server->undelivered() == 0;
}

bool CanShutDown(const Gateway& gateway) {
  return gateway.leaving && NowOf(gateway) >= gateway.linger_until &&
         IsIdle(gateway);
}

void EndCalls(Gateway& gateway) {
  node::Actions actions;
  node::EndCalls(*gateway.node, NowOf(gateway), actions);
  Pump(gateway, std::move(actions));
}

bool IsAnswered(const Gateway& gateway) {
  return gateway.calls.empty() && gateway.front.server->undelivered() == 0;
}

const std::string& CallerAddressOf(const Gateway& gateway) {
  return gateway.front.server->address();
}

const std::string& PeerAddressOf(const Gateway& gateway) {
  return gateway.options.node.fleet.peer_address;
}

node::NodeState& NodeOf(Gateway& gateway) { return *gateway.node; }

kernel::Metrics& MetricsOf(Gateway& gateway) { return gateway.metrics; }

GatewayView ViewOf(const Gateway& gateway) {
  GatewayView view;
  view.connections = gateway.front.server->connections();
  view.calls = gateway.calls.size();
  view.exchanges = CountExchanges(*gateway.client);
  view.paused = CountPaused(*gateway.client);
  view.most_output_bytes = gateway.front.most_output;
  view.peers = CountPeers(*gateway.peers);
  return view;
}

}  // namespace egretladder::gateway
