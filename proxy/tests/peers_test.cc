// Nodes whose peers go, in the middle of an exchange or for good.
#include <CppUTest/TestHarness.h>

#include <list>
#include <memory>

#include "egretladder/kernel/hash.h"
#include "egretladder/kernel/metrics.h"
#include "harness.h"

using namespace std::chrono_literals;
namespace ek = egretladder::kernel;
namespace ep = egretladder::proxy;
namespace et = egretladder::proxy::test;

namespace {

// Letters that no compression makes much shorter.
std::string Letters(std::size_t size) {
  ek::Random random(1);
  std::string letters(size, ' ');
  for (char& letter : letters) {
    letter = static_cast<char>('0' + ek::RandomBelow(random, 64));
  }
  return letters;
}

// Stands between a node that connects and one that answers.
class Relay {
 public:
  Relay(et::TestEnvironment& env, const std::string& target)
      : env_(env), target_(target), port_(env.loop, [this](auto connection) {
          Accept(std::move(connection));
        }) {}

  const std::string& address() const { return port_.address(); }
  /// Ends the next connection on which so many bytes of answers came, before
  /// more of them are read.
  void CutAt(std::size_t bytes, bool by_reset) {
    cut_at_ = bytes;
    by_reset_ = by_reset;
  }
  /// Passes nothing on, and ends nothing, on connections that come now.
  void SetSilent(bool silent) { is_silent_ = silent; }
  /// The same on those that stand.
  void SilenceAll() {
    for (Pair& pair : pairs_) pair.silent = true;
  }
  bool has_cut() const { return cut_at_ == 0; }
  /// Bytes of questions on the newest connection.
  std::size_t asked() const { return pairs_.back().front->received().size(); }
  /// Bytes of answers on the newest connection.
  std::size_t answered() const { return pairs_.back().back->received().size(); }
  std::size_t connections() const { return pairs_.size(); }

 private:
  struct Pair {
    std::unique_ptr<et::TestConnection> front;
    std::unique_ptr<et::TestConnection> back;
    std::size_t front_passed = 0;
    std::size_t back_passed = 0;
    bool silent = false;
  };

  void Accept(std::unique_ptr<et::TestConnection> connection) {
    Pair& pair = pairs_.emplace_back();
    pair.front = std::move(connection);
    pair.silent = is_silent_;
    pair.back = std::make_unique<et::TestConnection>(env_.loop, target_);
    pair.front->OnChange([this, &pair] { Pass(pair); });
    pair.back->OnChange([this, &pair] { Pass(pair); });
  }

  void Pass(Pair& pair) {
    if (pair.silent) return;
    if (cut_at_ > 0 && pair.back->received().size() >= cut_at_) {
      cut_at_ = 0;
      by_reset_ ? pair.back->Reset() : pair.back->Close();
      by_reset_ ? pair.front->Reset() : pair.front->Close();
      return;
    }
    PassOn(*pair.front, *pair.back, pair.front_passed);
    PassOn(*pair.back, *pair.front, pair.back_passed);
  }

  static void PassOn(const et::TestConnection& from, et::TestConnection& to,
                     std::size_t& passed) {
    const std::string_view received = from.received();
    to.Send(received.substr(passed));
    passed = from.received().size();
    if (from.ended()) to.Close();
  }

  et::TestEnvironment& env_;
  std::string target_;
  std::size_t cut_at_ = 0;
  bool by_reset_ = false;
  bool is_silent_ = false;
  std::list<Pair> pairs_;
  et::TestListener port_;
};

}  // namespace

TEST_GROUP(Peers) {
  et::TestEnvironment env;

  std::string Directory(ep::Proxy & proxy) {
    et::TestConnection& asker = env.Connect(ep::ViewOf(proxy).directory);
    asker.Send("GET /nodes/a HTTP/1.1\r\nHost: h\r\n\r\n");
    env.WaitUntil([&asker] { return !et::DescribeAnswer(asker).empty(); });
    return et::ParseAnswers(asker.received())[0].body;
  }

  // A node that can't read the store and learns all from `seed`.
  ep::Proxy& StartNodeWithSeed(const std::string& name,
                               const std::string& seed) {
    ep::ProxyOptions options = env.MakeOptions(name);
    options.store = "127.0.0.1:1";
    options.seeds = {seed};
    return env.StartNode(options);
  }
};

