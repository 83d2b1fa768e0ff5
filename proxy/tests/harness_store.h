// What the test environment writes to its store.
#pragma once

#include <string>
#include <string_view>

#include "egretladder/routing/route_table.h"

namespace egretladder::proxy::test {

/// Prefix of the keys of endpoints.
inline constexpr std::string_view kEndpointPrefix = "endpoints/";

/// Makes a route table known under the name that the store's item holds.
void PublishTable(const std::string& name, routing::RouteTablePtr table);

}  // namespace egretladder::proxy::test
