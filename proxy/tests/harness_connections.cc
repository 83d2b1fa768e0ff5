// The harness's callers and endpoints: connections whose every byte a test
// controls.
#include <event2/buffer.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <utility>

#include "egretladder/net/address.h"
#include "harness.h"

namespace egretladder::proxy::test {

using namespace std::chrono_literals;

namespace {

std::unique_ptr<TestConnection> MakeAcceptedConnection(kernel::Loop& loop,
                                                       evutil_socket_t fd) {
  return std::make_unique<TestConnection>(loop, fd);
}

}  // namespace

TestConnection::TestConnection(kernel::Loop& loop, const std::string& address,
                               int receive_buffer) {
  auto target = net::ParseAddress(address);
  const evutil_socket_t fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  if (receive_buffer > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
               sizeof(receive_buffer));
  }
  buffer_.reset(
      bufferevent_socket_new(loop.base.get(), fd, BEV_OPT_CLOSE_ON_FREE));
  SetCallbacks();
  bufferevent_socket_connect(buffer_.get(), target->get(), target->size);
}

TestConnection::TestConnection(kernel::Loop& loop, evutil_socket_t fd) {
  buffer_.reset(
      bufferevent_socket_new(loop.base.get(), fd, BEV_OPT_CLOSE_ON_FREE));
  SetCallbacks();
}

void TestConnection::SetCallbacks() {
  bufferevent_setcb(
      buffer_.get(),
      [](bufferevent* buffer, void* arg) {
        auto* self = static_cast<TestConnection*>(arg);
        const std::string_view input = net::PendingInput(buffer);
        self->received_.append(input);
        net::Consume(buffer, input.size());
        if (self->on_change_) self->on_change_();
      },
      [](bufferevent* /*b*/, void* arg) {
        static_cast<TestConnection*>(arg)->FinishNow();
      },
      // NOLINTNEXTLINE(google-runtime-int)
      [](bufferevent* /*b*/, short what, void* arg) {
        auto* self = static_cast<TestConnection*>(arg);
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) return;
        self->ended_ = true;
        if (self->on_change_) self->on_change_();
      },
      this);
  bufferevent_enable(buffer_.get(), EV_READ | EV_WRITE);
}

void TestConnection::Send(std::string_view bytes) {
  if (buffer_ != nullptr) net::Write(buffer_.get(), bytes);
}

void TestConnection::PauseReading(bool paused) {
  if (buffer_ == nullptr) return;
  if (paused) {
    bufferevent_disable(buffer_.get(), EV_READ);
  } else {
    bufferevent_enable(buffer_.get(), EV_READ);
  }
}

void TestConnection::ReadSome(std::size_t max_bytes) {
  std::string bytes(max_bytes, '\0');
  const ssize_t count =
      recv(bufferevent_getfd(buffer_.get()), bytes.data(), max_bytes, 0);
  if (count > 0) received_.append(bytes, 0, static_cast<std::size_t>(count));
}

std::size_t TestConnection::unsent_bytes() const {
  return buffer_ == nullptr ? 0 : net::PendingOutputBytes(buffer_.get());
}

std::size_t TestConnection::unread_bytes() const {
  int bytes = 0;
  ioctl(bufferevent_getfd(buffer_.get()), FIONREAD, &bytes);
  return static_cast<std::size_t>(bytes);
}

void TestConnection::StartFinish(Finish finish) {
  finish_ = finish;
  if (unsent_bytes() == 0) FinishNow();
}

void TestConnection::FinishNow() {
  if (buffer_ == nullptr) return;
  const evutil_socket_t fd = bufferevent_getfd(buffer_.get());
  switch (std::exchange(finish_, Finish::kNone)) {
    case Finish::kNone:
      return;
    case Finish::kShutdownWrite:
      shutdown(fd, SHUT_WR);
      return;
    case Finish::kReset: {
      const linger no_delay{1, 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &no_delay, sizeof(no_delay));
      break;
    }
    case Finish::kClose:
      break;
  }
  buffer_.reset();
}

TestListener::TestListener(kernel::Loop& loop, AcceptHandler on_accept)
    : loop_(loop), on_accept_(std::move(on_accept)) {
  auto listener = net::ListenOn(
      loop.base.get(), "127.0.0.1:0", -1,
      [](evconnlistener* /*l*/, evutil_socket_t fd, sockaddr* /*a*/,
         int /*size*/, void* arg) {
        auto* self = static_cast<TestListener*>(arg);
        self->on_accept_(MakeAcceptedConnection(self->loop_, fd));
      },
      this);
  if (!listener) std::abort();
  listener_ = std::move(listener).value();
  address_ =
      net::WithBoundPort("127.0.0.1:0", evconnlistener_get_fd(listener_.get()));
}

