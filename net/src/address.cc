#include "egretladder/net/address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <cstdlib>

namespace egretladder::net {

std::pair<std::string, std::uint16_t> SplitAddress(const std::string& address) {
  const auto colon = address.rfind(':');
  if (colon == std::string::npos) return {address, 0};
  std::string host = address.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  const auto port = std::strtoul(address.c_str() + colon + 1, nullptr, 10);
  return {host, static_cast<std::uint16_t>(port)};
}

std::optional<SocketAddress> ParseAddress(const std::string& address) {
  const auto [host, port] = SplitAddress(address);
  SocketAddress parsed;
  auto* ipv4 = reinterpret_cast<sockaddr_in*>(&parsed.storage);
  auto* ipv6 = reinterpret_cast<sockaddr_in6*>(&parsed.storage);
  if (inet_pton(AF_INET, host.c_str(), &ipv4->sin_addr) == 1) {
    ipv4->sin_family = AF_INET;
    ipv4->sin_port = htons(port);
    parsed.size = sizeof(sockaddr_in);
    return parsed;
  }
  if (inet_pton(AF_INET6, host.c_str(), &ipv6->sin6_addr) == 1) {
    ipv6->sin6_family = AF_INET6;
    ipv6->sin6_port = htons(port);
    parsed.size = sizeof(sockaddr_in6);
    return parsed;
  }
  return std::nullopt;
}

std::string WithBoundPort(const std::string& address, evutil_socket_t fd) {
  sockaddr_storage storage{};
  socklen_t size = sizeof(storage);
  getsockname(fd, reinterpret_cast<sockaddr*>(&storage), &size);
  const auto port =
      storage.ss_family == AF_INET6
          ? reinterpret_cast<const sockaddr_in6*>(&storage)->sin6_port
          : reinterpret_cast<const sockaddr_in*>(&storage)->sin_port;
  return address.substr(0, address.rfind(':') + 1) +
         std::to_string(ntohs(port));
}

void SetNoDelay(evutil_socket_t fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

}  // namespace egretladder::net
