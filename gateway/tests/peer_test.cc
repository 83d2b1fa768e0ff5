
#include <CppUTest/TestHarness.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <list>
#include <string>

#include "gateway_p.h"
#include "harness.h"

using namespace std::chrono_literals;
namespace et = egretladder::gateway::testing;
namespace eg = egretladder::gateway;

namespace {

std::string LaneOf(eg::Gateway& node, et::TestLoop& loop) {
  return egretladder::node::Where(eg::NodeOf(node), "bole", loop.clock.now)
      .lane;
}

std::size_t MembersOf(eg::Gateway& node, et::TestLoop& loop) {
  std::size_t alive = 0;
  const auto view = egretladder::node::ViewOf(eg::NodeOf(node), loop.clock.now);
  for (const auto& member : view.fleet.members) {
    if (member.state == egretladder::fleet::MemberState::kAlive) ++alive;
  }
  return alive;
}

/// Two nodes that know each other.
struct TwoNodes {
  TwoNodes() {
    first = et::StartTestNode(loop, "n1", platform.address);
    second = et::StartTestNode(loop, "n2", platform.address);
    et::Publish(platform, et::RulesText({{endpoint.address},
                                         {et::NodeLine("n1", *first),
                                          et::NodeLine("n2", *second)}}));
    met = et::RunUntil(loop, [this] {
      return MembersOf(*first, loop) == 2 && MembersOf(*second, loop) == 2 &&
             !LaneOf(*first, loop).empty();
    });
  }
  et::TestLoop loop;
  et::FakeServer endpoint{loop};
  et::FakeServer platform{loop};
  eg::GatewayPtr first;
  eg::GatewayPtr second;
  bool met = false;
};

std::string Enrol(const std::string& lane, const std::string& key) {
  return "POST /svc/seats/enrol HTTP/1.1\r\nHost: n\r\n"
         "X-Client-Account: abay\r\nX-Request-Class: enrol\r\n"
         "Egretladder-Lane: " +
         lane + "\r\nIdempotency-Key: " + key +
         "\r\nContent-Length: 2\r\n\r\n{}";
}

std::string Ask(et::TestLoop& loop, const eg::Gateway& node,
                const std::string& request) {
  et::RawCaller caller(loop, eg::CallerAddressOf(node));
  caller.Send(request);
  CHECK_TRUE(et::RunUntil(
      loop, [&caller] { return et::IsWhole(caller.got) || caller.ended; }));
  return caller.got;
}

// Lines that libevent has written since the callback was set.
std::size_t libevent_lines = 0;
void CountLibeventLine(int /*severity*/, const char* /*text*/) {
  ++libevent_lines;
}

// Runs the loop until no event is active, but not longer than half a second.
// Returns whether it got there.
bool BecomesIdle(egretladder::kernel::Loop& loop) {
  const egretladder::kernel::EventWatcher end = egretladder::kernel::RunAfter(
      loop, 500ms, [&loop] { egretladder::kernel::StopLoop(loop); });
  event_base_loop(loop.base.get(), EVLOOP_NONBLOCK);
  return event_base_got_break(loop.base.get()) == 0;
}

// Lowers the limit of descriptors so that this process can open none. Returns
// the limit before.
rlimit LowerDescriptorLimit() {
  rlimit before{};
  getrlimit(RLIMIT_NOFILE, &before);
  const int lowest_free = dup(STDIN_FILENO);
  close(lowest_free);
  rlimit lowered = before;
  lowered.rlim_cur = static_cast<rlim_t>(lowest_free);
  setrlimit(RLIMIT_NOFILE, &lowered);
  return before;
}

}  // namespace

TEST_GROUP(Peers){};

TEST(Peers, MessagesReachTheOtherNode) {
  TwoNodes two;
  CHECK_TRUE(two.met);
  eg::SendToPeer(*two.first->peers,
                 {eg::PeerAddressOf(*two.second),
                  egretladder::fleet::RulesOffer{0, "no rules"}});
  CHECK_TRUE(et::RunUntil(two.loop, [&two] {
    return egretladder::kernel::PrometheusText(eg::MetricsOf(*two.second))
               .find("kind=\"rules_offer\",direction=\"in\"") !=
           std::string::npos;
  }));
  CHECK(eg::ViewOf(*two.first).peers >= 1);
}

