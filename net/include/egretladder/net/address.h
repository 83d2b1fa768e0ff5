// Conversion between addresses in text, `IP:port`, and socket addresses.
#pragma once

#include <event2/util.h>
#include <sys/socket.h>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace egretladder::net {

/// Returns the host, without the brackets of an IPv6 address, and the port, 0
/// if there is none.
std::pair<std::string, std::uint16_t> SplitAddress(const std::string& address);

/// A socket address of either IP version.
struct SocketAddress {
  sockaddr_storage storage{};
  int size = 0;
  sockaddr* get() { return reinterpret_cast<sockaddr*>(&storage); }
};

/// Parses an IP address with a port. Returns no value if `address` has no
/// numeric IP address.
std::optional<SocketAddress> ParseAddress(const std::string& address);

/// Returns `address` with the port to which the socket is bound.
std::string WithBoundPort(const std::string& address, evutil_socket_t fd);

/// Disables Nagle's algorithm, so that a small write such as a token is not
/// delayed until the previous one is acknowledged.
void SetNoDelay(evutil_socket_t fd);

}  // namespace egretladder::net
