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

kernel::Time MovedNow(const void* ahead) {
  return std::chrono::steady_clock::now() +
         *static_cast<const std::chrono::nanoseconds*>(ahead);
}

std::unique_ptr<Wire> AcceptedWire(kernel::Loop& loop, evutil_socket_t fd) {
  return std::make_unique<Wire>(loop, fd);
}

}  // namespace

// --- Connections ---

Wire::Wire(kernel::Loop& loop, const std::string& address, int receive_buffer) {
  auto target = net::ParseAddress(address);
  const evutil_socket_t fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  if (receive_buffer > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
               sizeof(receive_buffer));
  }
  buffer_.reset(
      bufferevent_socket_new(loop.base.get(), fd, BEV_OPT_CLOSE_ON_FREE));
  Open();
  bufferevent_socket_connect(buffer_.get(), target->get(), target->size);
}

Wire::Wire(kernel::Loop& loop, evutil_socket_t fd) {
  buffer_.reset(
      bufferevent_socket_new(loop.base.get(), fd, BEV_OPT_CLOSE_ON_FREE));
  Open();
}

void Wire::Open() {
  bufferevent_setcb(
      buffer_.get(),
      [](bufferevent* buffer, void* arg) {
        auto* self = static_cast<Wire*>(arg);
        const std::string_view input = net::PendingInput(buffer);
        self->received_.append(input);
        net::Consume(buffer, input.size());
        if (self->changed_) self->changed_();
      },
      [](bufferevent* /*b*/, void* arg) {
        static_cast<Wire*>(arg)->DoFinish();
      },
      // NOLINTNEXTLINE(google-runtime-int)
      [](bufferevent* /*b*/, short what, void* arg) {
        auto* self = static_cast<Wire*>(arg);
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) return;
        self->ended_ = true;
        if (self->changed_) self->changed_();
      },
      this);
  bufferevent_enable(buffer_.get(), EV_READ | EV_WRITE);
}

void Wire::Send(std::string_view bytes) {
  if (buffer_ != nullptr) net::Write(buffer_.get(), bytes);
}

void Wire::Hold(bool hold) {
  if (buffer_ == nullptr) return;
  if (hold) {
    bufferevent_disable(buffer_.get(), EV_READ);
  } else {
    bufferevent_enable(buffer_.get(), EV_READ);
  }
}

void Wire::TakeSome(std::size_t most) {
  std::string bytes(most, '\0');
  const ssize_t count =
      recv(bufferevent_getfd(buffer_.get()), bytes.data(), most, 0);
  if (count > 0) received_.append(bytes, 0, static_cast<std::size_t>(count));
}

std::size_t Wire::unsent() const {
  return buffer_ == nullptr ? 0 : net::PendingOutputBytes(buffer_.get());
}

std::size_t Wire::waiting() const {
  int bytes = 0;
  ioctl(bufferevent_getfd(buffer_.get()), FIONREAD, &bytes);
  return static_cast<std::size_t>(bytes);
}

void Wire::FinishBy(Finish how) {
  finish_ = how;
  if (unsent() == 0) DoFinish();
}