// A VM is replaced and a new process listens at the old address. Messages to it
// must not wait for a back-off that the old one earned.
TEST(Peers, SuccessorOfAPeerIsReachedAtOnce) {
  TwoNodes two;
  CHECK_TRUE(two.met);
  const std::string address = eg::PeerAddressOf(*two.second);
  const auto heard = [&two] {
    return egretladder::kernel::PrometheusText(eg::MetricsOf(*two.second))
               .find("kind=\"rules_ask\",direction=\"in\"") !=
           std::string::npos;
  };
  const egretladder::fleet::SendMessage ask{address,
                                            egretladder::fleet::RulesAsk{99}};
  eg::SendToPeer(*two.first->peers, ask);
  CHECK_TRUE(et::RunUntil(two.loop, heard));
  two.second.reset();
  eg::GatewayOptions options;
  options.node.fleet.node = "n2";
  options.node.fleet.zone = "bole";
  options.peer_listen = address;
  options.platform = two.platform.address;
  two.second = eg::StartGateway(two.loop.loop, options).value();
  CHECK_TRUE(et::RunUntil(two.loop, [&] {
    eg::SendToPeer(*two.first->peers, ask);
    return heard();
  }));
}

// A parent's phone loses its connection after an enrolment was sent and sends
// it again to another node. Run there as well, the seat is taken twice.
TEST(Peers, LaneCallThroughTheOtherNodeRunsOnce) {
  TwoNodes two;
  CHECK_TRUE(two.met);
  const std::string request = Enrol(LaneOf(*two.first, two.loop), "k1");
  const std::string here = Ask(two.loop, *two.first, request);
  CHECK_EQUAL(200, et::StatusIn(here));
  const std::string there = Ask(two.loop, *two.second, request);
  CHECK_EQUAL(200, et::StatusIn(there));
  STRCMP_CONTAINS("{\"ok\":true}", there.c_str());
  CHECK_EQUAL(1U, two.endpoint.seen.size());
}

// A VM is replaced while its node has nothing to do. Callers keep the answer to
// `/where` a while: they would meet a closed port, and a phone that sends its
// enrolment again would hear "unknown" though its answer is stored there.
TEST(Peers, AnIdleLeavingNodeStaysAsLongAsCallersKeepItsAddress) {
  TwoNodes two;
  CHECK_TRUE(two.met);
  const std::string lane = LaneOf(*two.first, two.loop);
  const std::string other = LaneOf(*two.second, two.loop);
  CHECK_EQUAL(200, et::StatusIn(Ask(two.loop, *two.first, Enrol(lane, "k1"))));
  const auto left = two.loop.clock.now;
  eg::Leave(*two.first);
  CHECK_TRUE(eg::IsIdle(*two.first));
  CHECK_FALSE(eg::CanShutDown(*two.first));
  // Repeats get the stored answer, here and by way of the other node.
  for (const eg::GatewayPtr* node : {&two.first, &two.second}) {
    const std::string again = Ask(two.loop, **node, Enrol(lane, "k1"));
    STRCMP_CONTAINS("{\"ok\":true}", again.c_str());
  }
  CHECK_EQUAL(1U, two.endpoint.seen.size());
  const std::string fresh = Ask(two.loop, *two.first, Enrol(lane, "k2"));
  STRCMP_CONTAINS("\"code\":\"leaving\"", fresh.c_str());
  STRCMP_CONTAINS("\"ran\":\"no\"", fresh.c_str());
  // Calls of another owner's lane are passed on to it.
  const std::string passed = Ask(two.loop, *two.first, Enrol(other, "k3"));
  CHECK_EQUAL(200, et::StatusIn(passed));
  CHECK_EQUAL(2U, two.endpoint.seen.size());
  CHECK_TRUE(
      et::RunUntil(two.loop, [&] { return eg::CanShutDown(*two.first); }));
  CHECK(two.loop.clock.now - left >= egretladder::node::kWhereAnswerTtl);
}

// The owner of the lane is gone for good. Nobody else knows whether the payment
// ran, so nobody may say that it did not.
TEST(Peers, LaneCallOfADeadNodeIsUnknown) {
  TwoNodes two;
  CHECK_TRUE(two.met);
  const std::string request = Enrol(LaneOf(*two.first, two.loop), "k1");
  two.first.reset();
  const std::string got = Ask(two.loop, *two.second, request);
  STRCMP_CONTAINS("\"ran\":\"unknown\"", got.c_str());
  CHECK_EQUAL(0U, two.endpoint.seen.size());
}

