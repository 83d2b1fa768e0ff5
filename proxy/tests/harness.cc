#include "harness.h"

#include <CppUTest/TestHarness.h>
#include <event2/buffer.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <sstream>
#include <utility>

#include "egretladder/kernel/registry.h"
#include "egretladder/net/address.h"
#include "egretladder/proxy/dialect.h"

namespace egretladder::proxy::test {

using namespace std::chrono_literals;

namespace {

kernel::Time OffsetNow(const void* offset) {
  return std::chrono::steady_clock::now() +
         *static_cast<const std::chrono::nanoseconds*>(offset);
}

std::unique_ptr<TestConnection> MakeAcceptedConnection(kernel::Loop& loop,
                                                       evutil_socket_t fd) {
  return std::make_unique<TestConnection>(loop, fd);
}

}  // namespace

// --- Connections ---

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
  connection->Send(
      "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
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

void FakeEndpoint::ReadRequests(Client& client) {
  while (true) {
    const std::string_view received = client.connection->received();
    const std::size_t used =
        client.reader.Feed(received.substr(client.parsed_bytes));
    client.parsed_bytes += used;
    if (client.reader.state() == net::ReadState::kDone) {
      requests_.push_back(
          {client.connection.get(), std::move(client.reader.request())});
      client.reader = net::RequestReader({16'384, 1U << 24U});
      const EndpointRequest request = requests_.back();
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

// --- The fake store and the test dialect ---

namespace {

// Published route tables by version. The store's item holds only the version.
std::map<std::string, routing::RouteTablePtr>& Tables() {
  static std::map<std::string, routing::RouteTablePtr> tables;
  return tables;
}

constexpr std::string_view kEndpointPrefix = "endpoints/";
constexpr std::string_view kZoneOutPrefix = "out/";

// The text behind the prefix; empty if the text doesn't begin with it.
std::string StripPrefix(std::string_view text, std::string_view prefix) {
  return text.starts_with(prefix) ? std::string(text.substr(prefix.size()))
                                  : "";
}

std::string FeedName(routing::Feed feed) {
  return feed == routing::Feed::kEndpoints ? "endpoints" : "rules";
}

std::string ListTarget(routing::Feed feed, std::string_view /*after*/) {
  return "/" + FeedName(feed) + "/0";
}

std::string WatchTarget(routing::Feed feed, std::uint64_t revision,
                        milliseconds wait) {
  return "/" + FeedName(feed) + "/" + std::to_string(revision) +
         "?wait=" + std::to_string(wait.count());
}

// Parses the store's revision, followed by one line for each item: key,
// revision, `-` for a removed item or `+`, and value.
kernel::Result<StorePage> ReadPage(const std::string& body) {
  std::istringstream lines(body);
  StorePage page;
  lines >> page.revision;
  std::string sign;
  routing::Item item;
  while (lines >> item.key >> item.rev >> sign) {
    lines.get();
    std::getline(lines, item.value);
    item.removed = sign == "-";
    page.items.push_back(item);
  }
  return page;
}

kernel::Result<routing::Changes> ReadChanges(routing::Feed feed,
                                             const std::string& body) {
  BOOST_OUTCOME_TRY(page, ReadPage(body));
  return routing::Changes{feed, false, page.revision, std::move(page.items)};
}

bool IsRules(std::string_view key) { return key == "rules"; }
std::string ZoneOut(std::string_view key) {
  return StripPrefix(key, kZoneOutPrefix);
}
std::string EndpointId(std::string_view key) {
  return StripPrefix(key, kEndpointPrefix);
}

kernel::Result<routing::RouteTablePtr> ReadRules(const std::string& value) {
  return Tables().at(value);
}

// Parses `ADDRESS ZONE STATE SLOTS`.
kernel::Result<routing::EndpointEntry> ReadEndpoint(const routing::Item& item) {
  routing::EndpointEntry entry;
  entry.id = EndpointId(item.key);
  entry.service = "all";
  std::string state;
  std::istringstream(item.value) >> entry.address >> entry.zone >> state >>
      entry.slots;
  entry.leaving = state == "leaving";
  return entry;
}

std::string RequestId(const net::HttpRequest& request) {
  return std::string(net::FirstFieldValue(request.fields, "X-Id"));
}

kernel::Result<RequestMetadata> ReadCall(const net::HttpRequest& request) {
  RequestMetadata metadata;
  metadata.id = RequestId(request);
  metadata.key = net::FirstFieldValue(request.fields, "X-Key");
  metadata.deadline = milliseconds(std::atoi(
      std::string(net::FirstFieldValue(request.fields, "X-Wait-Ms")).c_str()));
  return metadata;
}

net::HttpFields EndpointFields(const net::HttpRequest& request,
                               const ForwardMetadata& metadata) {
  const std::string after =
      metadata.resume_after.empty()
          ? std::string(net::FirstFieldValue(request.fields, "X-After"))
          : metadata.resume_after;
  return {{"Host", "h"}, {"X-Id", RequestId(request)}, {"X-After", after}};
}

net::HttpFields PeerFields(const net::HttpRequest& request,
                           milliseconds time_left,
                           const std::string& resume_after) {
  net::HttpFields fields;
  for (const net::HttpField& field : request.fields) {
    const bool is_replaced = field.name == "X-Wait-Ms" ||
                             (!resume_after.empty() && field.name == "X-After");
    if (!is_replaced && !net::IsHopByHopField(field.name))
      fields.push_back(field);
  }
  fields.push_back({"X-Wait-Ms", std::to_string(time_left.count())});
  if (!resume_after.empty()) fields.push_back({"X-After", resume_after});
  return fields;
}

AnswerMetadata ReadAnswer(const net::HttpAnswerHead& head) {
  AnswerMetadata metadata;
  metadata.id = net::FirstFieldValue(head.fields, "X-Id");
  metadata.not_run = net::CountFields(head.fields, "X-Not-Run") > 0;
  metadata.sealed = net::CountFields(head.fields, "X-Seal") > 0;
  metadata.notice.leaving = net::CountFields(head.fields, "X-Leaving") > 0;
  metadata.is_event_stream =
      net::FirstFieldValue(head.fields, "Content-Type") == "text/event-stream";
  return metadata;
}

bool IsDirectory(std::string_view target, std::string* zone) {
  *zone = StripPrefix(target, "/nodes/");
  return !zone->empty();
}

std::string DirectoryBody(const std::vector<std::string>& addresses,
                          milliseconds /*keep_for*/) {
  std::string body;
  for (const std::string& address : addresses) body += address + "\n";
  return body;
}

bool IsReadinessRequest(std::string_view target) { return target == "/ready"; }

StoreEraStatement ReadStoreEra(const net::HttpAnswerHead& /*head*/) {
  return {};
}

constexpr Dialect kTestDialect = {
    .list_target = ListTarget,
    .watch_target = WatchTarget,
    .read_store_era = ReadStoreEra,
    .read_page = ReadPage,
    .read_changes = ReadChanges,
    .is_rules_key = IsRules,
    .zone_out = ZoneOut,
    .read_rules = ReadRules,
    .endpoint_id = EndpointId,
    .read_endpoint = ReadEndpoint,
    .request_id = RequestId,
    .read_call = ReadCall,
    .endpoint_fields = EndpointFields,
    .peer_fields = PeerFields,
    .read_answer = ReadAnswer,
    .is_directory_request = IsDirectory,
    .directory_body = DirectoryBody,
    .is_readiness_request = IsReadinessRequest,
};
const kernel::PluginRegistrar<Dialect> kRegistrar("plain", kTestDialect);

bool IsOfFeed(const std::string& key, std::string_view feed) {
  return key.starts_with(kEndpointPrefix) == (feed == "endpoints");
}

}  // namespace

FakeStore::FakeStore(kernel::Loop& loop)
    : server_(loop, {.on_request =
                         [this](const net::HttpCallPtr& call) {
                           HandleRequest(call);
                         },
                     .on_refused = {},
                     .refusal_body = {},
                     .make_buffer = {}}) {
  if (!server_.Listen("127.0.0.1:0")) std::abort();
  watch_end_timer_ = kernel::RunEvery(loop, 2s, [this] { EndWatches(); });
}

void FakeStore::Put(const std::string& key, const std::string& value) {
  items_[key] = {value, ++revision_, false};
  AnswerChangedWatches();
}

void FakeStore::Remove(const std::string& key) {
  items_[key] = {"", ++revision_, true};
  AnswerChangedWatches();
}

void FakeStore::SetUnavailable(bool unavailable) {
  is_unavailable_ = unavailable;
  AnswerChangedWatches();
}

void FakeStore::SetSilent(bool silent) {
  is_silent_ = silent;
  watches_.clear();
}

void FakeStore::HandleRequest(const net::HttpCallPtr& call) {
  ++call_count_;
  const std::string& target = call->request().target;
  const std::size_t wait = target.find("?wait=");
  last_wait_ = milliseconds(
      wait == std::string::npos
          ? 0
          : std::strtol(target.c_str() + wait + std::strlen("?wait="), nullptr,
                        10));
  if (is_silent_) {
    ++unanswered_;
  } else if (!TryAnswer(call)) {
    watches_.push_back(call);
  }
}

bool FakeStore::TryAnswer(const net::HttpCallPtr& call) {
  if (call->over()) return true;
  if (is_unavailable_) {
    call->Answer(503, "Away", {}, "");
    return true;
  }
  const std::string& target = call->request().target;
  const std::size_t slash = target.rfind('/');
  const std::string feed = target.substr(1, slash - 1);
  const std::uint64_t after =
      std::strtoull(target.c_str() + slash + 1, nullptr, 10);
  std::string body = std::to_string(revision_) + "\n";
  bool changed = false;
  for (const auto& [key, item] : items_) {
    if (!IsOfFeed(key, feed) || item.rev <= after) continue;
    if (after == 0 && item.removed) continue;
    changed = true;
    body += key + " " + std::to_string(item.rev) +
            (item.removed ? " - " : " + ") + item.value + "\n";
  }
  if (after > 0 && !changed) return false;
  call->Answer(200, "OK", {}, body);
  return true;
}

void FakeStore::AnswerChangedWatches() {
  watches_.remove_if(
      [this](const net::HttpCallPtr& call) { return TryAnswer(call); });
}

void FakeStore::EndWatches() {
  for (const net::HttpCallPtr& call : watches_) {
    call->Answer(200, "OK", {}, std::to_string(revision_) + "\n");
  }
  watches_.clear();
}

// --- The environment ---

routing::RouteTable MakeRouteTable() {
  using routing::RouteKind;
  routing::RouteTable table;
  table.services = {{.name = "all"}};
  const auto add = [&table](const char* name, RouteKind kind,
                            std::uint32_t attempts) -> routing::Route& {
    routing::Route& route = table.routes.emplace_back();
    route.name = name;
    route.host = "h";
    route.prefix = std::string("/") + name + "/";
    route.kind = kind;
    route.timeout = 20s;
    route.target = 1s;
    route.targets = {{{0}, 1}};
    route.attempts = attempts;
    return route;
  };
  add("read", RouteKind::kIdempotent, 2);
  add("once", RouteKind::kOnce, 1);
  add("talk", RouteKind::kStream, 2).resumable = true;
  add("tell", RouteKind::kStream, 1);
  table.accounts = {{.name = "t", .tier = {}}};
  table.account_by_key = {{"k1", 0}, {"k2", 0}};
  table.has_accounts = true;
  table.limits.body_bytes = std::size_t{16} << 20U;
  return table;
}

std::string FormatRequest(const TestRequest& request) {
  return "POST " + request.path +
         " HTTP/1.1\r\nHost: h\r\nX-Id: " + request.id +
         "\r\nX-Key: " + request.key +
         "\r\nX-Wait-Ms: " + std::to_string(request.timeout_ms) +
         "\r\nContent-Length: " + std::to_string(request.body.size()) +
         "\r\n\r\n" + request.body;
}

TestEnvironment::TestEnvironment() : loop(kernel::CreateLoop()), store(loop) {
  // As in the daemon: writes to closed connections must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  loop.clock = {OffsetNow, &clock_offset_};
  loop_timer_ = kernel::RunEvery(loop, 2ms, [] {});
}

void TestEnvironment::Publish(routing::RouteTable table) {
  table.version = ++version_;
  routing::IndexTable(table);
  const std::string name = std::to_string(version_);
  Tables()[name] = std::make_shared<routing::RouteTable>(std::move(table));
  store.Put("rules", name);
}

FakeEndpoint& TestEnvironment::AddEndpoint(const std::string& id,
                                           FakeEndpoint::Handler handler,
                                           const std::string& zone) {
  auto& endpoint = endpoints_[id];
  endpoint = std::make_unique<FakeEndpoint>(loop, std::move(handler));
  Register(id, endpoint->address(), zone);
  return *endpoint;
}

void TestEnvironment::Register(const std::string& id,
                               const std::string& address,
                               const std::string& zone,
                               const std::string& state, int slots) {
  store.Put(std::string(kEndpointPrefix) + id,
            address + " " + zone + " " + state + " " + std::to_string(slots));
}

ProxyOptions TestEnvironment::MakeOptions(const std::string& node) const {
  ProxyOptions options;
  options.node = node;
  options.zone = "a";
  options.dialect = "plain";
  options.store = store.address();
  // A request earns its own retries, as a new process has no part of the slack.
  options.retries = {5, 0, 10s};
  return options;
}

Proxy& TestEnvironment::StartNode(const ProxyOptions& options) {
  auto started = StartProxy(loop, options);
  if (!started) std::abort();
  proxies_.push_back(std::move(started).value());
  return *proxies_.back();
}

Proxy& TestEnvironment::StartReadyNode() {
  Publish();
  Proxy& proxy = StartNode(MakeOptions("n1"));
  WaitUntilReady(proxy, endpoints_.size());
  return proxy;
}

void TestEnvironment::KillNode(Proxy& proxy) {
  proxies_.remove_if(
      [&proxy](const ProxyPtr& node) { return node.get() == &proxy; });
}

void TestEnvironment::WaitUntil(const std::function<bool()>& done) {
  const auto limit = std::chrono::steady_clock::now() + 20s;
  while (!done()) {
    if (std::chrono::steady_clock::now() > limit) {
      FAIL("the awaited condition did not hold within 20 s");
    }
    event_base_loop(loop.base.get(), EVLOOP_ONCE);
  }
}

void TestEnvironment::RunLoopFor(std::chrono::milliseconds time) {
  const auto end = std::chrono::steady_clock::now() + time;
  WaitUntil([end] { return std::chrono::steady_clock::now() >= end; });
}

void TestEnvironment::WaitUntilReady(Proxy& proxy, std::size_t endpoints) {
  WaitUntil([&proxy, endpoints] {
    const ProxyView view = ViewOf(proxy);
    return view.ready_now && view.endpoints == endpoints;
  });
}

void TestEnvironment::WaitUntilRulesApplied(Proxy& proxy) {
  WaitUntil([&] { return ViewOf(proxy).rules_version == version_; });
}

TestConnection& TestEnvironment::Connect(const std::string& address,
                                         int receive_buffer) {
  connections_.push_back(
      std::make_unique<TestConnection>(loop, address, receive_buffer));
  return *connections_.back();
}

TestConnection& TestEnvironment::SendRequest(Proxy& proxy,
                                             const TestRequest& request) {
  TestConnection& caller = Connect(ViewOf(proxy).callers);
  caller.Send(FormatRequest(request));
  return caller;
}

Answer TestEnvironment::SendAndWait(Proxy& proxy, const TestRequest& request) {
  TestConnection& caller = SendRequest(proxy, request);
  WaitUntil(
      [&caller] { return !DescribeAnswer(caller).empty() || caller.ended(); });
  const auto answers = ParseAnswers(caller.received());
  caller.Close();
  return answers.empty() ? Answer{} : answers.front();
}

std::string TestEnvironment::SendAndDescribe(Proxy& proxy,
                                             const TestRequest& request) {
  return DescribeAnswer(SendAndWait(proxy, request));
}

}  // namespace egretladder::proxy::test
