#include "egretladder/net/socket.h"

#include <event2/buffer.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstdint>

#include "egretladder/net/address.h"
#include "egretladder/net/limits.h"

namespace egretladder::net {

void SetTcpOptions(evutil_socket_t fd, std::chrono::milliseconds user_timeout) {
  SetNoDelay(fd);
  const int on = 1;
  const int idle = static_cast<int>(kKeepAliveIdleTime.count());
  const int interval = static_cast<int>(kKeepAliveInterval.count());
  const int probes = kKeepAliveProbes;
  const int timeout = static_cast<int>(user_timeout.count());
  setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
}

kernel::Result<Listener> ListenOn(event_base* base, const std::string& address,
                                  int backlog, evconnlistener_cb accept,
                                  void* arg) {
  auto target = ParseAddress(address);
  Listener listener(target ? evconnlistener_new_bind(
                                 base, accept, arg,
                                 LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                 backlog, target->get(), target->size)
                           : nullptr);
  if (listener == nullptr) {
    return kernel::MakeError(kernel::ErrorCode::kUnavailable, "listen", address,
                             evutil_socket_error_to_string(errno));
  }
  return listener;
}

std::string_view PendingInput(bufferevent* buffer) {
  evbuffer* input = bufferevent_get_input(buffer);
  const std::size_t size = evbuffer_get_length(input);
  if (size == 0) return {};
  return {reinterpret_cast<const char*>(evbuffer_pullup(input, -1)), size};
}

void Consume(bufferevent* buffer, std::size_t size) {
  evbuffer_drain(bufferevent_get_input(buffer), size);
}

void Write(bufferevent* buffer, std::string_view bytes) {
  evbuffer_add(bufferevent_get_output(buffer), bytes.data(), bytes.size());
}

void WriteShared(bufferevent* buffer,
                 std::shared_ptr<const std::string> bytes) {
  if (bytes == nullptr || bytes->empty()) return;
  auto kept =
      std::make_unique<std::shared_ptr<const std::string>>(std::move(bytes));
  const auto release = [](const void* /*data*/, std::size_t /*size*/,
                          void* extra) {
    delete static_cast<std::shared_ptr<const std::string>*>(extra);
  };
  const std::string& text = **kept;
  if (evbuffer_add_reference(bufferevent_get_output(buffer), text.data(),
                             text.size(), release, kept.get()) == 0) {
    kept.release();  // NOLINT(bugprone-unused-return-value)
  }
}

std::size_t PendingOutputBytes(bufferevent* buffer) {
  return evbuffer_get_length(bufferevent_get_output(buffer));
}

int UnacknowledgedBytes(evutil_socket_t fd) {
  int held = 0;
  return ioctl(fd, TIOCOUTQ, &held) == 0 ? held : 0;
}

int UnreadBytes(evutil_socket_t fd) {
  int held = 0;
  return ioctl(fd, FIONREAD, &held) == 0 ? held : 0;
}

void IgnoreNewConnections(evutil_socket_t listener) {
  constexpr std::uint32_t kFlagsOffset = 13;  // In the header of a segment.
  constexpr std::uint32_t kAllBytes = 0xFFFF'FFFF;
  std::array<sock_filter, 4> drop_syn = {{
      BPF_STMT(BPF_LD | BPF_B | BPF_ABS, kFlagsOffset),
      BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, TH_SYN, 0, 1),
      BPF_STMT(BPF_RET | BPF_K, 0),
      BPF_STMT(BPF_RET | BPF_K, kAllBytes),
  }};
  const sock_fprog program{drop_syn.size(), drop_syn.data()};
  setsockopt(listener, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program));
}

bool HasPeerClosed(evutil_socket_t fd) {
  pollfd poll_fd{fd, POLLRDHUP, 0};
  return poll(&poll_fd, 1, 0) > 0;
}

void SetResetOnClose(evutil_socket_t fd, bool resets) {
  const linger zero_linger{resets ? 1 : 0, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &zero_linger, sizeof(zero_linger));
}

}  // namespace egretladder::net
