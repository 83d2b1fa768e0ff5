#include <algorithm>
#include <array>

#include "egretladder/kernel/log.h"
#include "egretladder/node/limits.h"
#include "http_headers_p.h"

namespace egretladder::gateway {
namespace {

constexpr std::array<const char*, 5> kOwnOfRequests = {
    kRequestIdHeader, "X-Priority", "X-Attempt", kLaneHeader, kForwardedHeader};

constexpr std::array<const char*, 3> kOwnOfAnswers = {
    kRequestIdHeader, kNotRunHeader, kLeavingHeader};

constexpr std::string_view kYes = "yes";
constexpr int kTooManyRequests = 429;

template <typename Names>
bool Contains(const Names& names, const char* name) {
  return std::any_of(names.begin(), names.end(), [name](const char* one) {
    return net::IsSameFieldName(one, name);
  });
}

// `Host` is this node's, not the endpoint's.
bool IsOfThisHop(const char* name) {
  return net::IsHopByHopField(name) || net::IsSameFieldName(name, "Host");
}

void WarnUnclear(const char* field) {
  kernel::Log(kernel::LogPart::kEndpoint, kernel::LogLevel::kWarning,
              std::string("An endpoint's ") + field + " can't be read.");
}

}  // namespace

HttpHeaders RequestHeadersToPass(const net::HttpFields& headers) {
  HttpHeaders passed;
  for (const net::HttpField& field : headers) {
    if (IsOfThisHop(field.name.c_str()) ||
        Contains(kOwnOfRequests, field.name.c_str())) {
      continue;
    }
    passed.push_back(field);
  }
  return passed;
}

HttpHeaders AnswerHeadersToPass(const evkeyvalq* headers) {
  HttpHeaders passed;
  for (const evkeyval* at = headers->tqh_first; at != nullptr;
       at = at->next.tqe_next) {
    if (IsOfThisHop(at->key) || Contains(kOwnOfAnswers, at->key)) continue;
    passed.push_back({at->key, at->value});
  }
  return passed;
}

std::string_view HeaderOf(const evkeyvalq* headers, const char* name) {
  const char* value = evhttp_find_header(headers, name);
  return value == nullptr ? std::string_view() : value;
}

bool IsRefusal(const ExchangeHead& head) {
  return net::IsRefusalStatus(head.status) ||
         !HeaderOf(head.headers, kNotRunHeader).empty();
}

node::EndpointNotice NoticeOf(const ExchangeHead& head) {
  node::EndpointNotice notice;
  const std::string_view leaving = HeaderOf(head.headers, kLeavingHeader);
  notice.leaving = leaving == kYes;
  if (!leaving.empty() && !notice.leaving) WarnUnclear(kLeavingHeader);
  const bool turns_away =
      head.status == HTTP_SERVUNAVAIL || head.status == kTooManyRequests;
  const std::string_view delay = HeaderOf(head.headers, kRetryAfterHeader);
  if (!turns_away || delay.empty()) return notice;
  const auto backoff = net::ParseDelay(delay, node::kMaxEndpointBackoff);
  if (!backoff) WarnUnclear(kRetryAfterHeader);
  notice.backoff = backoff.value_or(std::chrono::milliseconds(0));
  return notice;
}

}  // namespace egretladder::gateway
