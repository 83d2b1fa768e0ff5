// Options of TCP sockets, and owners and helpers for libevent's objects.
#pragma once

#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <event2/util.h>

#include <chrono>
#include <memory>
#include <string>
#include <string_view>

#include "egretladder/kernel/error.h"
#include "egretladder/net/limits.h"

namespace egretladder::net {

/// Frees a bufferevent and closes its socket.
struct BuffereventFree {
  void operator()(bufferevent* buffer) const { bufferevent_free(buffer); }
};
/// Owns a bufferevent.
using Bufferevent = std::unique_ptr<bufferevent, BuffereventFree>;

/// Frees a listener and closes its socket.
struct ListenerFree {
  void operator()(evconnlistener* listener) const {
    evconnlistener_free(listener);
  }
};
/// Owns a listener.
using Listener = std::unique_ptr<evconnlistener, ListenerFree>;

/// Disables Nagle's algorithm and enables the detection of peers that
/// disappeared without a reset. The connection fails if sent bytes stay
/// unacknowledged for `user_timeout`, or if nothing has come for that long and
/// a keep-alive probe of limits.h is unanswered: the kernel gives up at the
/// first probe after `user_timeout`, whatever the number of probes.
///
/// A machine that lost power or its network doesn't answer, and a connection
/// can stay silent for good while new ones work. Without these options a
/// request on such a connection would wait until its deadline.
///
/// The kernel can't tell a peer that reads nothing from one that disappeared.
/// For peers that may pause reading, such as callers, `user_timeout` must be as
/// long as they may pause.
void SetTcpOptions(evutil_socket_t fd,
                   std::chrono::milliseconds user_timeout = kTcpUserTimeout);

/// Listens on `address`, `IP:port` with port 0 for any free port. `accept` is
/// called with each connection and `arg`. Fails with `kUnavailable` if the
/// address can't be bound.
kernel::Result<Listener> ListenOn(event_base* base, const std::string& address,
                                  int backlog, evconnlistener_cb accept,
                                  void* arg);

/// Returns the bytes of the input buffer. They are valid until it changes.
std::string_view PendingInput(bufferevent* buffer);
/// Removes the first `size` bytes from the input buffer.
void Consume(bufferevent* buffer, std::size_t size);
/// Appends bytes to the output buffer.
void Write(bufferevent* buffer, std::string_view bytes);
/// Appends bytes to the output buffer without a copy; they are kept until they
/// are sent. Null: nothing is appended.
void WriteShared(bufferevent* buffer, std::shared_ptr<const std::string> bytes);
/// Returns the number of bytes in the output buffer.
std::size_t PendingOutputBytes(bufferevent* buffer);

/// Makes the kernel ignore new connections at a listening socket. Those that
/// it has begun to open still become ready to be accepted.
void IgnoreNewConnections(evutil_socket_t listener);
/// Returns the number of sent bytes that the other side has not acknowledged.
/// The end of the output counts as one.
int UnacknowledgedBytes(evutil_socket_t fd);
/// Returns the number of received bytes that were not read yet.
int UnreadBytes(evutil_socket_t fd);
/// Returns true if the other side has reset the connection or ended its output.
/// Bytes that it sent before may still be unread.
bool HasPeerClosed(evutil_socket_t fd);
/// Sets whether the close of the socket resets the connection, also that by the
/// kernel when the process is killed. After a regular end, a truncated answer
/// without chunks would look complete.
void SetResetOnClose(evutil_socket_t fd, bool resets = true);

}  // namespace egretladder::net
