// Peers that call this side and don't behave.
#include "egretladder/net/rpc_connection.h"

#include <CppUTest/TestHarness.h>
#include <capnp/rpc.capnp.h>
#include <capnp/serialize.h>

#include <cstring>
#include <memory>
#include <string>

#include "egretladder/net/pausing_listener.h"
#include "harness.h"

namespace en = egretladder::net;
namespace et = egretladder::net::test;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kMaxWords = std::uint64_t{1} << 20U;
constexpr std::size_t kAnswerBytes = std::size_t{32} << 10U;
constexpr std::uint32_t kCalls = 2000;
// What a connection may hold for a peer that reads nothing; all answers
// together have sixty times as much.
constexpr std::size_t kMaxHeldBytes = std::size_t{1} << 20U;
// The number of segments and the size of the only one.
constexpr std::size_t kMessageHeadBytes = 8;
constexpr int kSmallBuffer = 8192;

// Answers each call with `kAnswerBytes` bytes.
class LongAnswers final : public capnp::Capability::Server {
 public:
  DispatchCallResult dispatchCall(
      std::uint64_t /*interface_id*/, std::uint16_t /*method*/,
      capnp::CallContext<capnp::AnyPointer, capnp::AnyPointer> context)
      override {
    context.getResults().initAs<capnp::Data>(kAnswerBytes);
    return {kj::READY_NOW, false};
  }
};

std::string BytesOf(capnp::MessageBuilder& message) {
  const auto words = capnp::messageToFlatArray(message);
  const auto bytes = words.asBytes();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

// Asks for the interface of the other side, as question 0.
std::string FormatBootstrap() {
  capnp::MallocMessageBuilder message;
  message.initRoot<capnp::rpc::Message>().initBootstrap().setQuestionId(0);
  return BytesOf(message);
}

// Calls it.
std::string FormatCall(std::uint32_t question) {
  capnp::MallocMessageBuilder message;
  auto call = message.initRoot<capnp::rpc::Message>().initCall();
  call.setQuestionId(question);
  call.initTarget().initPromisedAnswer().setQuestionId(0);
  call.initParams();
  return BytesOf(message);
}

// All but the last word of a message with one segment.
std::string FormatHalfMessage(std::uint32_t bytes) {
  std::string message(bytes, '\0');
  const std::uint32_t words = bytes / sizeof(capnp::word);
  std::memcpy(message.data() + sizeof(std::uint32_t), &words, sizeof(words));
  return message;
}

std::string FormatCalls(std::uint32_t count) {
  std::string bytes = FormatBootstrap();
  for (std::uint32_t i = 1; i <= count; ++i) bytes += FormatCall(i);
  return bytes;
}

}  // namespace

TEST_GROUP(RpcConnection) {
  et::TestLoop loop;
  std::shared_ptr<en::KjLoop> kj = en::AcquireKjLoop(loop.loop).value();
  std::unique_ptr<en::RpcServerConnection> connection;
  std::unique_ptr<en::PausingListener> listener;

  void Listen(en::UnreadLimits unread = en::kCallerUnreadLimits,
              en::IncompleteInput* incomplete = nullptr) {
    listener = std::make_unique<en::PausingListener>(
        loop.loop, [this, unread, incomplete](evutil_socket_t fd) {
          connection = std::make_unique<en::RpcServerConnection>(
              en::Bufferevent(bufferevent_socket_new(loop.loop.base.get(), fd,
                                                     BEV_OPT_CLOSE_ON_FREE)),
              kj::heap<LongAnswers>(), kMaxWords, unread, incomplete);
        });
    CHECK_TRUE(listener->Listen("127.0.0.1:0", 8).has_value());
  }
  std::size_t HeldBytes() const {
    return connection->network.getCurrentQueueSize() +
           connection->stream.PendingOutputBytes();
  }
  // Sends as many of the bytes as the other side takes. Returns the rest.
  std::string SendWhatFits(et::RawSocket & caller, std::string bytes) {
    std::size_t sent = 0;
    do {
      sent = caller.SendSome(bytes);
      bytes.erase(0, sent);
      loop.Settle();
    } while (sent > 0 && !bytes.empty());
    return bytes;
  }
};

