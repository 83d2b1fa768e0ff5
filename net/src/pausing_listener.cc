#include "egretladder/net/pausing_listener.h"

#include <cerrno>
#include <utility>

#include "egretladder/kernel/log_event.h"
#include "egretladder/net/address.h"
#include "egretladder/net/limits.h"

namespace egretladder::net {

PausingListener::PausingListener(kernel::Loop& loop, AcceptHandler on_accept)
    : loop_(loop), on_accept_(std::move(on_accept)) {}

kernel::Result<void> PausingListener::Listen(const std::string& address,
                                             int backlog) {
  BOOST_OUTCOME_TRY(
      listener, ListenOn(loop_.base.get(), address, backlog, OnAccept, this));
  listener_ = std::move(listener);
  evconnlistener_set_error_cb(listener_.get(), OnError);
  address_ = WithBoundPort(address, evconnlistener_get_fd(listener_.get()));
  return kernel::Result<void>(boost::outcome_v2::success());
}

void PausingListener::OnAccept(evconnlistener* /*listener*/, evutil_socket_t fd,
                               sockaddr* /*peer*/, int /*size*/, void* arg) {
  static_cast<PausingListener*>(arg)->on_accept_(fd);
}

void PausingListener::OnError(evconnlistener* /*listener*/, void* arg) {
  static_cast<PausingListener*>(arg)->Pause();
}

void PausingListener::Pause() {
  const int error = EVUTIL_SOCKET_ERROR();
  kernel::LogEvent(
      kernel::LogPart::kKernel, kernel::LogLevel::kWarning, "accept-failed",
      {{"address", address_}, {"why", evutil_socket_error_to_string(error)}});
  evconnlistener_disable(listener_.get());
  resume_timer_ = kernel::RunAfter(
      loop_, kAcceptPause, [this] { evconnlistener_enable(listener_.get()); });
}

}  // namespace egretladder::net
