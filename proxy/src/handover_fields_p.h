// The header fields of requests that nodes hand over to each other. Callers
// can't set them: they are read only from connections of other nodes.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "state_p.h"

namespace egretladder::proxy {

/// Of a request: what the node that hands it over states about it. Its value is
/// `NODE; rules=VERSION; service=NAME; tried=ID,ID`.
inline constexpr const char* kForwardedField = "Egretladder-Forwarded";
/// Of an answer: id of the endpoint that gave it.
inline constexpr const char* kEndpointField = "Egretladder-Endpoint";
/// Of an answer: why the node doesn't take the request. It has not run.
inline constexpr const char* kDeclinedField = "Egretladder-Declined";

/// Formats the value of `kForwardedField`.
std::string FormatHandoverHeader(const HandoverHeader& header);
/// Parses the value of `kForwardedField`; nullopt: it isn't one.
std::optional<HandoverHeader> ParseHandoverHeader(std::string_view value);

}  // namespace egretladder::proxy
