#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

#include <charconv>
#include <utility>

#include "egretladder/lab/config.h"
#include "http_p.h"

namespace egretladder::lab {
namespace {

struct BufferFree {
  void operator()(evbuffer* buffer) const { evbuffer_free(buffer); }
};
using Buffer = std::unique_ptr<evbuffer, BufferFree>;

void OnRequest(evhttp_request* request, void* arg) {
  (*static_cast<RequestHandler*>(arg))(request);
}

bool IsLoopbackHost(const std::string& host) {
  in_addr v4{};
  if (inet_pton(AF_INET, host.c_str(), &v4) == 1) {
    constexpr std::uint32_t kLoopbackNet = 127;
    return ntohl(v4.s_addr) >> 24U == kLoopbackNet;
  }
  return host == "::1";
}

kernel::Error Refuse(std::string_view text, const char* why) {
  return kernel::MakeError(kernel::ErrorCode::kInvalidInput, "read address",
                           std::string(text), why);
}

Buffer BufferWith(std::string_view text) {
  Buffer buffer(evbuffer_new());
  evbuffer_add(buffer.get(), text.data(), text.size());
  return buffer;
}

}  // namespace

kernel::Result<Address> ParseAddress(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return Refuse(text, "expected IP:port");
  std::string host(text.substr(0, colon));
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  in6_addr parsed{};
  if (inet_pton(AF_INET, host.c_str(), &parsed) != 1 &&
      inet_pton(AF_INET6, host.c_str(), &parsed) != 1) {
    return Refuse(text, "expected an IP number");
  }
  const std::string_view digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, code] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (code != std::errc() || end != digits.data() + digits.size()) {
    return Refuse(text, "expected a port up to 65535");
  }
  return Address{std::move(host), port};
}

kernel::Result<Address> ParseLoopback(std::string_view text) {
  BOOST_OUTCOME_TRY(address, ParseAddress(text));
  if (IsLoopbackHost(address.host)) return address;
  return Refuse(text, "only loopback addresses are accepted");
}

kernel::Result<HttpServer> Listen(kernel::Loop& loop, const Address& address,
                                  RequestHandler handler) {
  HttpServer made;
  made.handler = std::make_unique<RequestHandler>(std::move(handler));
  made.server.reset(evhttp_new(loop.base.get()));
  evhttp* server = made.server.get();
  evhttp_set_max_body_size(server, static_cast<ev_ssize_t>(kMaxBodyBytes));
  evhttp_set_timeout(server, static_cast<int>(kHttpTimeout.count()));
  evhttp_set_gencb(server, OnRequest, made.handler.get());
  if (evhttp_bind_socket(server, address.host.c_str(), address.port) != 0) {
    return kernel::MakeError(kernel::ErrorCode::kUnavailable, "listen",
                             address.host + ":" + std::to_string(address.port),
                             "the address can't be bound");
  }
  return made;
}

std::string BodyOf(evhttp_request* request) {
  evbuffer* input = evhttp_request_get_input_buffer(request);
  std::string body(evbuffer_get_length(input), '\0');
  evbuffer_copyout(input, body.data(), body.size());
  return body;
}

std::string HeaderOf(evhttp_request* request, const char* name) {
  const char* value =
      evhttp_find_header(evhttp_request_get_input_headers(request), name);
  return value == nullptr ? "" : value;
}

std::string PathOf(evhttp_request* request) {
  const std::string uri = evhttp_request_get_uri(request);
  return uri.substr(0, uri.find('?'));
}

std::string QueryOf(evhttp_request* request, const char* key) {
  const std::string uri = evhttp_request_get_uri(request);
  const auto mark = uri.find('?');
  if (mark == std::string::npos) return "";
  evkeyvalq parameters{};
  if (evhttp_parse_query_str(uri.c_str() + mark + 1, &parameters) != 0) {
    return "";
  }
  const char* value = evhttp_find_header(&parameters, key);
  std::string found = value == nullptr ? "" : value;
  evhttp_clear_headers(&parameters);
  return found;
}

void Reply(evhttp_request* request, int status, const char* content_type,
           std::string_view body) {
  evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type",
                    content_type);
  evhttp_send_reply(request, status, nullptr, BufferWith(body).get());
}

void ReplyJson(evhttp_request* request, int status, std::string_view body) {
  Reply(request, status, "application/json", body);
}

void ReplyChunk(evhttp_request* request, std::string_view text) {
  evhttp_send_reply_chunk(request, BufferWith(text).get());
}

}  // namespace egretladder::lab