// --- Endpoints ---

std::string FormatAnswer(const std::string& id, int status,
                         const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " Said\r\nX-Id: " + id +
         "\r\nX-Seal: 1\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

std::string FormatStreamHead(const std::string& id) {
  return "HTTP/1.1 200 OK\r\nX-Id: " + id +
         "\r\nX-Seal: 1\r\nContent-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

std::string FormatEventChunk(int number, const std::string& data) {
  return net::FormatChunk("id: " + std::to_string(number) + "\ndata: " +
                          (data.empty() ? "t" + std::to_string(number) : data) +
                          "\n\n");
}

std::string FormatEvents(int from, int to) {
  std::string text;
  for (int i = from; i <= to; ++i) {
    text +=
        "id: " + std::to_string(i) + "\ndata: t" + std::to_string(i) + "\n\n";
  }
  return text;
}

std::string EndpointRequest::id() const {
  return std::string(net::FirstFieldValue(http.fields, "X-Id"));
}

int EndpointRequest::last_event_id() const {
  return std::atoi(
      std::string(net::FirstFieldValue(http.fields, "X-After")).c_str());
}

void EndpointRequest::Answer(int status, const std::string& body) const {
  connection->Send(FormatAnswer(id(), status, body));
}

void EndpointRequest::AnswerNotRun() const {
  connection->Send("HTTP/1.1 503 Full\r\nX-Id: " + id() +
                   "\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
}

void EndpointRequest::BeginStream(int from, int to) const {
  connection->Send(FormatStreamHead(id()));
  for (int i = from; i <= to; ++i) connection->Send(FormatEventChunk(i));
}

FakeEndpoint::FakeEndpoint(kernel::Loop& loop, Handler handler)
    : handler_(std::move(handler)), listener_(loop, [this](auto connection) {
        Client& client = clients_.emplace_back();
        client.connection = std::move(connection);
        client.connection->OnChange([this, &client] { ReadRequests(client); });
        client.connection->PauseReading(is_reading_paused_);
      }) {}

void FakeEndpoint::PauseReading(bool paused) {
  is_reading_paused_ = paused;
  for (const Client& client : clients_) client.connection->PauseReading(paused);
}

std::vector<TestConnection*> FakeEndpoint::connections() const {
  std::vector<TestConnection*> connections;
  for (const Client& client : clients_)
    connections.push_back(client.connection.get());
  return connections;
}

void FakeEndpoint::EndProcess() {
  for (const Client& client : clients_) client.connection->Close();
}

void FakeEndpoint::ReadRequests(Client& client) {
  while (true) {
    const std::string_view received = client.connection->received();
    const std::size_t used =
        client.reader.Feed(received.substr(client.parsed_bytes));
    client.parsed_bytes += used;
    if (client.reader.state() == net::ReadState::kDone) {
      const EndpointRequest request{client.connection.get(),
                                    std::move(client.reader.request())};
      client.reader = net::RequestReader({16'384, 1U << 24U});
      if (request.http.target == kReportTarget) {
        request.Answer(404, "");
        continue;
      }
      requests_.push_back(request);
      handler_(request);
    } else if (used == 0) {
      return;
    }
  }
}

FakeEndpoint::Handler AnswerImmediately() {
  return [](const EndpointRequest& request) { request.Answer(200, "done"); };
}

FakeEndpoint::Handler LeaveUnanswered() {
  return [](const EndpointRequest& /*request*/) {};
}

// --- Answers ---

std::vector<Answer> ParseAnswers(const std::string& received) {
  std::vector<Answer> answers;
  std::string_view rest = received;
  while (!rest.empty()) {
    net::AnswerReader reader({65'536, 1U << 26U}, false);
    std::string body;
    while (reader.state() != net::ReadState::kDone) {
      const std::size_t used = reader.Feed(rest);
      if (used == 0) return answers;
      rest.remove_prefix(used);
      body += reader.TakeBody();
    }
    answers.push_back({reader.head().status, body, reader.head().keep_alive});
  }
  return answers;
}

std::string DescribeAnswer(const Answer& answer) {
  constexpr std::string_view kRan = R"("ran":")";
  const std::size_t at = answer.body.find(kRan);
  if (at == std::string::npos) return std::to_string(answer.status);
  const std::size_t from = at + kRan.size();
  return std::to_string(answer.status) + " " +
         answer.body.substr(from, answer.body.find('"', from) - from);
}

std::string DescribeAnswer(const TestConnection& caller) {
  const auto answers = ParseAnswers(caller.received());
  return answers.empty() ? "" : DescribeAnswer(answers.front());
}

}  // namespace egretladder::proxy::test
