// What one node adds: an endpoint that answers at once or streams at a steady
// pace, and a caller that measures it directly or through a node. Both are
// cheap, so that the node is what is measured. See scripts/bench_one_node.
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

#include "egretladder/kernel/loop.h"

namespace {

namespace ek = egretladder::kernel;
using Clock = std::chrono::steady_clock;

constexpr std::string_view kWholeBody =
    R"({"id":"x","object":"chat.completion","model":"m","choices":[{"index":0,)"
    R"("message":{"role":"assistant","content":"ok"}}],)"
    R"("usage":{"completion_tokens":1}})";

std::int64_t NowNs() { return Clock::now().time_since_epoch().count(); }

sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

void SetNoDelay(bufferevent* buffer) {
  const int on = 1;
  setsockopt(bufferevent_getfd(buffer), IPPROTO_TCP, TCP_NODELAY, &on,
             sizeof(on));
}

std::string Whole(std::string_view body) {
  return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
         "Content-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

std::string Chunk(const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
  return size + text + "\r\n";
}

// ---------------------------------------------------------------- endpoint

struct Stream {
  bufferevent* buffer = nullptr;
  std::size_t left = 0;
  ek::EventWatcher pace;
};

struct EndpointServer {
  ek::Loop loop = ek::CreateLoop();
  std::size_t events = 0;
  std::chrono::milliseconds pace{};
  std::unordered_set<Stream*> streams;
};

void Put(bufferevent* buffer, const std::string& text) {
  bufferevent_write(buffer, text.data(), text.size());
}

void SendEvent(EndpointServer& server, Stream* stream) {
  Put(stream->buffer,
      Chunk(
          "data: {\"at\":" + std::to_string(NowNs()) +
          ",\"choices\":[{\"index\":0,\"delta\":{\"content\":\" w\"}}]}\n\n"));
  if (--stream->left > 0) return;
  Put(stream->buffer, Chunk("data: [DONE]\n\n") + "0\r\n\r\n");
  server.streams.erase(stream);
  delete stream;
}

void StartStream(EndpointServer& server, bufferevent* buffer) {
  Put(buffer,
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
      "Transfer-Encoding: chunked\r\n\r\n");
  auto* stream = new Stream{buffer, server.events, {}};
  server.streams.insert(stream);
  stream->pace = ek::RunEvery(server.loop, server.pace,
                              [&server, stream] { SendEvent(server, stream); });
}

// Takes one whole request off the input; empty while it is not there.
std::string TakeRequest(evbuffer* input) {
  const evbuffer_ptr end = evbuffer_search(input, "\r\n\r\n", 4, nullptr);
  if (end.pos < 0) return "";
  std::string head(static_cast<std::size_t>(end.pos) + 4, '\0');
  evbuffer_copyout(input, head.data(), head.size());
  const auto length = head.find("Content-Length: ");
  const std::size_t body =
      length == std::string::npos
          ? 0
          : std::strtoul(head.c_str() + length + 16, nullptr, 10);
  if (evbuffer_get_length(input) < head.size() + body) return "";
  std::string text(head.size() + body, '\0');
  evbuffer_remove(input, text.data(), text.size());
  return text;
}

void OnEndpointRead(bufferevent* buffer, void* arg) {
  auto& server = *static_cast<EndpointServer*>(arg);
  for (;;) {
    const std::string request = TakeRequest(bufferevent_get_input(buffer));
    if (request.empty()) return;
    if (request.starts_with("GET /report")) {
      Put(buffer, Whole(R"({"boot":1,"age_ms":0,"loaded":["m"]})"));
    } else if (request.find("\"stream\":true") != std::string::npos) {
      StartStream(server, buffer);
    } else {
      Put(buffer, Whole(kWholeBody));
    }
  }
}

// NOLINTNEXTLINE(google-runtime-int)
void OnEndpointEvent(bufferevent* buffer, short /*what*/, void* arg) {
  auto& server = *static_cast<EndpointServer*>(arg);
  std::erase_if(server.streams, [buffer](Stream* stream) {
    const bool own = stream->buffer == buffer;
    if (own) delete stream;
    return own;
  });
  bufferevent_free(buffer);
}

void OnEndpointAccept(evconnlistener* /*listener*/, evutil_socket_t fd,
                      sockaddr* /*address*/, int /*size*/, void* arg) {
  auto& server = *static_cast<EndpointServer*>(arg);
  bufferevent* buffer =
      bufferevent_socket_new(server.loop.base.get(), fd, BEV_OPT_CLOSE_ON_FREE);
  SetNoDelay(buffer);
  bufferevent_setcb(buffer, OnEndpointRead, nullptr, OnEndpointEvent, arg);
  bufferevent_enable(buffer, EV_READ | EV_WRITE);
}

int RunEndpoint(std::uint16_t port, std::size_t events,
                std::chrono::milliseconds pace) {
  EndpointServer server;
  server.events = events;
  server.pace = pace;
  sockaddr_in target = Loopback(port);
  constexpr int kBacklog = 4096;
  evconnlistener* listener = evconnlistener_new_bind(
      server.loop.base.get(), OnEndpointAccept, &server,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, kBacklog,
      reinterpret_cast<sockaddr*>(&target), sizeof(target));
  if (listener == nullptr) return EXIT_FAILURE;
  ek::RunLoop(server.loop);
  evconnlistener_free(listener);
  return EXIT_SUCCESS;
}

// ------------------------------------------------------------------ caller

struct Asker {
  ek::Loop loop = ek::CreateLoop();
  std::string request;
  bool stream = false;
  std::size_t left = 0;  ///< Requests still to be sent.
  std::size_t open = 0;
  std::size_t failed = 0;
  std::size_t answered = 0;
  std::vector<double>
      samples;  ///< Microseconds: calls, or events when streaming.
};

struct Connection {
  Asker* asker = nullptr;
  std::int64_t sent = 0;
};

void SendNext(bufferevent* buffer, Connection& connection) {
  Asker& asker = *connection.asker;
  if (asker.left == 0) {
    if (--asker.open == 0) ek::StopLoop(asker.loop);
    return;
  }
  --asker.left;
  connection.sent = NowNs();
  bufferevent_write(buffer, asker.request.data(), asker.request.size());
}

constexpr double kNsPerUs = 1000;

void OnWhole(bufferevent* buffer, Connection& connection) {
  const std::string answer = TakeRequest(bufferevent_get_input(buffer));
  if (answer.empty()) return;
  Asker& asker = *connection.asker;
  asker.samples.push_back(static_cast<double>(NowNs() - connection.sent) /
                          kNsPerUs);
  ++asker.answered;
  if (answer.find(" 200 ") == std::string::npos) ++asker.failed;
  SendNext(buffer, connection);
}

void OnStream(bufferevent* buffer, Connection& connection) {
  evbuffer* input = bufferevent_get_input(buffer);
  const std::int64_t now = NowNs();
  std::size_t size = 0;
  bool done = false;
  while (char* line = evbuffer_readln(input, &size, EVBUFFER_EOL_LF)) {
    const std::string_view text(line, size);
    const auto at = text.find("{\"at\":");
    if (at != std::string_view::npos) {
      const auto sent = std::strtoll(line + at + 6, nullptr, 10);
      connection.asker->samples.push_back(static_cast<double>(now - sent) /
                                          kNsPerUs);
    }
    if (text.find("\"error\"") != std::string_view::npos) {
      ++connection.asker->failed;
      done = true;
    }
    done |= text == "0\r";
    std::free(line);
  }
  if (!done) return;
  evbuffer_drain(input, evbuffer_get_length(input));
  ++connection.asker->answered;
  SendNext(buffer, connection);
}

void OnAskerRead(bufferevent* buffer, void* arg) {
  auto& connection = *static_cast<Connection*>(arg);
  if (connection.asker->stream) {
    OnStream(buffer, connection);
  } else {
    OnWhole(buffer, connection);
  }
}

// NOLINTNEXTLINE(google-runtime-int)
void OnAskerEvent(bufferevent* buffer, short what, void* arg) {
  auto& connection = *static_cast<Connection*>(arg);
  if ((what & BEV_EVENT_CONNECTED) != 0) {
    SetNoDelay(buffer);
    SendNext(buffer, connection);
    return;
  }
  ++connection.asker->failed;
  if (--connection.asker->open == 0) ek::StopLoop(connection.asker->loop);
}

double At(const std::vector<double>& sorted, double part) {
  if (sorted.empty()) return 0;
  return sorted[static_cast<std::size_t>(
      part * static_cast<double>(sorted.size() - 1))];
}

int RunAsker(const std::string& name, std::uint16_t port,
             std::size_t connections, std::size_t requests, bool stream) {
  Asker asker;
  asker.stream = stream;
  asker.left = requests;
  asker.open = connections;
  const std::string body =
      std::string(R"({"model":"m","stream":)") + (stream ? "true" : "false") +
      R"(,"max_tokens":8,"messages":[{"role":"user","content":"hello"}]})";
  asker.request =
      "POST /v1/chat/completions HTTP/1.1\r\nHost: n\r\nX-Client-Account: "
      "abay\r\nX-Request-Class: buyer\r\nContent-Type: application/json\r\n"
      "Content-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body;
  sockaddr_in target = Loopback(port);
  std::vector<std::unique_ptr<Connection>> all;
  const std::int64_t start = NowNs();
  for (std::size_t i = 0; i < connections; ++i) {
    all.push_back(std::make_unique<Connection>(Connection{&asker, 0}));
    bufferevent* buffer = bufferevent_socket_new(asker.loop.base.get(), -1,
                                                 BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(buffer, OnAskerRead, nullptr, OnAskerEvent,
                      all.back().get());
    bufferevent_enable(buffer, EV_READ | EV_WRITE);
    bufferevent_socket_connect(buffer, reinterpret_cast<sockaddr*>(&target),
                               sizeof(target));
  }
  ek::RunLoop(asker.loop);
  const double seconds = static_cast<double>(NowNs() - start) / 1e9;
  std::sort(asker.samples.begin(), asker.samples.end());
  std::printf(
      "%-8s %-6s %5zu open %8zu answered %5zu failed %9.0f/s  p50 %8.0f us  "
      "p99 %8.0f us\n",
      name.c_str(), stream ? "stream" : "whole", connections, asker.answered,
      asker.failed,
      static_cast<double>(stream ? asker.samples.size() : asker.answered) /
          seconds,
      At(asker.samples, 0.5), At(asker.samples, 0.99));
  return EXIT_SUCCESS;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Measures one node on loopback; see scripts/bench_one_node.");
  app.require_subcommand(1);
  std::uint16_t port = 0;
  std::size_t events = 0;
  std::size_t pace_ms = 0;
  auto* endpoint = app.add_subcommand("endpoint", "answers at a steady pace");
  endpoint->add_option("--port", port)->required();
  endpoint->add_option("--events", events, "in a stream")->required();
  endpoint->add_option("--pace-ms", pace_ms, "between two")->required();
  std::string name;
  std::size_t connections = 1;
  std::size_t requests = 1;
  bool stream = false;
  auto* ask = app.add_subcommand("ask", "sends requests, a next after each");
  ask->add_option("--port", port)->required();
  ask->add_option("--name", name, "heads the line")->required();
  ask->add_option("--open", connections, "at once")->required();
  ask->add_option("--requests", requests, "in all")->required();
  ask->add_flag("--stream", stream);
  CLI11_PARSE(app, argc, argv);
  if (endpoint->parsed()) {
    return RunEndpoint(port, events, std::chrono::milliseconds(pace_ms));
  }
  return RunAsker(name, port, connections, requests, stream);
}
