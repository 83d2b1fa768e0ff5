// The links between one node and its endpoints, which a test can cut while the
// endpoints stay reachable for other nodes.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "harness.h"

namespace egretladder::proxy::test {

/// How a node is cut off from its endpoints.
enum class Cut : std::uint8_t {
  kNone,
  /// New connections hang, open ones fall silent for good.
  kHang,
  /// New connections are refused, open ones are reset.
  kReset,
  /// New connections are refused, open ones live on.
  kRefuseNew,
  /// New connections are accepted, and all of them are silent.
  kSilent,
};

/// The link to one endpoint: a relay that listens where the node connects.
class EndpointLink {
 public:
  EndpointLink(kernel::Loop& loop, const std::string& target);
  ~EndpointLink();
  EndpointLink(const EndpointLink&) = delete;
  EndpointLink& operator=(const EndpointLink&) = delete;

  const std::string& address() const { return address_; }
  void Set(Cut cut);
  /// Number of connections that were relayed so far.
  std::size_t connections() const { return pairs_.size(); }

 private:
  struct Pair {
    std::unique_ptr<TestConnection> node;
    std::unique_ptr<TestConnection> endpoint;
    std::size_t node_forwarded = 0;
    std::size_t endpoint_forwarded = 0;
    bool silent = false;
    bool closed = false;
  };
  /// Listens, and accepts connections unless they are to hang.
  void Listen(bool accept);
  void FillBacklog();
  void Accept(evutil_socket_t fd);
  void Forward(Pair& pair);

  bool is_silent_ = false;  // Connections accepted from now on are silent.

  kernel::Loop& loop_;
  std::string target_;
  std::string address_;
  /// Bound to the address and not listening, so that no other socket gets the
  /// port while the link refuses connections.
  evutil_socket_t port_holder_ = -1;
  net::Listener listener_;
  std::list<Pair> pairs_;
  std::list<std::unique_ptr<TestConnection>> fillers_;
};

/// The links of the nodes whose dialect is `Dialect()`: such a node connects to
/// each endpoint through a link, which is created when it learns of the
/// endpoint. One object at a time.
class EndpointLinks {
 public:
  explicit EndpointLinks(kernel::Loop& loop);
  ~EndpointLinks();
  EndpointLinks(const EndpointLinks&) = delete;
  EndpointLinks& operator=(const EndpointLinks&) = delete;

  static const char* Dialect() { return "linked"; }
  /// Sets the state of all links, later ones included.
  void Set(Cut cut);
  /// Returns the address at which the link to `target` listens.
  const std::string& AddressOf(const std::string& target);
  /// Number of connections that all links have relayed so far.
  std::size_t connections() const;

 private:
  kernel::Loop& loop_;
  Cut cut_ = Cut::kNone;
  std::map<std::string, std::unique_ptr<EndpointLink>> links_;
};

}  // namespace egretladder::proxy::test
