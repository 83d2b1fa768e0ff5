// An event loop with a manual clock, and raw sockets for the other end of a
// connection, with which a test controls each byte that is sent and received.
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

/// An event loop whose clock is only advanced by the test.
struct TestLoop {
  TestLoop();
  /// Runs the loop until `done` returns true; fails the test after 10 s.
  void WaitUntil(const std::function<bool()>& done);
  /// Runs the loop for 30 ms, in which an event that must not occur would
  /// occur.
  void Settle();
  /// Returns true if the loop runs out of active events within 500 ms.
  bool IsIdle();

  kernel::ManualClock clock;
  kernel::Loop loop;
};

/// Whether and how the other side has ended a connection.
enum class ConnectionEnd : std::uint8_t { kOpen, kEnded, kReset };

/// One end of a connection, without an event loop.
class RawSocket {
 public:
  /// Connects to `address`. `receive_buffer` is the size of the socket's
  /// receive buffer in bytes, 0 for the default.
  explicit RawSocket(const std::string& address, int receive_buffer = 0);
  /// Takes ownership of a connected socket.
  explicit RawSocket(int fd);
  ~RawSocket();
  RawSocket(const RawSocket&) = delete;
  RawSocket& operator=(const RawSocket&) = delete;

  /// Sends as many bytes as the kernel accepts now. Returns their number.
  std::size_t SendSome(std::string_view bytes);
  /// Sends all bytes; fails the test if the kernel doesn't accept them now.
  void Send(std::string_view bytes);
  /// Receives at most `max_bytes` of the bytes that are available now.
  void Receive(std::size_t max_bytes = kAll);
  /// All bytes received so far, and the state of the connection after them.
  const std::string& received() const { return received_; }
  ConnectionEnd end() const { return end_; }

  /// Ends the output of this side; the other side may still send.
  void HalfClose() const;
  void Close();
  /// Closes the connection with a reset.
  void Reset();

  static constexpr std::size_t kAll = ~std::size_t{0};

 private:
  int fd_ = -1;
  std::string received_;
  ConnectionEnd end_ = ConnectionEnd::kOpen;
};
using RawSocketPtr = std::unique_ptr<RawSocket>;

/// A listening socket.
class RawListener {
 public:
  /// `receive_buffer` is the size of the accepted sockets' receive buffers in
  /// bytes, 0 for the default.
  explicit RawListener(int receive_buffer = 0);
  ~RawListener();
  RawListener(const RawListener&) = delete;
  RawListener& operator=(const RawListener&) = delete;

  const std::string& address() const { return address_; }
  /// Accepts a pending connection. Returns null if there is none.
  RawSocketPtr Accept() const;

 private:
  int fd_ = -1;
  std::string address_;
};

/// A complete answer.
struct Answer {
  HttpAnswerHead head;
  std::string body;
};
/// Returns the complete answers at the start of `bytes`. `rest` is set to the
/// bytes after them.
std::vector<Answer> ParseAnswers(std::string_view bytes,
                                 std::string* rest = nullptr);

}  // namespace egretladder::net::test
