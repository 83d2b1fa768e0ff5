// Options of TCP sockets, and libevent's owners.
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

/// Small writes leave at once, and a peer that fell silent without a reset is
/// given up after `unacknowledged`, or the keep-alive times of limits.h.
///
/// A machine that lost its power or is cut off answers nothing, and a
/// connection may fall silent for good while new ones work. Without this a
/// request waits on it until its deadline.
///
/// The kernel takes a peer that reads nothing for one that isn't there. Give
/// those that may pause, as callers do, as long as they may.
void SetTcpOptions(evutil_socket_t fd,
                   std::chrono::milliseconds unacknowledged = kUserTimeout);

/// Listens on `address` (`IP:port`, port 0 for any); `accept` gets each
/// connection and `arg`. Fails with `kUnavailable` when it can't be bound.
kernel::Result<Listener> ListenOn(event_base* base, const std::string& address,
                                  int backlog, evconnlistener_cb accept,
                                  void* arg);

/// The bytes that wait to be read. Valid until the buffer changes.
std::string_view PendingInput(bufferevent* buffer);
/// Takes `size` bytes off the input.
void Consume(bufferevent* buffer, std::size_t size);
/// Appends to the output.
void Write(bufferevent* buffer, std::string_view bytes);
/// Bytes that wait to be sent.
std::size_t PendingOutputBytes(bufferevent* buffer);

/// Bytes, and the end after them, that the other side hasn't acknowledged.
int HeldByKernel(evutil_socket_t fd);
/// The other side reset the connection or ended its input; what it sent before
/// may still be unread.
bool HasLeft(evutil_socket_t fd);
/// Lets the close of the connection be a reset: a regular end would make a half
/// answer without chunks look whole.
void ResetOnClose(evutil_socket_t fd);

}  // namespace egretladder::net
