// What one message between nodes costs on the wire and in processor time: the
// real codec and RPC over a pipe in memory, without sockets. `wire_B` counts
// both directions: the call, its answer and what the RPC adds.
#include <benchmark/benchmark.h>
#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <chrono>
#include <cstddef>
#include <string>
#include <utility>

#include "peer_codec_p.h"

namespace ef = egretladder::fleet;
namespace eg = egretladder::gateway;
namespace wire = egretladder::wire;

namespace {

using namespace std::chrono_literals;

struct Receiver final : wire::Peer::Server {
  kj::Promise<void> deliver(DeliverContext context) override {
    auto message = eg::ReadMessage(context.getParams().getMessage());
    benchmark::DoNotOptimize(message);
    return kj::READY_NOW;
  }
};

// Counts what is written on one end of the pipe.
struct CountingStream final : kj::AsyncIoStream {
  explicit CountingStream(kj::Own<kj::AsyncIoStream> end)
      : inner(std::move(end)) {}
  kj::Promise<std::size_t> tryRead(void* buffer, std::size_t least,
                                   std::size_t most) override {
    return inner->tryRead(buffer, least, most);
  }
  kj::Promise<void> write(const void* buffer, std::size_t size) override {
    written += size;
    return inner->write(buffer, size);
  }
  kj::Promise<void> write(
      kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override {
    for (const auto& piece : pieces) written += piece.size();
    return inner->write(pieces);
  }
  kj::Promise<void> whenWriteDisconnected() override {
    return inner->whenWriteDisconnected();
  }
  void shutdownWrite() override { inner->shutdownWrite(); }

  kj::Own<kj::AsyncIoStream> inner;
  std::size_t written = 0;
};

void Deliver(benchmark::State& state, const ef::Message& message) {
  kj::EventLoop loop;
  kj::WaitScope scope(loop);
  auto pipe = kj::newTwoWayPipe();
  CountingStream near(std::move(pipe.ends[0]));
  CountingStream far(std::move(pipe.ends[1]));
  capnp::TwoPartyVatNetwork far_network(far,
                                        capnp::rpc::twoparty::Side::SERVER);
  auto server = capnp::makeRpcServer(far_network, kj::heap<Receiver>());
  capnp::TwoPartyClient client(near);
  auto peer = client.bootstrap().castAs<wire::Peer>();
  const ef::Sender sender{"entry-123", 0x1234567890abcdefULL};
  const auto call = [&] {
    auto request = peer.deliverRequest();
    eg::Write(sender, request.initSender());
    eg::Write(message, request.initMessage());
    request.send().wait(scope);
  };
  call();
  const std::size_t before = near.written + far.written;
  std::size_t calls = 0;
  for (auto _ : state) {
    call();
    ++calls;
  }
  state.counters["wire_B"] =
      static_cast<double>(near.written + far.written - before) /
      static_cast<double>(calls);
}

ef::Member MakeMember(int i) {
  return {"entry-" + std::to_string(100 + i),
          "10.1.1." + std::to_string(i) + ":80",
          "10.1.1." + std::to_string(i) + ":81",
          "zone-1",
          0x1234567890abcdefULL,
          1'790'000'000,
          100'000,
          ef::MemberState::kAlive};
}

void DeliverGossip(benchmark::State& state) {
  ef::Gossip gossip;
  for (int i = 0; i < state.range(0); ++i) {
    gossip.members.push_back(MakeMember(i));
  }
  Deliver(state, gossip);
}
BENCHMARK(DeliverGossip)->ArgName("members")->Arg(0)->Arg(1)->Arg(4)->Arg(16);

void DeliverAsks(benchmark::State& state) {
  ef::SlotAsks asks;
  for (int i = 0; i < state.range(0); ++i) {
    ef::SlotAsk ask;
    ask.endpoint = "runner-" + std::to_string(100 + i);
    ask.wanted = 4;
    asks.asks.push_back(ask);
  }
  Deliver(state, asks);
}
BENCHMARK(DeliverAsks)->ArgName("endpoints")->Arg(1)->Arg(4)->Arg(16);

void DeliverLeases(benchmark::State& state) {
  ef::SlotLeases leases;
  for (int i = 0; i < state.range(0); ++i) {
    ef::SlotLease lease;
    lease.endpoint = "runner-" + std::to_string(100 + i);
    lease.slots = 4;
    lease.left = 2s;
    lease.loaded = {"model-1", "model-2"};
    leases.leases.push_back(lease);
  }
  Deliver(state, leases);
}
BENCHMARK(DeliverLeases)->ArgName("endpoints")->Arg(1)->Arg(4)->Arg(16);

void DeliverRules(benchmark::State& state) {
  const std::string text(static_cast<std::size_t>(state.range(0)), 'x');
  Deliver(state, ef::RulesOffer{7, text});
}
BENCHMARK(DeliverRules)->ArgName("bytes")->Arg(6 << 10)->Arg(200 << 10);

}  // namespace

BENCHMARK_MAIN();
