// Nodes that lose their peers, during an exchange or permanently.
#include <CppUTest/TestHarness.h>
#include <capnp/rpc.capnp.h>
#include <capnp/serialize.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <list>
#include <memory>
#include <vector>

#include "egretladder/kernel/hash.h"
#include "egretladder/kernel/metrics.h"
#include "harness.h"
#include "peers_p.h"
#include "state_p.h"

using namespace std::chrono_literals;
namespace ek = egretladder::kernel;
namespace ep = egretladder::proxy;
namespace et = egretladder::proxy::test;

namespace {

// Returns text that does not compress well.
std::string RandomText(std::size_t size) {
  ek::Random random(1);
  std::string text(size, ' ');
  for (char& character : text) {
    character = static_cast<char>('0' + ek::RandomBelow(random, 64));
  }
  return text;
}

// A TCP relay between a client, which connects to it, and a server.
class Relay {
 public:
  Relay(et::TestEnvironment& env, const std::string& target)
      : env_(env), target_(target), port_(env.loop, [this](auto connection) {
          Accept(std::move(connection));
        }) {}

  const std::string& address() const { return port_.address(); }
  /// Disconnects both sides of the next connection on which `bytes` of answers
  /// have arrived, before it forwards them.
  void DisconnectAt(std::size_t bytes, bool with_reset) {
    disconnect_at_ = bytes;
    with_reset_ = with_reset;
  }
  /// While silent, new connections stay open and nothing is forwarded on them.
  void SetSilent(bool silent) { is_silent_ = silent; }
  /// Stops forwarding on all open connections, which stay open.
  void SilenceAll() {
    for (ConnectionPair& pair : pairs_) pair.silent = true;
  }
  bool has_disconnected() const { return disconnect_at_ == 0; }
  /// Bytes of requests received on the newest connection.
  std::size_t request_bytes() const {
    return pairs_.back().client->received().size();
  }
  /// Bytes of answers received on the newest connection.
  std::size_t answer_bytes() const {
    return pairs_.back().server->received().size();
  }
  std::size_t connections() const { return pairs_.size(); }

 private:
  struct ConnectionPair {
    std::unique_ptr<et::TestConnection> client;
    std::unique_ptr<et::TestConnection> server;
    std::size_t client_forwarded = 0;
    std::size_t server_forwarded = 0;
    bool silent = false;
  };

  void Accept(std::unique_ptr<et::TestConnection> connection) {
    ConnectionPair& pair = pairs_.emplace_back();
    pair.client = std::move(connection);
    pair.silent = is_silent_;
    pair.server = std::make_unique<et::TestConnection>(env_.loop, target_);
    pair.client->OnChange([this, &pair] { ForwardBoth(pair); });
    pair.server->OnChange([this, &pair] { ForwardBoth(pair); });
  }

  void ForwardBoth(ConnectionPair& pair) {
    if (pair.silent) return;
    if (disconnect_at_ > 0 &&
        pair.server->received().size() >= disconnect_at_) {
      disconnect_at_ = 0;
      with_reset_ ? pair.server->Reset() : pair.server->Close();
      with_reset_ ? pair.client->Reset() : pair.client->Close();
      return;
    }
    Forward(*pair.client, *pair.server, pair.client_forwarded);
    Forward(*pair.server, *pair.client, pair.server_forwarded);
  }

  static void Forward(const et::TestConnection& from, et::TestConnection& to,
                      std::size_t& forwarded) {
    const std::string_view received = from.received();
    to.Send(received.substr(forwarded));
    forwarded = from.received().size();
    if (from.ended()) to.Close();
  }