void Wire::DoFinish() {
  if (buffer_ == nullptr) return;
  const evutil_socket_t fd = bufferevent_getfd(buffer_.get());
  switch (std::exchange(finish_, Finish::kNone)) {
    case Finish::kNone:
      return;
    case Finish::kEndSending:
      shutdown(fd, SHUT_WR);
      return;
    case Finish::kReset: {
      const linger now{1, 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
      break;
    }
    case Finish::kClose:
      break;
  }
  buffer_.reset();
}

Port::Port(kernel::Loop& loop, Accepted accepted)
    : loop_(loop), accepted_(std::move(accepted)) {
  auto listener = net::ListenOn(
      loop.base.get(), "127.0.0.1:0", -1,
      [](evconnlistener* /*l*/, evutil_socket_t fd, sockaddr* /*a*/,
         int /*size*/, void* arg) {
        auto* self = static_cast<Port*>(arg);
        self->accepted_(AcceptedWire(self->loop_, fd));
      },
      this);
  if (!listener) std::abort();
  listener_ = std::move(listener).value();
  address_ =
      net::WithBoundPort("127.0.0.1:0", evconnlistener_get_fd(listener_.get()));
}

// --- Endpoints ---

std::string AnswerBytes(const std::string& id, int status,
                        const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " Said\r\nX-Id: " + id +
         "\r\nX-Seal: 1\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

std::string EventsHead(const std::string& id) {
  return "HTTP/1.1 200 OK\r\nX-Id: " + id +
         "\r\nX-Seal: 1\r\nContent-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

std::string EventBytes(int number, const std::string& data) {
  return net::FormatChunk("id: " + std::to_string(number) + "\ndata: " +
                          (data.empty() ? "t" + std::to_string(number) : data) +
                          "\n\n");
}

std::string EventsText(int from, int to) {
  std::string text;
  for (int i = from; i <= to; ++i) {
    text +=
        "id: " + std::to_string(i) + "\ndata: t" + std::to_string(i) + "\n\n";
  }
  return text;
}

std::string Served::id() const {
  return std::string(net::ValueOf(request.fields, "X-Id"));
}

int Served::after() const {
  return std::atoi(
      std::string(net::ValueOf(request.fields, "X-After")).c_str());
}

void Served::Answer(int status, const std::string& body) const {
  wire->Send(AnswerBytes(id(), status, body));
}

void Served::SayNotRun() const {
  wire->Send("HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
}

void Served::Begin(int from, int to) const {
  wire->Send(EventsHead(id()));
  for (int i = from; i <= to; ++i) wire->Send(EventBytes(i));
}

Endpoint::Endpoint(kernel::Loop& loop, Handler handler)
    : handler_(std::move(handler)), port_(loop, [this](auto wire) {
        Line& line = lines_.emplace_back();
        line.wire = std::move(wire);
        line.wire->OnChange([this, &line] { Read(line); });
        line.wire->Hold(hold_);
      }) {}

void Endpoint::Hold(bool hold) {
  hold_ = hold;
  for (const Line& line : lines_) line.wire->Hold(hold);
}

std::vector<Wire*> Endpoint::wires() const {
  std::vector<Wire*> wires;
  for (const Line& line : lines_) wires.push_back(line.wire.get());
  return wires;
}

void Endpoint::Read(Line& line) {
  while (true) {
    const std::string_view received = line.wire->received();
    const std::size_t used = line.reader.Feed(received.substr(line.read));
    line.read += used;
    if (line.reader.state() == net::ReadState::kDone) {
      seen_.push_back({line.wire.get(), std::move(line.reader.request())});
      line.reader = net::RequestReader({16'384, 1U << 24U});
      const Served served = seen_.back();
      handler_(served);
    } else if (used == 0) {
      return;
    }
  }
}

Endpoint::Handler AnswersDone() {
  return [](const Served& served) { served.Answer(200, "done"); };
}

Endpoint::Handler AnswersLater() {
  return [](const Served& /*served*/) {};
}

// --- Answers ---

std::vector<Answer> AnswersIn(const std::string& received) {
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

std::string Told(const Answer& answer) {
  constexpr std::string_view kRan = R"("ran":")";
  const std::size_t at = answer.body.find(kRan);
  if (at == std::string::npos) return std::to_string(answer.status);
  const std::size_t from = at + kRan.size();
  return std::to_string(answer.status) + " " +
         answer.body.substr(from, answer.body.find('"', from) - from);
}

std::string Told(const Wire& caller) {
  const auto answers = AnswersIn(caller.received());
  return answers.empty() ? "" : Told(answers.front());
}

// --- The store and its dialect ---

namespace {

// Tables by the version under which they were published: the store's item only
// names it.
std::map<std::string, routing::RouteTablePtr>& Tables() {
  static std::map<std::string, routing::RouteTablePtr> tables;
  return tables;
}

constexpr std::string_view kEndpoints = "endpoints/";
constexpr std::string_view kOut = "out/";

std::string Rest(std::string_view text, std::string_view prefix) {
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

// A revision, then a line for each item: key, revision, `-` if it is removed,
// value.
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
std::string ZoneOut(std::string_view key) { return Rest(key, kOut); }
std::string EndpointId(std::string_view key) { return Rest(key, kEndpoints); }

kernel::Result<routing::RouteTablePtr> ReadRules(const std::string& value) {
  return Tables().at(value);
}

// `ADDRESS ZONE STATE SLOTS`
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
  return std::string(net::ValueOf(request.fields, "X-Id"));
}

kernel::Result<RequestMetadata> ReadCall(const net::HttpRequest& request) {
  RequestMetadata metadata;
  metadata.id = RequestId(request);
  metadata.key = net::ValueOf(request.fields, "X-Key");
  metadata.deadline = milliseconds(std::atoi(
      std::string(net::ValueOf(request.fields, "X-Wait-Ms")).c_str()));
  return metadata;
}

net::HttpFields EndpointFields(const net::HttpRequest& request,
                               const ForwardMetadata& metadata) {
  return {{"Host", "h"},
          {"X-Id", RequestId(request)},
          {"X-After", metadata.resume_after}};
}

AnswerMetadata ReadAnswer(const net::HttpAnswerHead& head) {
  AnswerMetadata metadata;
  metadata.id = net::ValueOf(head.fields, "X-Id");
  metadata.not_run = net::CountOf(head.fields, "X-Not-Run") > 0;
  metadata.sealed = net::CountOf(head.fields, "X-Seal") > 0;
  metadata.is_event_stream =
      net::ValueOf(head.fields, "Content-Type") == "text/event-stream";
  return metadata;
}

bool IsDirectory(std::string_view target, std::string* zone) {
  *zone = Rest(target, "/nodes/");
  return !zone->empty();
}

std::string DirectoryBody(const std::vector<std::string>& addresses,
                          milliseconds /*keep_for*/) {
  std::string body;
  for (const std::string& address : addresses) body += address + "\n";
  return body;
}

bool IsReadyPage(std::string_view target) { return target == "/ready"; }

constexpr Dialect kPlain = {
    .list_target = ListTarget,
    .watch_target = WatchTarget,
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
    .read_answer = ReadAnswer,
    .is_directory_request = IsDirectory,
    .directory_body = DirectoryBody,
    .is_readiness_request = IsReadyPage,
};
const kernel::PluginRegistrar<Dialect> kRegistrar("plain", kPlain);

bool IsOfFeed(const std::string& key, std::string_view feed) {
  return key.starts_with(kEndpoints) == (feed == "endpoints");
}

}  // namespace

Store::Store(kernel::Loop& loop)
    : server_(loop, {.on_request =
                         [this](const net::HttpCallPtr& call) { Take(call); },
                     .on_refused = {},
                     .refusal_body = {},
                     .make_buffer = {}}) {
  if (!server_.Listen("127.0.0.1:0")) std::abort();
  watch_end_ = kernel::RunEvery(loop, 2s, [this] { EndWatches(); });
}

void Store::Put(const std::string& key, const std::string& value) {
  items_[key] = {value, ++revision_, false};
  Wake();
}

void Store::Remove(const std::string& key) {
  items_[key] = {"", ++revision_, true};
  Wake();
}

void Store::SetAway(bool away) {
  away_ = away;
  Wake();
}

void Store::SetSilent(bool silent) {
  silent_ = silent;
  watches_.clear();
}

void Store::Take(const net::HttpCallPtr& call) {
  ++calls_;
  const std::string& target = call->request().target;
  const std::size_t wait = target.find("?wait=");
  last_wait_ = milliseconds(
      wait == std::string::npos
          ? 0
          : std::strtol(target.c_str() + wait + std::strlen("?wait="), nullptr,
                        10));
  if (silent_) {
    ++unanswered_;
  } else if (!TryAnswer(call)) {
    watches_.push_back(call);
  }
}

bool Store::TryAnswer(const net::HttpCallPtr& call) {
  if (call->over()) return true;
  if (away_) {
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

void Store::Wake() {
  watches_.remove_if(
      [this](const net::HttpCallPtr& call) { return TryAnswer(call); });
}

void Store::EndWatches() {
  for (const net::HttpCallPtr& call : watches_) {
    call->Answer(200, "OK", {}, std::to_string(revision_) + "\n");
  }
  watches_.clear();
}

// --- All of it ---

routing::RouteTable StandardTable() {
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

std::string RequestBytes(const Ask& ask) {
  return "POST " + ask.path + " HTTP/1.1\r\nHost: h\r\nX-Id: " + ask.id +
         "\r\nX-Key: " + ask.key +
         "\r\nX-Wait-Ms: " + std::to_string(ask.wait_ms) +
         "\r\nContent-Length: " + std::to_string(ask.body.size()) + "\r\n\r\n" +
         ask.body;
}

World::World() : loop(kernel::CreateLoop()), store(loop) {
  // As in the program: a connection that ended is written to.
  std::signal(SIGPIPE, SIG_IGN);
  loop.clock = {MovedNow, &ahead_};
  wake_ = kernel::RunEvery(loop, 2ms, [] {});
}

void World::Publish(routing::RouteTable table) {
  table.version = ++version_;
  routing::IndexTable(table);
  const std::string name = std::to_string(version_);
  Tables()[name] = std::make_shared<routing::RouteTable>(std::move(table));
  store.Put("rules", name);
}

Endpoint& World::AddEndpoint(const std::string& id, Endpoint::Handler handler,
                             const std::string& zone) {
  auto& endpoint = endpoints_[id];
  endpoint = std::make_unique<Endpoint>(loop, std::move(handler));
  Register(id, endpoint->address(), zone);
  return *endpoint;
}

void World::Register(const std::string& id, const std::string& address,
                     const std::string& zone, const std::string& state,
                     int slots) {
  store.Put(std::string(kEndpoints) + id,
            address + " " + zone + " " + state + " " + std::to_string(slots));
}

ProxyOptions World::OptionsOf(const std::string& node) const {
  ProxyOptions options;
  options.node = node;
  options.zone = "a";
  options.dialect = "plain";
  options.store = store.address();
  options.retries = {0.2, 50, 10s};
  return options;
}

Proxy& World::Start(const ProxyOptions& options) {
  auto started = StartProxy(loop, options);
  if (!started) std::abort();
  proxies_.push_back(std::move(started).value());
  return *proxies_.back();
}

Proxy& World::StartReady() {
  Publish();
  Proxy& proxy = Start(OptionsOf("n1"));
  UntilKnown(proxy, endpoints_.size());
  return proxy;
}

void World::Kill(Proxy& proxy) {
  proxies_.remove_if(
      [&proxy](const ProxyPtr& one) { return one.get() == &proxy; });
}

void World::Until(const std::function<bool()>& done) {
  const auto limit = std::chrono::steady_clock::now() + 20s;
  while (!done()) {
    if (std::chrono::steady_clock::now() > limit) {
      FAIL("what the test waits for never came");
    }
    event_base_loop(loop.base.get(), EVLOOP_ONCE);
  }
}

void World::Turn(std::chrono::milliseconds time) {
  const auto end = std::chrono::steady_clock::now() + time;
  Until([end] { return std::chrono::steady_clock::now() >= end; });
}

void World::UntilKnown(Proxy& proxy, std::size_t endpoints) {
  Until([&proxy, endpoints] {
    const ProxyView view = ViewOf(proxy);
    return view.ready_now && view.endpoints == endpoints;
  });
}

void World::UntilRules(Proxy& proxy) {
  Until([&] { return ViewOf(proxy).rules_version == version_; });
}

Wire& World::Connect(const std::string& address, int receive_buffer) {
  wires_.push_back(std::make_unique<Wire>(loop, address, receive_buffer));
  return *wires_.back();
}

Wire& World::Send(Proxy& proxy, const Ask& ask) {
  Wire& caller = Connect(ViewOf(proxy).callers);
  caller.Send(RequestBytes(ask));
  return caller;
}

Answer World::Get(Proxy& proxy, const Ask& ask) {
  Wire& caller = Send(proxy, ask);
  Until([&caller] { return !Told(caller).empty() || caller.ended(); });
  const auto answers = AnswersIn(caller.received());
  caller.Close();
  return answers.empty() ? Answer{} : answers.front();
}

std::string World::AskFor(Proxy& proxy, const Ask& ask) {
  return Told(Get(proxy, ask));
}

}  // namespace egretladder::proxy::test
