#include "harness_links.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <string_view>
#include <utility>

#include "egretladder/kernel/registry.h"
#include "egretladder/net/address.h"
#include "egretladder/proxy/dialect.h"

namespace egretladder::proxy::test {
namespace {

// Small, so that a few connections fill it.
constexpr int kBacklog = 4;

EndpointLinks*& CurrentLinks() {
  static EndpointLinks* links = nullptr;
  return links;
}

const Dialect& PlainDialect() {
  static const Dialect* plain = kernel::FindPlugin<Dialect>("plain");
  return *plain;
}

kernel::Result<routing::EndpointEntry> ReadLinkedEndpoint(
    const routing::Item& item) {
  BOOST_OUTCOME_TRY(entry, PlainDialect().read_endpoint(item));
  if (CurrentLinks() != nullptr)
    entry.address = CurrentLinks()->AddressOf(entry.address);
  return entry;
}

Dialect& LinkedDialect() {
  static Dialect dialect;
  return dialect;
}

const kernel::PluginRegistrar<Dialect> kRegistrar("linked", LinkedDialect());

}  // namespace

EndpointLink::EndpointLink(kernel::Loop& loop, const std::string& target)
    : loop_(loop), target_(target) {
  port_holder_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  evutil_make_listen_socket_reuseable(port_holder_);
  auto any = net::ParseAddress("127.0.0.1:0");
  if (bind(port_holder_, any->get(), static_cast<socklen_t>(any->size)) != 0) {
    std::abort();
  }
  address_ = net::WithBoundPort("127.0.0.1:0", port_holder_);
  Listen(true);
}

EndpointLink::~EndpointLink() { evutil_closesocket(port_holder_); }

void EndpointLink::Listen(bool accept) {
  auto listener = net::ListenOn(
      loop_.base.get(), address_, kBacklog,
      [](evconnlistener* /*l*/, evutil_socket_t fd, sockaddr* /*a*/,
         int /*size*/,
         void* arg) { static_cast<EndpointLink*>(arg)->Accept(fd); },
      this);
  if (!listener) std::abort();
  listener_ = std::move(listener).value();
  if (!accept) evconnlistener_disable(listener_.get());
}

// Once the backlog is full, the kernel drops further connection requests.
void EndpointLink::FillBacklog() {
  for (int i = 0; i < 2 * kBacklog; ++i) {
    fillers_.push_back(std::make_unique<TestConnection>(loop_, address_));
  }
}

void EndpointLink::Set(Cut cut) {
  fillers_.clear();
  listener_.reset();
  if (cut != Cut::kRefuseNew) {
    for (Pair& pair : pairs_) {
      if (cut == Cut::kReset && !std::exchange(pair.closed, true)) {
        pair.node->Reset();
        pair.endpoint->Close();
      }
      if (cut == Cut::kHang || cut == Cut::kSilent) pair.silent = true;
    }
  }
  is_silent_ = cut == Cut::kSilent;
  if (cut == Cut::kNone || cut == Cut::kSilent) Listen(true);
  if (cut == Cut::kHang) {
    Listen(false);
    FillBacklog();
  }
}

void EndpointLink::Accept(evutil_socket_t fd) {
  Pair& pair = pairs_.emplace_back();
  pair.silent = is_silent_;
  pair.node = std::make_unique<TestConnection>(loop_, fd);
  pair.endpoint = std::make_unique<TestConnection>(loop_, target_);
  pair.node->OnChange([this, &pair] { Forward(pair); });
  pair.endpoint->OnChange([this, &pair] { Forward(pair); });
}

void EndpointLink::Forward(Pair& pair) {
  if (pair.silent || pair.closed) return;
  const std::string_view from_node = pair.node->received();
  pair.endpoint->Send(from_node.substr(pair.node_forwarded));
  pair.node_forwarded = from_node.size();
  const std::string_view from_endpoint = pair.endpoint->received();
  pair.node->Send(from_endpoint.substr(pair.endpoint_forwarded));
  pair.endpoint_forwarded = from_endpoint.size();
  if (!pair.node->ended() && !pair.endpoint->ended()) return;
  pair.closed = true;
  pair.node->Close();
  pair.endpoint->Close();
}

EndpointLinks::EndpointLinks(kernel::Loop& loop) : loop_(loop) {
  LinkedDialect() = PlainDialect();
  LinkedDialect().read_endpoint = ReadLinkedEndpoint;
  CurrentLinks() = this;
}

EndpointLinks::~EndpointLinks() { CurrentLinks() = nullptr; }

void EndpointLinks::Set(Cut cut) {
  cut_ = cut;
  for (const auto& [target, link] : links_) link->Set(cut);
}

const std::string& EndpointLinks::AddressOf(const std::string& target) {
  auto& link = links_[target];
  if (link == nullptr) {
    link = std::make_unique<EndpointLink>(loop_, target);
    if (cut_ != Cut::kNone) link->Set(cut_);
  }
  return link->address();
}

std::size_t EndpointLinks::connections() const {
  std::size_t connections = 0;
  for (const auto& [target, link] : links_) connections += link->connections();
  return connections;
}

}  // namespace egretladder::proxy::test
