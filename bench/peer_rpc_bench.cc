// What one message between nodes costs on the wire and in processor time: the
// real codec and RPC over a pipe in memory, without sockets. `wire_B` counts
// both directions: the call, its answer and what the RPC adds.
#include <benchmark/benchmark.h>
#include <capnp/message.h>
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

const ef::Sender kSender{"entry-123", 0x1234567890abcdefULL};

struct Receiver final : wire::Inbox::Server {
  explicit Receiver(const ef::Message* back) : reply(back) {}

  kj::Promise<void> deliver(DeliverContext context) override {
    auto message = eg::ReadMessage(context.getParams().getMessage());
    benchmark::DoNotOptimize(message);
    if (reply == nullptr) return kj::READY_NOW;
    auto results = context.getResults();
    eg::Write(*reply, results.initReplies(1)[0]);
    return kj::READY_NOW;
  }

  const ef::Message* reply;
};

struct Greeter final : wire::Peer::Server {
  explicit Greeter(const ef::Message* back) : reply(back) {}

  kj::Promise<void> hello(HelloContext context) override {
    auto results = context.getResults();
    eg::Write(kSender, results.initSender());
    results.setInbox(kj::heap<Receiver>(reply));
    return kj::READY_NOW;
  }

  const ef::Message* reply;
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

std::size_t SizeOf(const ef::Message& message) {
  capnp::MallocMessageBuilder builder;
  auto root = builder.initRoot<wire::Message>();
  eg::Write(message, root);
  return root.totalSize().wordCount * sizeof(capnp::word);
}

void Deliver(benchmark::State& state, const ef::Message& message,
             const ef::Message* reply = nullptr) {
  kj::EventLoop loop;
  kj::WaitScope scope(loop);
  auto pipe = kj::newTwoWayPipe();
  CountingStream near(std::move(pipe.ends[0]));
  CountingStream far(std::move(pipe.ends[1]));
  capnp::TwoPartyVatNetwork far_network(far,
                                        capnp::rpc::twoparty::Side::SERVER);
  auto server = capnp::makeRpcServer(far_network, kj::heap<Greeter>(reply));
  capnp::TwoPartyClient client(near);
  auto hello = client.bootstrap().castAs<wire::Peer>().helloRequest();
  eg::Write(kSender, hello.initSender());
  auto inbox = hello.send().wait(scope).getInbox();
  const auto call = [&] {
    auto request = inbox.deliverRequest();
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
  state.counters["message_B"] =
      static_cast<double>(SizeOf(message) + (reply ? SizeOf(*reply) : 0));
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

ef::SlotAsks MakeAsks(std::int64_t endpoints) {
  ef::SlotAsks asks;
  for (std::int64_t i = 0; i < endpoints; ++i) {
    ef::SlotAsk ask;
    ask.endpoint = "runner-" + std::to_string(100 + i);
    ask.wanted = 4;
    asks.asks.push_back(ask);
  }
  return asks;
}

ef::SlotLeases MakeLeases(std::int64_t endpoints) {
  ef::SlotLeases leases;
  for (std::int64_t i = 0; i < endpoints; ++i) {
    ef::SlotLease lease;
    lease.endpoint = "runner-" + std::to_string(100 + i);
    lease.slots = 4;
    lease.left = 2s;
    lease.loaded = {"model-1", "model-2"};
    leases.leases.push_back(lease);
  }
  return leases;
}

void DeliverAsks(benchmark::State& state) {
  Deliver(state, MakeAsks(state.range(0)));
}
BENCHMARK(DeliverAsks)->ArgName("endpoints")->Arg(1)->Arg(4)->Arg(16);

void DeliverLeases(benchmark::State& state) {
  Deliver(state, MakeLeases(state.range(0)));
}
BENCHMARK(DeliverLeases)->ArgName("endpoints")->Arg(1)->Arg(4)->Arg(16);

// An exchange as it is: the reply comes back with the answer.
void PingAndReply(benchmark::State& state) {
  ef::Gossip gossip;
  for (int i = 0; i < state.range(0); ++i) {
    gossip.members.push_back(MakeMember(i));
  }
  const ef::Message reply = gossip;
  Deliver(state, gossip, &reply);
}
BENCHMARK(PingAndReply)->ArgName("members")->Arg(0)->Arg(4);

void AskAndLease(benchmark::State& state) {
  const ef::Message leases = MakeLeases(state.range(0));
  Deliver(state, MakeAsks(state.range(0)), &leases);
}
BENCHMARK(AskAndLease)->ArgName("endpoints")->Arg(1)->Arg(4)->Arg(16);

void DeliverRules(benchmark::State& state) {
  const std::string text(static_cast<std::size_t>(state.range(0)), 'x');
  Deliver(state, ef::RulesOffer{7, text});
}
BENCHMARK(DeliverRules)->ArgName("bytes")->Arg(6 << 10)->Arg(200 << 10);

}  // namespace

BENCHMARK_MAIN();
