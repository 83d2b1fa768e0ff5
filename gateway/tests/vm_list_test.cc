#include <CppUTest/TestHarness.h>

#include <string>

#include "harness.h"
#include "http_headers_p.h"

namespace et = egretladder::gateway::testing;

TEST_GROUP(VmList) {
  et::OneNode one_;
  std::size_t whole_ = 0;      ///< Lists sent whole.
  std::size_t unchanged_ = 0;  ///< Answers that nothing changed.

  /// Serves a VM list that shows the endpoint as leaving, with a tag.
  void ServeTagged() {
    one_.platform.handler = [this](evhttp_request* request) {
      const std::string uri = evhttp_request_get_uri(request);
      if (uri != "/vms") return;
      const auto* headers = evhttp_request_get_input_headers(request);
      evhttp_add_header(evhttp_request_get_output_headers(request), "ETag",
                        "\"7\"");
      if (egretladder::gateway::HeaderOf(headers, "If-None-Match") == "\"7\"") {
        ++unchanged_;
        evhttp_send_reply(request, HTTP_NOTMODIFIED, nullptr, nullptr);
        return;
      }
      ++whole_;
      evbuffer* body = evbuffer_new();
      evbuffer_add_printf(body, R"([{"name":"e1","leaving":true}])");
      evhttp_send_reply(request, HTTP_OK, nullptr, body);
      evbuffer_free(body);
    };
  }
};

// Without the tag in its next read a node would get the whole list each second.
TEST(VmList, IsSentWholeOnlyWhenItChanged) {
  ServeTagged();
  CHECK_TRUE(et::RunUntil(one_.loop, [this] { return unchanged_ >= 2; }));
  CHECK_EQUAL(1U, whole_);
}
