#include <strings.h>

#include <algorithm>
#include <array>

#include "http_headers_p.h"

namespace egretladder::gateway {
namespace {

constexpr std::array<const char*, 11> kOfOneConnection = {"Connection",
                                                          "Keep-Alive",
                                                          "Proxy-Authenticate",
                                                          "TE",
                                                          "Trailer",
                                                          "Proxy-Authorization",
                                                          "Upgrade",
                                                          "Transfer-Encoding",
                                                          "Content-Length",
                                                          "Host",
                                                          "Expect"};

constexpr std::array<const char*, 6> kOwnOfRequests = {
    kRequestIdHeader, "X-Priority",     "X-Attempt",
    kLaneHeader,      kForwardedHeader, "Proxy-Connection"};

constexpr std::array<const char*, 3> kOwnOfAnswers = {kRequestIdHeader,
                                                      kNotRunHeader, "Date"};

template <typename Names>
bool Contains(const Names& names, const char* name) {
  return std::any_of(names.begin(), names.end(), [name](const char* one) {
    return strcasecmp(one, name) == 0;
  });
}

template <typename Own>
HttpHeaders Pass(const evkeyvalq* headers, const Own& own) {
  HttpHeaders passed;
  for (const evkeyval* at = headers->tqh_first; at != nullptr;
       at = at->next.tqe_next) {
    if (Contains(kOfOneConnection, at->key) || Contains(own, at->key)) continue;
    passed.emplace_back(at->key, at->value);
  }
  return passed;
}

}  // namespace

HttpHeaders RequestHeadersToPass(const evkeyvalq* headers) {
  return Pass(headers, kOwnOfRequests);
}

HttpHeaders AnswerHeadersToPass(const evkeyvalq* headers) {
  return Pass(headers, kOwnOfAnswers);
}

std::string_view HeaderOf(const evkeyvalq* headers, const char* name) {
  const char* value = evhttp_find_header(headers, name);
  return value == nullptr ? std::string_view() : value;
}

std::string_view HeaderOf(const HttpHeaders& headers, std::string_view name) {
  for (const auto& [key, value] : headers) {
    if (key.size() == name.size() &&
        strncasecmp(key.data(), name.data(), name.size()) == 0) {
      return value;
    }
  }
  return {};
}

}  // namespace egretladder::gateway