  et::TestEnvironment& env_;
  std::string target_;
  std::size_t disconnect_at_ = 0;
  bool with_reset_ = false;
  bool is_silent_ = false;
  std::list<ConnectionPair> pairs_;
  et::TestListener port_;
};

std::string BytesOf(capnp::MessageBuilder& message) {
  const auto words = capnp::messageToFlatArray(message);
  const auto bytes = words.asBytes();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

// What a peer sends that asks for so many exchanges without news of its own.
std::string FormatExchanges(std::uint32_t count) {
  capnp::MallocMessageBuilder bootstrap;
  bootstrap.initRoot<capnp::rpc::Message>().initBootstrap().setQuestionId(0);
  std::string bytes = BytesOf(bootstrap);
  for (std::uint32_t i = 1; i <= count; ++i) {
    capnp::MallocMessageBuilder message;
    auto call = message.initRoot<capnp::rpc::Message>().initCall();
    call.setQuestionId(i);
    call.initTarget().initPromisedAnswer().setQuestionId(0);
    call.setInterfaceId(capnp::typeId<egretladder::exchange::Peer>());
    call.initParams();
    bytes += BytesOf(message);
  }
  return bytes;
}

// All but the last word of a message with one segment.
std::string FormatHalfMessage(std::uint32_t bytes) {
  std::string message(bytes, '\0');
  const std::uint32_t words = bytes / sizeof(capnp::word);
  std::memcpy(message.data() + sizeof(std::uint32_t), &words, sizeof(words));
  return message;
}

// While it exists, this process can open no further descriptor.
class NoFreeDescriptors {
 public:
  NoFreeDescriptors() {
    getrlimit(RLIMIT_NOFILE, &before_);
    const int lowest_free = dup(STDIN_FILENO);
    close(lowest_free);
    rlimit lowered = before_;
    lowered.rlim_cur = static_cast<rlim_t>(lowest_free);
    setrlimit(RLIMIT_NOFILE, &lowered);
  }
  ~NoFreeDescriptors() { setrlimit(RLIMIT_NOFILE, &before_); }
  NoFreeDescriptors(const NoFreeDescriptors&) = delete;
  NoFreeDescriptors& operator=(const NoFreeDescriptors&) = delete;

 private:
  rlimit before_{};
};

// Lines that libevent has written since `CountLibeventLines`.
std::size_t libevent_lines = 0;
void CountLibeventLines() {
  libevent_lines = 0;
  event_set_log_callback(
      [](int /*severity*/, const char* /*text*/) { ++libevent_lines; });
}

// Runs the loop until no event is active, but not longer than half a second.
// Returns whether it got there.
bool BecomesIdle(ek::Loop& loop) {
  const ek::EventWatcher end =
      ek::RunAfter(loop, 500ms, [&loop] { ek::StopLoop(loop); });
  event_base_loop(loop.base.get(), EVLOOP_NONBLOCK);
  return event_base_got_break(loop.base.get()) == 0;
}

}  // namespace

TEST_GROUP(Peers) {
  et::TestEnvironment env;

  std::string GetDirectory(ep::Proxy & proxy) {
    et::TestConnection& client = env.Connect(ep::ViewOf(proxy).directory);
    client.Send("GET /nodes/a HTTP/1.1\r\nHost: h\r\n\r\n");
    env.WaitUntil([&client] { return !et::DescribeAnswer(client).empty(); });
    return et::ParseAnswers(client.received())[0].body;
  }

  // Starts a node that can't read the store and gets all data from `seed`.
  ep::Proxy& StartNodeWithSeed(const std::string& name,
                               const std::string& seed) {
    ep::ProxyOptions options = env.MakeOptions(name);
    options.store = "127.0.0.1:1";
    options.seeds = {seed};
    return env.StartNode(options);
  }
};

// A connection between two nodes is lost while one of them sends a large
// answer, most of which is still in the sender's buffer. Both nodes keep
// working, the next exchange succeeds, and callers notice nothing.
TEST(Peers, ConnectionLostDuringAnswerHarmsNeitherNode) {
  constexpr std::size_t kNoteBytes = std::size_t{4} << 20U;
  env.AddEndpoint("e1", et::AnswerImmediately());
  env.store.Put("note", RandomText(kNoteBytes));
  ep::Proxy& first = env.StartReadyNode();
  int started = 0;
  for (const std::size_t bytes : {1U, 1000U, 100'000U, 2'000'000U}) {
    for (const bool with_reset : {false, true}) {
      Relay relay(env, ep::ViewOf(first).peers);
      relay.DisconnectAt(bytes, with_reset);
      ep::Proxy& second = StartNodeWithSeed("n" + std::to_string(2 + started++),
                                            relay.address());
      env.WaitUntil([&relay] { return relay.has_disconnected(); });
      STRCMP_EQUAL("200",
                   env.SendAndDescribe(first, {.path = "/once/a"}).c_str());
      env.WaitUntil([&relay] {
        return relay.connections() > 1 && relay.answer_bytes() > 0;
      });
      env.WaitUntilReady(second, 1);
      STRCMP_EQUAL("200",
                   env.SendAndDescribe(second, {.path = "/once/b"}).c_str());
      env.Publish();
      env.WaitUntilRulesApplied(second);
      STRCMP_EQUAL("200",
                   env.SendAndDescribe(first, {.path = "/once/c"}).c_str());
      env.KillNode(second);
    }
  }
}

// Guards against a node that sends all its data whenever it opens a connection,
// which happens several times a second in a large fleet.
TEST(Peers, NewConnectionDoesNotRepeatKnownData) {
  constexpr std::size_t kNoteBytes = std::size_t{1} << 20U;
  env.AddEndpoint("e1", et::AnswerImmediately());
  env.store.Put("note", RandomText(kNoteBytes));
  ep::Proxy& first = env.StartReadyNode();
  Relay relay(env, ep::ViewOf(first).peers);
  ep::Proxy& second = StartNodeWithSeed("n2", relay.address());
  env.WaitUntilReady(second, 1);
  env.WaitUntilRulesApplied(second);
  relay.DisconnectAt(1, false);
  env.WaitUntil([&relay] { return relay.has_disconnected(); });
  env.WaitUntil([&relay] {
    return relay.connections() > 1 && relay.answer_bytes() > 2000;
  });
  CHECK(relay.request_bytes() < kNoteBytes / 10);
  CHECK(relay.answer_bytes() < kNoteBytes / 10);
}

// A peer's machine loses its power: the connection to it stays open, and
// nothing answers. A node that waited for that answer forever would never again
// get data through the peer's address, and could not serve any caller without
// the store.
TEST(Peers, SilentPeerIsReconnected) {
  env.AddEndpoint("e1", et::AnswerImmediately());
  ep::Proxy& first = env.StartReadyNode();
  Relay relay(env, ep::ViewOf(first).peers);
  relay.SetSilent(true);
  ep::Proxy& second = StartNodeWithSeed("n2", relay.address());
  env.WaitUntil([&relay] { return relay.connections() == 1; });
  // The request is refused before the node gives up its first connection, so
  // that the second one isn't silent.
  constexpr int kTimeoutMs = 800;
  STRCMP_EQUAL("503 no", env.SendAndDescribe(second, {.path = "/once/a",
                                                      .timeout_ms = kTimeoutMs})
                             .c_str());
  LONGS_EQUAL(1, relay.connections());
  relay.SetSilent(false);
  env.WaitUntilReady(second, 1);
  LONGS_EQUAL(2, relay.connections());
  STRCMP_EQUAL("200", env.SendAndDescribe(second, {.path = "/once/b"}).c_str());
}

// Guards against a fleet in which every restart of a node calls the store,
// although its peers have all data.
TEST(Peers, StartingNodeLearnsFromPeersBeforeStore) {
  env.AddEndpoint("e1", et::AnswerImmediately());
  ep::Proxy& first = env.StartReadyNode();
  env.RunLoopFor(50ms);
  const int calls = env.store.call_count();
  ep::ProxyOptions options = env.MakeOptions("n2");
  options.seeds = {ep::ViewOf(first).peers};
  ep::Proxy& second = env.StartNode(options);
  env.WaitUntilReady(second, 1);
  env.WaitUntilRulesApplied(second);
  LONGS_EQUAL(calls, env.store.call_count());
  STRCMP_EQUAL("200", env.SendAndDescribe(second, {.path = "/once/a"}).c_str());
}

// Guards against a node that waits forever for seeds that no longer exist.
TEST(Peers, NodeWithoutReachableSeedsReadsStore) {
  env.AddEndpoint("e1", et::AnswerImmediately());
  env.Publish();
  ep::ProxyOptions options = env.MakeOptions("n1");
  options.seeds = {"127.0.0.1:1"};
  for (const bool is_new_fleet : {false, true}) {
    options.is_new_fleet = is_new_fleet;
    ep::Proxy& proxy = env.StartNode(options);
    env.WaitUntilReady(proxy, 1);
    STRCMP_EQUAL("200",
                 env.SendAndDescribe(proxy, {.path = "/once/a"}).c_str());
    env.KillNode(proxy);
  }
}

// Guards against two nodes that start together and wait for each other.
TEST(Peers, NodesStartedTogetherReadStoreAtOnce) {
  env.AddEndpoint("e1", et::AnswerImmediately());
  env.Publish();
  ep::ProxyOptions options = env.MakeOptions("n1");
  options.seeds = {"127.0.0.1:1"};
  ep::Proxy& first = env.StartNode(options);
  options = env.MakeOptions("n2");
  options.seeds = {ep::ViewOf(first).peers};
  ep::Proxy& second = env.StartNode(options);
  env.WaitUntilReady(second, 1);
  env.WaitUntilReady(first, 1);
}

// Guards against a reader that keeps waiting on a watch whose connection is
// silent, while its peers have newer data.
TEST(Peers, WatchThatMissesPeerChangesIsRestarted) {
  env.AddEndpoint("e1", et::AnswerImmediately());
  ep::Proxy& first = env.StartReadyNode();
  Relay relay(env, env.store.address());
  ep::ProxyOptions options = env.MakeOptions("n2");
  options.seeds = {ep::ViewOf(first).peers};
  options.store = relay.address();
  ep::Proxy& second = env.StartNode(options);
  env.WaitUntilReady(second, 1);
  env.WaitUntil([&relay] { return relay.connections() == 2; });
  relay.SilenceAll();
  env.AddEndpoint("e2", et::AnswerImmediately());
  env.WaitUntilReady(second, 2);
  env.WaitUntil([&relay] { return relay.connections() > 2; });
  STRCMP_CONTAINS("egretladder_store_failures_total{feed=\"endpoints\"} 1",
                  ek::PrometheusText(ep::MetricsOf(second)).c_str());
}

// All other nodes are killed. The last node keeps serving, lists only its own
// address in its directory, and discovers a node that starts.
TEST(Peers, LastNodeServesAndListsOnlyItself) {
  env.AddEndpoint("e1", et::AnswerImmediately());
  ep::Proxy& last = env.StartReadyNode();
  const std::string seed = ep::ViewOf(last).peers;
  ep::Proxy& second = StartNodeWithSeed("n2", seed);
  ep::Proxy& third = StartNodeWithSeed("n3", seed);
  env.WaitUntilReady(second, 1);
  env.WaitUntilReady(third, 1);
  env.WaitUntil([&last] { return ep::ViewOf(last).nodes == 3; });
  env.KillNode(second);
  env.KillNode(third);
  env.WaitUntil([&last] { return ep::ViewOf(last).nodes == 1; });
  const std::string own = ep::ViewOf(last).callers + "\n";
  STRCMP_EQUAL(own.c_str(), GetDirectory(last).c_str());
  CHECK(ep::ViewOf(last).ready_now);
  STRCMP_EQUAL("200", env.SendAndDescribe(last, {.path = "/once/a"}).c_str());
  ep::Proxy& again = StartNodeWithSeed("n2", seed);
  env.WaitUntilReady(again, 1);
  env.WaitUntil([&last] { return ep::ViewOf(last).nodes == 2; });
  const std::string listed = GetDirectory(last);
  CHECK(listed.find(ep::ViewOf(again).callers) != std::string::npos);
}

// Guards against a node that does nothing but fail to accept, and fills the
// disk with lines about it, once a crowd holds all its descriptors.
TEST(Peers, PortWithoutFreeDescriptorWaits) {
  env.AddEndpoint("e1", et::AnswerImmediately());
  ep::Proxy& first = env.StartReadyNode();
  env.Connect(ep::ViewOf(first).peers);
  CountLibeventLines();
  {
    const NoFreeDescriptors none_free;
    const bool was_idle = BecomesIdle(env.loop);
    CHECK_EQUAL(0U, libevent_lines);
    CHECK(was_idle);
    env.RunLoopFor(300ms);
    CHECK(BecomesIdle(env.loop));
    CHECK_EQUAL(0U, libevent_lines);
  }
  ep::Proxy& second = StartNodeWithSeed("n2", ep::ViewOf(first).peers);
  env.WaitUntilReady(second, 1);
  STRCMP_EQUAL("200", env.SendAndDescribe(first, {.path = "/once/a"}).c_str());
}

// Guards against a node that runs out of memory, since it answers a peer that
// reads nothing. The answers together have more than eight times the bound.
TEST(Peers, PeerThatReadsNothingIsNotReadOn) {
  constexpr std::uint32_t kExchanges = 30'000;
  constexpr std::size_t kMaxHeldBytes = std::size_t{1} << 20U;
  env.AddEndpoint("e1", et::AnswerImmediately());
  ep::Proxy& proxy = env.StartReadyNode();
  et::TestConnection& peer = env.Connect(ep::ViewOf(proxy).peers, 8192);
  peer.PauseReading(true);
  peer.Send(FormatExchanges(kExchanges));
  std::size_t most_held = 0;
  for (int i = 0; i < 100; ++i) {
    env.RunLoopFor(10ms);
    for (const auto& incoming : proxy.peers->incoming) {
      most_held =
          std::max(most_held, incoming->network.getCurrentQueueSize() +
                                  incoming->stream.PendingOutputBytes());
    }
  }
  CHECK_COMPARE(most_held, <, kMaxHeldBytes);
  STRCMP_EQUAL("200", env.SendAndDescribe(proxy, {.path = "/once/a"}).c_str());
}

// Guards against idle connections that keep a node's peers out.
TEST(Peers, IdleConnectionsMakeRoomForPeers) {
  env.AddEndpoint("e1", et::AnswerImmediately());
  env.Publish();
  ep::ProxyOptions options = env.MakeOptions("n1");
  options.descriptors = 64;
  ep::Proxy& first = env.StartNode(options);
  env.WaitUntilReady(first, 1);
  for (int i = 0; i < 20; ++i) env.Connect(ep::ViewOf(first).peers);
  env.RunLoopFor(100ms);
  ep::Proxy& second = StartNodeWithSeed("n2", ep::ViewOf(first).peers);
  env.WaitUntil([&] {
    return ep::ViewOf(first).nodes == 2 && ep::ViewOf(second).nodes == 2;
  });
}

// Guards against a node that runs out of memory, since each connection of a
// crowd holds most of a large message.
TEST(Peers, CrowdWithHalfMessagesHoldsLittle) {
  constexpr std::size_t kConnections = 24;
  constexpr std::uint32_t kMessageBytes = std::uint32_t{4} << 20U;
  // 64 MiB, and what is read before some are closed.
  constexpr std::size_t kMaxHeldBytes = std::size_t{72} << 20U;
  env.AddEndpoint("e1", et::AnswerImmediately());
  ep::Proxy& first = env.StartReadyNode();
  std::vector<et::TestConnection*> crowd;
  for (std::size_t i = 0; i < kConnections; ++i) {
    crowd.push_back(&env.Connect(ep::ViewOf(first).peers));
    crowd.back()->Send(FormatHalfMessage(kMessageBytes));
  }
  env.WaitUntil([&crowd] {
    return std::all_of(crowd.begin(), crowd.end(), [](const auto* connection) {
      return connection->ended() || connection->unsent_bytes() == 0;
    });
  });
  env.RunLoopFor(300ms);
  const auto open = std::count_if(
      crowd.begin(), crowd.end(),
      [](const auto* connection) { return !connection->ended(); });
  CHECK_COMPARE(static_cast<std::size_t>(open) * kMessageBytes, <,
                kMaxHeldBytes);
  ep::Proxy& second = StartNodeWithSeed("n2", ep::ViewOf(first).peers);
  env.WaitUntilReady(second, 1);
  STRCMP_EQUAL("200", env.SendAndDescribe(first, {.path = "/once/a"}).c_str());
}
