// A listening socket for a process that may run out of file descriptors.
#pragma once

#include <functional>
#include <string>

#include "egretladder/kernel/error.h"
#include "egretladder/kernel/loop.h"
#include "egretladder/net/socket.h"

namespace egretladder::net {

/// Accepts connections. While none can be accepted, as no descriptor is free,
/// the socket stays readable, so that libevent would try again and log the
/// error without a pause. This listener waits `kAcceptPause` before it tries
/// again; connections wait in the backlog.
class PausingListener {
 public:
  /// Takes ownership of the accepted socket.
  using AcceptHandler = std::function<void(evutil_socket_t fd)>;

  PausingListener(kernel::Loop& loop, AcceptHandler on_accept);
  PausingListener(const PausingListener&) = delete;
  PausingListener& operator=(const PausingListener&) = delete;

  /// Listens on `address`; see `ListenOn`.
  kernel::Result<void> Listen(const std::string& address, int backlog);
  /// The address with the port that was bound.
  const std::string& address() const { return address_; }

 private:
  static void OnAccept(evconnlistener* listener, evutil_socket_t fd,
                       sockaddr* peer, int size, void* arg);
  static void OnError(evconnlistener* listener, void* arg);
  void Pause();

  kernel::Loop& loop_;
  AcceptHandler on_accept_;
  std::string address_;
  Listener listener_;
  kernel::EventWatcher resume_timer_;
};

}  // namespace egretladder::net