// Something else than a node connects to the peer port and sends what it likes.
TEST(Peers, GarbageOnThePeerPortEndsOnlyItsConnection) {
  TwoNodes two;
  CHECK_TRUE(two.met);
  et::RawCaller garbage(two.loop, eg::PeerAddressOf(*two.first));
  garbage.Send("GET / HTTP/1.1\r\nHost: n\r\n\r\n" + std::string(4096, '\xff'));
  CHECK_TRUE(et::RunUntil(two.loop, [&garbage] { return garbage.ended; }));
  const std::string got =
      Ask(two.loop, *two.first, et::ChatRequest(et::ChatBodyText(false)));
  CHECK_EQUAL(200, et::StatusIn(got));
  CHECK_EQUAL(2U, MembersOf(*two.second, two.loop));
}

// A peer's process is paused: its kernel still accepts connections, and nothing
// is answered. A node that waited or kept everything for it would go down too.
TEST(Peers, PeerThatAnswersNothingCostsAFewMessages) {
  et::OneNode one;
  et::RawServer silent(one.loop, "", false);
  const auto dropped = egretladder::kernel::AddCounter(
      eg::MetricsOf(*one.node), "egretladder_peer_messages_dropped_total", "");
  constexpr std::uint32_t kMessages = 1000;
  const auto send = [&] {
    eg::SendToPeer(*one.node->peers,
                   {silent.address,
                    egretladder::fleet::RulesOffer{0, std::string(1000, 'x')}});
  };
  for (std::uint32_t i = 0; i < kMessages; ++i) send();
  CHECK_EQUAL(kMessages - eg::kPeerMessages,
              egretladder::kernel::ValueOf(eg::MetricsOf(*one.node), dropped));
  // It is given up after a while, not at once, and tried again later.
  CHECK_EQUAL(1U, eg::ViewOf(*one.node).peers);
  const auto start = one.loop.clock.now;
  CHECK_TRUE(et::RunUntil(one.loop,
                          [&one] { return eg::ViewOf(*one.node).peers == 0; }));
  CHECK(one.loop.clock.now - start >= eg::kPeerSilence);
  send();
  CHECK_EQUAL(0U, eg::ViewOf(*one.node).peers);
  egretladder::kernel::Advance(one.loop.clock, eg::kBackoffMost);
  send();
  CHECK_EQUAL(1U, eg::ViewOf(*one.node).peers);
}

// Guards against a node that does nothing but fail to accept, and fills the
// disk with lines about it, once a crowd holds all its descriptors.
TEST(Peers, PortWithoutFreeDescriptorWaits) {
  et::OneNode one;
  CHECK(BecomesIdle(one.loop.loop));
  et::RawCaller waiting(one.loop, eg::PeerAddressOf(*one.node));
  libevent_lines = 0;
  event_set_log_callback(CountLibeventLine);
  const rlimit before = LowerDescriptorLimit();
  const bool is_idle = BecomesIdle(one.loop.loop);
  setrlimit(RLIMIT_NOFILE, &before);
  CHECK_EQUAL(0U, libevent_lines);
  CHECK(is_idle);
  waiting.Send("GET / HTTP/1.1\r\nHost: n\r\n\r\n" + std::string(4096, '\xff'));
  CHECK_TRUE(et::RunUntil(one.loop, [&waiting] { return waiting.ended; }));
}

// Guards against a node that runs out of memory, since each connection of a
// crowd holds most of a large message.
TEST(Peers, CrowdWithHalfMessagesHoldsLittle) {
  constexpr std::size_t kConnections = 40;
  constexpr std::uint32_t kMessageBytes = std::uint32_t{2} << 20U;
  // 64 MiB, and what is read before some are closed.
  constexpr std::size_t kMaxHeldBytes = std::size_t{72} << 20U;
  et::OneNode one;
  std::string half(kMessageBytes, '\0');
  const std::uint32_t words = kMessageBytes / sizeof(std::uint64_t);
  std::memcpy(half.data() + sizeof(words), &words, sizeof(words));
  std::list<et::RawCaller> crowd;
  for (std::size_t i = 0; i < kConnections; ++i) {
    crowd.emplace_back(one.loop, eg::PeerAddressOf(*one.node)).Send(half);
  }
  CHECK_TRUE(et::RunUntil(one.loop, [&crowd] {
    const auto open = std::count_if(
        crowd.begin(), crowd.end(),
        [](const et::RawCaller& caller) { return !caller.ended; });
    return static_cast<std::size_t>(open) * kMessageBytes < kMaxHeldBytes;
  }));
  const std::string got =
      Ask(one.loop, *one.node, et::ChatRequest(et::ChatBodyText(false)));
  CHECK_EQUAL(200, et::StatusIn(got));
}