// Guards against a process that runs out of memory, since it answers a peer
// that reads nothing.
TEST(RpcConnection, PeerThatReadsNothingIsNotReadOn) {
  Listen();
  et::RawSocket caller(listener->address(), kSmallBuffer);
  const std::string unsent = SendWhatFits(caller, FormatCalls(kCalls));
  CHECK_COMPARE(HeldBytes(), <, kMaxHeldBytes);
  CHECK_TRUE(loop.IsIdle());
  // It reads after all, and gets every answer.
  std::string rest = unsent;
  loop.WaitUntil([&] {
    if (!rest.empty()) rest.erase(0, caller.SendSome(rest));
    caller.Receive();
    return caller.received().size() > kCalls * kAnswerBytes;
  });
  CHECK_FALSE(connection->stream.IsDisconnected());
}

// Guards against connections that hold their memory for good.
TEST(RpcConnection, PeerThatReadsNothingIsDisconnectedAfterAWhile) {
  Listen({en::kMaxUnreadRpcBytes, 200ms});
  et::RawSocket caller(listener->address(), kSmallBuffer);
  SendWhatFits(caller, FormatCalls(kCalls));
  loop.WaitUntil([this] { return connection->broken; });
  CHECK_TRUE(connection->stream.IsDisconnected());
}

// Guards against the loss of a peer that reads slowly, or has nothing to read.
TEST(RpcConnection, PeerThatReadsSlowlyOrHasNothingToReadStays) {
  constexpr std::size_t kReadBytes = std::size_t{16} << 10U;
  Listen({en::kMaxUnreadRpcBytes, 600ms});
  et::RawSocket caller(listener->address(), kSmallBuffer);
  SendWhatFits(caller, FormatCalls(kCalls / 10));
  for (int i = 0; i < 40; ++i) {
    caller.Receive(kReadBytes);
    loop.Settle();
  }
  CHECK_COMPARE(HeldBytes(), >, 0U);
  CHECK_FALSE(connection->stream.IsDisconnected());
  loop.WaitUntil([&] {
    caller.Receive();
    return HeldBytes() == 0;
  });
  for (int i = 0; i < 40; ++i) loop.Settle();
  CHECK_FALSE(connection->stream.IsDisconnected());
}

// Guards against a sum that complete messages or closed connections stay in.
TEST(RpcConnection, OnlyPartsOfMessagesCountAsIncomplete) {
  constexpr std::size_t kHalfBytes = 50'000;
  int excess = 0;
  en::IncompleteInput incomplete(kHalfBytes, [&excess] { ++excess; });
  Listen(en::kCallerUnreadLimits, &incomplete);
  et::RawSocket caller(listener->address());
  caller.Send(FormatCalls(20));
  loop.WaitUntil([&] {
    caller.Receive();
    return caller.received().size() > 20 * kAnswerBytes;
  });
  CHECK_EQUAL(0U, incomplete.bytes());
  const std::uint64_t order = connection->stream.Incomplete().order;
  const std::string half = FormatHalfMessage(2 * kHalfBytes);
  caller.Send(half.substr(0, kHalfBytes));
  loop.Settle();
  CHECK_EQUAL(kHalfBytes - kMessageHeadBytes, incomplete.bytes());
  CHECK_EQUAL(incomplete.bytes(), connection->stream.Incomplete().bytes);
  CHECK_COMPARE(connection->stream.Incomplete().order, >, order);
  CHECK_EQUAL(0, excess);
  caller.Send(half.substr(kHalfBytes));
  loop.Settle();
  CHECK_COMPARE(excess, >, 0);
  connection->stream.Disconnect();
  CHECK_EQUAL(0U, incomplete.bytes());
  connection.reset();
  CHECK_EQUAL(0U, incomplete.bytes());
}