// A connection between two nodes ends while one of them sends its answer, of
// which most still waits in its process. Both go on, the next exchange is as
// any other, and callers notice nothing.
TEST(Peers, AConnectionThatEndsUnderAnAnswerHarmsNeitherNode) {
  constexpr std::size_t kNote = std::size_t{4} << 20U;
  env.AddEndpoint("e1", et::AnswerImmediately());
  env.store.Put("note", Letters(kNote));
  ep::Proxy& first = env.StartReadyNode();
  int started = 0;
  for (const std::size_t bytes : {1U, 1000U, 100'000U, 2'000'000U}) {
    for (const bool by_reset : {false, true}) {
      Relay relay(env, ep::ViewOf(first).peers);
      relay.CutAt(bytes, by_reset);
      ep::Proxy& second = StartNodeWithSeed("n" + std::to_string(2 + started++),
                                            relay.address());
      env.WaitUntil([&relay] { return relay.has_cut(); });
      STRCMP_EQUAL("200",
                   env.SendAndDescribe(first, {.path = "/once/a"}).c_str());
      env.WaitUntil(
          [&relay] { return relay.connections() > 1 && relay.answered() > 0; });
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

// Guards against a node that tells all it knows whenever it opens a connection,
// which in a large fleet it does several times a second.
TEST(Peers, ANewConnectionCarriesNothingThatThePeerKnows) {
  constexpr std::size_t kNote = std::size_t{1} << 20U;
  env.AddEndpoint("e1", et::AnswerImmediately());
  env.store.Put("note", Letters(kNote));
  ep::Proxy& first = env.StartReadyNode();
  Relay relay(env, ep::ViewOf(first).peers);
  ep::Proxy& second = StartNodeWithSeed("n2", relay.address());
  env.WaitUntilReady(second, 1);
  env.WaitUntilRulesApplied(second);
  relay.CutAt(1, false);
  env.WaitUntil([&relay] { return relay.has_cut(); });
  env.WaitUntil(
      [&relay] { return relay.connections() > 1 && relay.answered() > 2000; });
  CHECK(relay.asked() < kNote / 10);
  CHECK(relay.answered() < kNote / 10);
}

// A peer's machine lost its power: the connection to it stands and nothing
// answers. A node that waited for the answer would learn nothing through that
// address again, and without the store serve nobody.
TEST(Peers, APeerThatFellSilentIsAskedAgainOnAnotherConnection) {
  env.AddEndpoint("e1", et::AnswerImmediately());
  ep::Proxy& first = env.StartReadyNode();
  Relay relay(env, ep::ViewOf(first).peers);
  relay.SetSilent(true);
  ep::Proxy& second = StartNodeWithSeed("n2", relay.address());
  env.WaitUntil([&relay] { return relay.connections() == 1; });
  STRCMP_EQUAL("503 no",
               env.SendAndDescribe(second, {.path = "/once/a"}).c_str());
  relay.SetSilent(false);
  env.WaitUntilReady(second, 1);
  LONGS_EQUAL(2, relay.connections());
  STRCMP_EQUAL("200", env.SendAndDescribe(second, {.path = "/once/b"}).c_str());
}

// Guards against a fleet in which every restart of a node calls the store,
// although its peers know all that is published.
TEST(Peers, ANodeThatStartsLearnsFromItsPeersBeforeItAsksTheStore) {
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

// Guards against a node that waits for seeds that are gone.
TEST(Peers, ANodeWhoseSeedsAreGoneAsksTheStore) {
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
TEST(Peers, NodesThatStartTogetherAskTheStoreAtOnce) {
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

// Guards against a reader that goes on waiting on a watch whose connection is
// silent while its peers have the news.
TEST(Peers, AWatchThatMissesWhatPeersTellIsOpenedAgain) {
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

// All other nodes are killed. The one that is left serves alone, names no
// address at which nobody answers, and finds a node that starts.
TEST(Peers, TheLastNodeServesAloneAndNamesOnlyItself) {
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
  STRCMP_EQUAL(own.c_str(), Directory(last).c_str());
  CHECK(ep::ViewOf(last).ready_now);
  STRCMP_EQUAL("200", env.SendAndDescribe(last, {.path = "/once/a"}).c_str());
  ep::Proxy& again = StartNodeWithSeed("n2", seed);
  env.WaitUntilReady(again, 1);
  env.WaitUntil([&last] { return ep::ViewOf(last).nodes == 2; });
  const std::string named = Directory(last);
  CHECK(named.find(ep::ViewOf(again).callers) != std::string::npos);
}
