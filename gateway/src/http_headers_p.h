// Which HTTP headers pass through a node.
#pragma once

#include <event2/keyvalq_struct.h>

#include <string_view>

#include "http_client_p.h"

namespace egretladder::gateway {

inline constexpr const char* kRequestIdHeader = "X-Request-Id";
inline constexpr const char* kLaneHeader = "Egretladder-Lane";
inline constexpr const char* kForwardedHeader = "Egretladder-Forwarded";
inline constexpr const char* kKeyHeader = "Idempotency-Key";
inline constexpr const char* kNotRunHeader = "X-Not-Run";

/// Headers of a request that an endpoint gets: all but those of one connection
/// (RFC 9110, 7.6.1) and those that are this node's own to set.
HttpHeaders RequestHeadersToPass(const net::HttpFields& headers);
/// Headers of an answer that the caller gets.
HttpHeaders AnswerHeadersToPass(const evkeyvalq* headers);

/// The value of a header, or an empty text.
std::string_view HeaderOf(const evkeyvalq* headers, const char* name);

}  // namespace egretladder::gateway
