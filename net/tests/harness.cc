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

constexpr auto kLongestWait = 10s;
constexpr auto kSettleTime = 30ms;
constexpr auto kLongestTurn = 500ms;
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

Stage::Stage() : loop(kernel::CreateLoop()) {
  loop.clock = kernel::ClockOf(clock);
  // As the programs do: a write to a closed connection is an error, no end.
  std::signal(SIGPIPE, SIG_IGN);
}

void Stage::Until(const std::function<bool()>& done) {
  const auto limit = std::chrono::steady_clock::now() + kLongestWait;
  while (!done()) {
    if (std::chrono::steady_clock::now() > limit) {
      FAIL("what the test waits for never came");
    }
    // The break ends a turn also when callbacks ask for each other for ever.
    const kernel::EventWatcher wake =
        kernel::RunAfter(loop, 1ms, [this] { kernel::StopLoop(loop); });
    event_base_loop(loop.base.get(), EVLOOP_ONCE);
  }
}

void Stage::Settle() {
  bool over = false;
  const kernel::EventWatcher end =
      kernel::RunAfter(loop, kSettleTime, [&over] { over = true; });
  Until([&over] { return over; });
}

bool Stage::Rests() {
  const kernel::EventWatcher end =
      kernel::RunAfter(loop, kLongestTurn, [this] { kernel::StopLoop(loop); });
  event_base_loop(loop.base.get(), EVLOOP_NONBLOCK);
  return event_base_got_break(loop.base.get()) == 0;
}

Peer::Peer(const std::string& address, int receive_buffer)
    : fd_(OpenSocket(receive_buffer)) {
  auto target = ParseAddress(address);
  if (connect(fd_, target->get(), static_cast<socklen_t>(target->size)) != 0) {
    end_ = PeerEnd::kReset;
  }
}

Peer::Peer(int fd) : fd_(fd) {}

Peer::~Peer() { Close(); }

std::size_t Peer::SendSome(std::string_view bytes) {
  const ssize_t sent =
      send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  if (sent < 0 && errno != EAGAIN) end_ = PeerEnd::kReset;
  return sent < 0 ? 0 : static_cast<std::size_t>(sent);
}

void Peer::Send(std::string_view bytes) {
  LONGS_EQUAL(bytes.size(), SendSome(bytes));
}

void Peer::Take(std::size_t most) {
  std::array<char, 65'536> piece{};
  while (end_ == PeerEnd::kOpen && most > 0) {
    const ssize_t got =
        recv(fd_, piece.data(), std::min(most, piece.size()), MSG_DONTWAIT);
    if (got > 0) {
      taken_.append(piece.data(), static_cast<std::size_t>(got));
      most -= static_cast<std::size_t>(got);
    } else if (got == 0) {
      end_ = PeerEnd::kEnded;
    } else if (errno == EAGAIN) {
      return;
    } else {
      end_ = PeerEnd::kReset;
    }
  }
}

void Peer::HalfClose() const { shutdown(fd_, SHUT_WR); }

void Peer::Close() {
  if (fd_ >= 0) close(fd_);
  fd_ = -1;
}

void Peer::Reset() {
  const linger off{1, 0};
  setsockopt(fd_, SOL_SOCKET, SO_LINGER, &off, sizeof(off));
  Close();
}

PeerListener::PeerListener(int receive_buffer)
    : fd_(OpenSocket(receive_buffer)) {
  auto target = ParseAddress("127.0.0.1:0");
  if (bind(fd_, target->get(), static_cast<socklen_t>(target->size)) != 0 ||
      listen(fd_, SOMAXCONN) != 0) {
    std::abort();
  }
  address_ = WithBoundPort("127.0.0.1:0", fd_);
  evutil_make_socket_nonblocking(fd_);
}

PeerListener::~PeerListener() { close(fd_); }

PeerPtr PeerListener::Accept() const {
  const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
  return fd < 0 ? nullptr : std::make_unique<Peer>(fd);
}

std::vector<Answer> AnswersIn(std::string_view bytes, std::string* rest) {
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
