#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <memory>
#include <thread>
#include <tuple>
#include <vector>

#include "egretladder/net/address.h"
#include "http_connection_p.h"

namespace egretladder::net {

HttpServer::HttpServer(kernel::Loop& loop, ServerHandlers handlers,
                       ServerGroupPtr group)
    : state_(std::make_shared<State>()) {
  state_->loop = &loop;
  state_->group = group != nullptr
                      ? std::move(group)
                      : std::make_shared<ServerGroup>(loop, UnreadPatience());
  state_->handlers = std::move(handlers);
}

HttpServer::~HttpServer() {
  state_->listener.reset();
  const auto connections = state_->connections;
  for (const auto& connection : connections) connection->Close();
}

kernel::Result<void> HttpServer::Listen(const std::string& address) {
  const auto accept = [](evconnlistener* /*listener*/, evutil_socket_t fd,
                         sockaddr* /*peer*/, int /*size*/,
                         void* arg) { static_cast<State*>(arg)->Accept(fd); };
  // Accepting fails if the process has no free file descriptor. The socket
  // stays readable, so that libevent would try again in a busy loop.
  const auto pause = [](evconnlistener* /*listener*/, void* arg) {
    // `Sweep` makes it accept again.
    static_cast<State*>(arg)->SetAccepting(false);
  };
  BOOST_OUTCOME_TRY(
      listener, ListenOn(state_->loop->base.get(), address, kHttpListenBacklog,
                         accept, state_.get()));
  state_->listener = std::move(listener);
  evconnlistener_set_error_cb(state_->listener.get(), pause);
  state_->address =
      WithBoundPort(address, evconnlistener_get_fd(state_->listener.get()));
  state_->sweep = kernel::RunEvery(*state_->loop, kHttpSweepInterval,
                                   [state = state_.get()] { state->Sweep(); });
  return kernel::Result<void>(boost::outcome_v2::success());
}

void HttpServer::State::Accept(evutil_socket_t fd) {
  SetTcpOptions(fd, limits.write_timeout);
  Bufferevent buffer = handlers.make_buffer
                           ? handlers.make_buffer(loop->base.get(), fd)
                           : Bufferevent(bufferevent_socket_new(
                                 loop->base.get(), fd, BEV_OPT_CLOSE_ON_FREE));
  if (buffer == nullptr) {
    evutil_closesocket(fd);
    return;
  }
  auto connection = std::make_shared<HttpConnection>(*this, std::move(buffer));
  connections.insert(connection);
  connection->Open();
  if (listener && !MakeRoom(1)) SetAccepting(false);
}

bool HttpServer::State::MakeRoom(std::size_t most) {
  if (connections.size() < limits.connections) return true;
  const kernel::Time now = kernel::Now(loop->clock);
  // Those that have all their answers come first, and then the longest waiting.
  using Waiting =
      std::tuple<bool, kernel::Time, std::shared_ptr<HttpConnection>>;
  std::vector<Waiting> waiting;
  for (const auto& connection : connections) {
    const auto since = connection->WaitsSince();
    const bool has_output = connection->UnsentBytes() > 0;
    const auto min_wait =
        has_output ? kMinUnreadBeforeClose : kMinWaitBeforeClose;
    if (since && now - *since >= min_wait)
      waiting.emplace_back(has_output, *since, connection);
  }
  std::sort(waiting.begin(), waiting.end());
  for (const auto& [has_output, since, connection] : waiting) {
    if (most == 0) break;
    if (!has_output && connection->HasUnreadInput()) continue;
    connection->Close();
    ++closed_waiting;
    --most;
  }
  return connections.size() < limits.connections;
}

void HttpServer::State::SetAccepting(bool accepts) {
  is_accepting = accepts;
  if (accepts) {
    evconnlistener_enable(listener.get());
  } else {
    evconnlistener_disable(listener.get());
  }
}

void HttpServer::State::AcceptBacklog() {
  while (listener && connections.size() < limits.connections) {
    const int fd = accept4(evconnlistener_get_fd(listener.get()), nullptr,
                           nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
      Accept(fd);
    } else if (errno != ECONNABORTED && errno != EINTR) {
      return;
    }
  }
}

void HttpServer::State::Sweep() {
  const kernel::Time now = kernel::Now(loop->clock);
  std::vector<std::shared_ptr<HttpConnection>> timed_out;
  std::vector<std::shared_ptr<HttpConnection>> abandoned;
  for (const auto& connection : connections) {
    if (connection->IsTimedOut(now)) timed_out.push_back(connection);
    if (connection->IsCallerGoneWhilePaused()) abandoned.push_back(connection);
  }
  for (const auto& connection : timed_out) connection->OnTimeout();
  for (const auto& connection : abandoned) connection->Close();
  const auto most = static_cast<std::size_t>(std::ceil(
      kClosedPerSweepRatio * static_cast<double>(limits.connections)));
  const bool is_paused = listener && !is_accepting;
  if (is_paused && MakeRoom(most)) SetAccepting(true);
}

const std::string& HttpServer::address() const { return state_->address; }
void HttpServer::SetLimits(const ServerLimits& limits) {
  state_->limits = limits;
}
void HttpServer::CloseAfterAnswers() { state_->close_after_answers = true; }
void HttpServer::EndInGoodOrderWhenKilled() {
  state_->resets_when_killed = false;
}
void HttpServer::StopListening() {
  // Closing the listener resets connections that are not accepted yet.
  IgnoreNewConnections(evconnlistener_get_fd(state_->listener.get()));
  std::this_thread::sleep_for(kHttpHandshakeTime);
  state_->AcceptBacklog();
  state_->listener.reset();
}
std::size_t HttpServer::incomplete_requests() const {
  return static_cast<std::size_t>(
      std::count_if(state_->connections.begin(), state_->connections.end(),
                    [](const auto& connection) {
                      return connection->HasIncompleteRequest();
                    }));
}

void HttpServer::RefuseIncompleteRequests(const std::string& why) {
  const auto connections = state_->connections;
  for (const auto& connection : connections)
    connection->RefuseIncompleteRequest(why);
}

std::size_t HttpServer::undelivered() const {
  return static_cast<std::size_t>(std::count_if(
      state_->connections.begin(), state_->connections.end(),
      [](const auto& connection) { return connection->IsUndelivered(); }));
}

std::size_t HttpServer::unsent_bytes() const { return state_->unsent_bytes; }

std::size_t HttpServer::connections() const {
  return state_->connections.size();
}

std::uint64_t HttpServer::closed_waiting() const {
  return state_->closed_waiting;
}

}  // namespace egretladder::net
