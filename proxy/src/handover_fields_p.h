// The header fields of requests that nodes hand over to each other. Callers
// can't set them: they are read only from connections of other nodes.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "state_p.h"

namespace egretladder::proxy {

/// Of a request: what the node that hands it over states about it. Its value is
/// `NODE; rules=VERSION; service=NAME; version=HASH; weights=NUMBER;
/// tried=ID,ID`, without the last three if there is nothing to state.
inline constexpr const char* kForwardedField = "Egretladder-Forwarded";
/// Of an answer: id of the endpoint that gave it.
inline constexpr const char* kEndpointField = "Egretladder-Endpoint";
/// Of an answer: version of the software of that endpoint, in hexadecimal.
inline constexpr const char* kEndpointVersionField =
    "Egretladder-Endpoint-Version";
/// Of an answer: nothing but its connection ended the stream of the endpoint.
inline constexpr const char* kUnframedField = "Egretladder-Unframed";
/// Of an answer: why the node doesn't take the request. It has not run.
inline constexpr const char* kDeclinedField = "Egretladder-Declined";

/// Formats a version in hexadecimal.
std::string FormatVersion(routing::SoftwareVersion version);
/// Parses a version; unknown if the text is none.
routing::SoftwareVersion ParseVersion(std::string_view text);
/// Formats the value of `kForwardedField`.
std::string FormatHandoverHeader(const HandoverHeader& header);
/// Parses the value of `kForwardedField`; nullopt: it isn't one.
std::optional<HandoverHeader> ParseHandoverHeader(std::string_view value);

}  // namespace egretladder::proxy
