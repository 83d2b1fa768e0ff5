// Addresses in text, `IP:port`, and those of sockets.
#pragma once

#include <event2/util.h>
#include <sys/socket.h>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace egretladder::net {

/// Host and port; brackets of IPv6 are taken off. Port 0 when there is none.
std::pair<std::string, std::uint16_t> SplitAddress(const std::string& address);

struct SocketAddress {
  sockaddr_storage storage{};
  int size = 0;
  sockaddr* get() { return reinterpret_cast<sockaddr*>(&storage); }
};

/// Nothing when `address` is not an IP number with a port.
std::optional<SocketAddress> ParseAddress(const std::string& address);

/// `address` with the port that the socket got.
std::string WithBoundPort(const std::string& address, evutil_socket_t fd);

/// Small writes leave at once; a token must not wait for the acknowledgement
/// of the one before.
void SetNoDelay(evutil_socket_t fd);

}  // namespace egretladder::net
