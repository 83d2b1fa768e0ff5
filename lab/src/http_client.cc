#include <event2/buffer.h>

#include <utility>

#include "http_client_p.h"

namespace egretladder::lab {
namespace {

constexpr int kOk = 200;

std::string Name(const Address& address) {
  return address.host + ":" + std::to_string(address.port);
}

std::string Drain(evhttp_request* request) {
  evbuffer* input = evhttp_request_get_input_buffer(request);
  std::string text(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, text.data(), text.size());
  return text;
}

}  // namespace

struct HttpClient::Exchange {
  HttpClient& client;
  std::uint64_t number;
  std::string address;
  HttpCall call;
  Connection connection;
  std::string body;
};

HttpClient::HttpClient(kernel::Loop& loop, std::size_t max_connections,
                       std::chrono::seconds timeout)
    : loop_(loop), max_connections_(max_connections), timeout_(timeout) {}

HttpClient::~HttpClient() = default;

Connection HttpClient::Take(const Address& address) {
  std::vector<Connection>& idle = idle_[Name(address)];
  if (!idle.empty()) {
    Connection connection = std::move(idle.back());
    idle.pop_back();
    return connection;
  }
  if (connections_ >= max_connections_) return nullptr;
  Connection connection(evhttp_connection_base_new(
      loop_.base.get(), nullptr, address.host.c_str(), address.port));
  evhttp_connection_set_timeout(connection.get(),
                                static_cast<int>(timeout_.count()));
  ++connections_;
  return connection;
}

bool HttpClient::Send(const Address& address, HttpCall call) {
  Connection connection = Take(address);
  if (connection == nullptr) return false;
  const std::uint64_t number = next_exchange_++;
  auto exchange = std::make_unique<Exchange>(Exchange{*this,
                                                      number,
                                                      Name(address),
                                                      std::move(call),
                                                      std::move(connection),
                                                      {}});
  evhttp_request* request = evhttp_request_new(OnDone, exchange.get());
  evhttp_request_set_chunked_cb(request, OnChunk);
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Host", exchange->address.c_str());
  for (const HttpHeader& header : exchange->call.headers) {
    evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
  }
  const std::string& body = exchange->call.body;
  evbuffer_add(evhttp_request_get_output_buffer(request), body.data(),
               body.size());
  evhttp_connection* raw = exchange->connection.get();
  const evhttp_cmd_type method = exchange->call.method;
  const std::string path = exchange->call.path;
  exchanges_[number] = std::move(exchange);
  // From here on the callback is called whatever happens, also at once.
  evhttp_make_request(raw, request, method, path.c_str());
  return true;
}

void HttpClient::OnChunk(evhttp_request* request, void* arg) {
  auto& exchange = *static_cast<Exchange*>(arg);
  const std::string text = Drain(request);
  if (evhttp_request_get_response_code(request) == kOk &&
      exchange.call.on_chunk) {
    exchange.call.on_chunk(text);
  } else {
    exchange.body += text;
  }
}

void HttpClient::OnDone(evhttp_request* request, void* arg) {
  auto& exchange = *static_cast<Exchange*>(arg);
  HttpClient& client = exchange.client;
  HttpAnswer answer;
  if (request != nullptr) {
    answer.status = evhttp_request_get_response_code(request);
    answer.complete = answer.status != 0;
    exchange.body += Drain(request);
  }
  answer.body = std::move(exchange.body);
  const auto on_done = std::move(exchange.call.on_done);
  client.idle_[exchange.address].push_back(std::move(exchange.connection));
  client.exchanges_.erase(exchange.number);
  on_done(answer);
}

}  // namespace egretladder::lab
