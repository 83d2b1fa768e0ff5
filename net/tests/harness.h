// A loop with a clock that stands still, and raw sockets as the other side of
// a connection, so that a test decides on each byte that is sent and taken.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "egretladder/kernel/loop.h"
#include "egretladder/net/http_message.h"

namespace egretladder::net::test {

/// A loop whose clock moves by the test's hand only.
struct Stage {
  Stage();
  /// Turns the loop until `done` holds; fails the test when it never does.
  void Until(const std::function<bool()>& done);
  /// Turns the loop for a few milliseconds, so that what must not come could.
  void Settle();
  /// True when the loop has nothing to do but to wait, soon.
  bool Rests();

  kernel::ManualClock clock;
  kernel::Loop loop;
};

/// How the other side ended a connection.
enum class PeerEnd : std::uint8_t { kOpen, kEnded, kReset };

/// One end of a connection, without a loop of its own.
class Peer {
 public:
  /// Connects. `receive_buffer`: of the socket, 0 for the standard.
  explicit Peer(const std::string& address, int receive_buffer = 0);
  /// Takes over a connected socket.
  explicit Peer(int fd);
  ~Peer();
  Peer(const Peer&) = delete;
  Peer& operator=(const Peer&) = delete;

  /// Sends what the kernel takes now and returns how much that was.
  std::size_t SendSome(std::string_view bytes);
  /// Fails the test when the kernel doesn't take all of it.
  void Send(std::string_view bytes);
  /// Takes at most `most` bytes that are there.
  void Take(std::size_t most = kAll);
  /// All bytes taken so far, and how the connection stood after them.
  const std::string& taken() const { return taken_; }
  PeerEnd end() const { return end_; }

  /// Nothing more comes from here; the other side may still send.
  void HalfClose() const;
  void Close();
  /// Closes so that the other side sees a reset.
  void Reset();

  static constexpr std::size_t kAll = ~std::size_t{0};

 private:
  int fd_ = -1;
  std::string taken_;
  PeerEnd end_ = PeerEnd::kOpen;
};
using PeerPtr = std::unique_ptr<Peer>;

/// A listening socket.
class PeerListener {
 public:
  /// `receive_buffer`: of the sockets accepted, 0 for the standard.
  explicit PeerListener(int receive_buffer = 0);
  ~PeerListener();
  PeerListener(const PeerListener&) = delete;
  PeerListener& operator=(const PeerListener&) = delete;

  const std::string& address() const { return address_; }
  /// A connection that waits, or nothing.
  PeerPtr Accept() const;

 private:
  int fd_ = -1;
  std::string address_;
};

/// An answer that was read whole.
struct Answer {
  HttpAnswerHead head;
  std::string body;
};
/// Whole answers at the start of `bytes`; `rest` gets what follows them.
std::vector<Answer> AnswersIn(std::string_view bytes,
                              std::string* rest = nullptr);

}  // namespace egretladder::net::test
