#include "harness.h"

#include <CppUTest/TestHarness.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>

#include "egretladder/net/address.h"
#include "egretladder/net/http_reader.h"

namespace egretladder::net::test {
namespace {

using namespace std::chrono_literals;

constexpr auto kMaxWait = 10s;
constexpr auto kSettleTime = 30ms;
constexpr auto kMaxBusyTime = 500ms;
constexpr int kFirstFinalStatus = 200;

int OpenSocket(int receive_buffer) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) std::abort();
  if (receive_buffer > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
               sizeof(receive_buffer));
  }
  return fd;
}

}  // namespace

TestLoop::TestLoop() : loop(kernel::CreateLoop()) {
  loop.clock = kernel::ClockOf(clock);
  // Like the programs, so that a write to a closed connection fails with an
  // error instead of ending the process.
  std::signal(SIGPIPE, SIG_IGN);
}

void TestLoop::WaitUntil(const std::function<bool()>& done) {
  const auto limit = std::chrono::steady_clock::now() + kMaxWait;
  while (!done()) {
    if (std::chrono::steady_clock::now() > limit) {
      FAIL("timed out waiting for a condition of the test");
    }
    // Breaks the loop even if callbacks activate each other again and again.
    const kernel::EventWatcher wake =
        kernel::RunAfter(loop, 1ms, [this] { kernel::StopLoop(loop); });
    event_base_loop(loop.base.get(), EVLOOP_ONCE);
  }
}

void TestLoop::Settle() {
  bool elapsed = false;
  const kernel::EventWatcher end =
      kernel::RunAfter(loop, kSettleTime, [&elapsed] { elapsed = true; });
  WaitUntil([&elapsed] { return elapsed; });
}

bool TestLoop::IsIdle() {
  const kernel::EventWatcher end =
      kernel::RunAfter(loop, kMaxBusyTime, [this] { kernel::StopLoop(loop); });
  event_base_loop(loop.base.get(), EVLOOP_NONBLOCK);
  return event_base_got_break(loop.base.get()) == 0;
}

RawSocket::RawSocket(const std::string& address, int receive_buffer)
    : fd_(OpenSocket(receive_buffer)) {
  auto target = ParseAddress(address);
  if (connect(fd_, target->get(), static_cast<socklen_t>(target->size)) != 0) {
    end_ = ConnectionEnd::kReset;
  }
}

RawSocket::RawSocket(int fd) : fd_(fd) {}

RawSocket::~RawSocket() { Close(); }

std::size_t RawSocket::SendSome(std::string_view bytes) {
  const ssize_t sent =
      send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  if (sent < 0 && errno != EAGAIN) end_ = ConnectionEnd::kReset;
  return sent < 0 ? 0 : static_cast<std::size_t>(sent);
}

void RawSocket::Send(std::string_view bytes) {
  LONGS_EQUAL(bytes.size(), SendSome(bytes));
}

void RawSocket::Receive(std::size_t max_bytes) {
  std::array<char, 65'536> chunk{};
  while (end_ == ConnectionEnd::kOpen && max_bytes > 0) {
    const ssize_t bytes_received = recv(
        fd_, chunk.data(), std::min(max_bytes, chunk.size()), MSG_DONTWAIT);
    if (bytes_received > 0) {
      received_.append(chunk.data(), static_cast<std::size_t>(bytes_received));
      max_bytes -= static_cast<std::size_t>(bytes_received);
    } else if (bytes_received == 0) {
      end_ = ConnectionEnd::kEnded;
    } else if (errno == EAGAIN) {
      return;
    } else {
      end_ = ConnectionEnd::kReset;
    }
  }
}

void RawSocket::HalfClose() const { shutdown(fd_, SHUT_WR); }

void RawSocket::Close() {
  if (fd_ >= 0) close(fd_);
  fd_ = -1;
}

void RawSocket::Reset() {
  const linger no_linger{1, 0};
  setsockopt(fd_, SOL_SOCKET, SO_LINGER, &no_linger, sizeof(no_linger));
  Close();
}

RawListener::RawListener(int receive_buffer) : fd_(OpenSocket(receive_buffer)) {
  auto target = ParseAddress("127.0.0.1:0");
  if (bind(fd_, target->get(), static_cast<socklen_t>(target->size)) != 0 ||
      listen(fd_, SOMAXCONN) != 0) {
    std::abort();
  }
  address_ = WithBoundPort("127.0.0.1:0", fd_);
  evutil_make_socket_nonblocking(fd_);
}

RawListener::~RawListener() { close(fd_); }

RawSocketPtr RawListener::Accept() const {
  const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
  return fd < 0 ? nullptr : std::make_unique<RawSocket>(fd);
}

std::vector<Answer> ParseAnswers(std::string_view bytes, std::string* rest) {
  std::vector<Answer> answers;
  while (!bytes.empty()) {
    AnswerReader reader({65'536, std::size_t{1} << 24U}, false);
    const std::size_t used = reader.Feed(bytes);
    if (reader.state() != ReadState::kDone) break;
    bytes.remove_prefix(used);
    if (reader.head().status < kFirstFinalStatus) continue;
    answers.push_back({reader.head(), reader.TakeBody()});
  }
  if (rest != nullptr) *rest = std::string(bytes);
  return answers;
}

}  // namespace egretladder::net::test
