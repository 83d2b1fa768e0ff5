// How one platform spells what the proxy reads and writes. A plug-in
// translates; nothing else knows its names.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "egretladder/kernel/error.h"
#include "egretladder/net/http_message.h"
#include "egretladder/routing/catalog.h"
#include "egretladder/routing/endpoints.h"
#include "egretladder/routing/placement.h"
#include "egretladder/routing/route_table.h"

namespace egretladder::proxy {

using std::chrono::milliseconds;

/// One page of a list of the store.
struct StorePage {
  std::vector<routing::Item> items;
  bool has_more = false;  ///< Another page begins after the last key.
  std::uint64_t revision = 0;
};

/// What a caller's request says of itself.
struct RequestMetadata {
  std::string id;   ///< The caller's own, for logs and matching answers.
  std::string key;  ///< Of its client account; empty: none.
  std::optional<milliseconds> deadline;  ///< From now.
  std::vector<routing::PromptPart> parts;
  std::uint32_t prompt_tokens = 0;
  std::string last_event_id;  ///< It wants to go on after this event.
};

/// What the system itself says to an endpoint about a request.
struct ForwardMetadata {
  std::string endpoint_id;   ///< Another process must not run it.
  std::string account;       ///< Empty: none.
  milliseconds time_left{};  ///< Until the caller stops waiting.
  std::optional<std::uint8_t> priority;
  std::string resume_after;  ///< Last event that the caller got.
};

/// What an endpoint's answer says beside its status.
struct AnswerMetadata {
  std::string id;        ///< Of the request that it answers; empty: not said.
  bool not_run = false;  ///< The endpoint certainly did not run it.
  bool sealed = false;   ///< Signed by the endpoint, as each success is.
  bool encoded = false;  ///< The body isn't the endpoint's own bytes.
  bool is_event_stream = false;  ///< The body is a stream of events.
  /// Requests a second that the endpoint takes from all nodes together;
  /// nothing: it names no limit.
  std::optional<double> limit;
  bool is_limit_invalid = false;  ///< It names one that can't be read.
};

/// The functions of one platform.
struct Dialect {
  static constexpr std::string_view kKind = "dialect";

  // --- What is published ---

  /// Target of a read of one page of a feed, after `after` (empty: the first).
  std::string (*list_target)(routing::Feed feed, std::string_view after);
  /// Target of a read that waits for changes after `revision`.
  std::string (*watch_target)(routing::Feed feed, std::uint64_t revision,
                              milliseconds wait);
  kernel::Result<StorePage> (*read_page)(const std::string& body);
  kernel::Result<routing::Changes> (*read_changes)(routing::Feed feed,
                                                   const std::string& body);
  /// True for the item that holds the routes.
  bool (*is_rules_key)(std::string_view key);
  /// The zone that an item takes out; empty: none.
  std::string (*zone_out)(std::string_view key);
  /// Reads the routes. Fails as a whole on anything unclear.
  kernel::Result<routing::RouteTablePtr> (*read_rules)(
      const std::string& value);
  /// The endpoint's name in a key.
  std::string (*endpoint_id)(std::string_view key);
  kernel::Result<routing::EndpointEntry> (*read_endpoint)(
      const routing::Item& item);

  // --- Requests and answers ---

  /// The caller's id of a request that may be anything; empty: none.
  std::string (*request_id)(const net::HttpRequest& request);
  /// Fails on a request that no endpoint may get.
  kernel::Result<RequestMetadata> (*read_call)(const net::HttpRequest& request);
  /// The fields that an endpoint gets.
  net::HttpFields (*endpoint_fields)(const net::HttpRequest& request,
                                     const ForwardMetadata& facts);
  AnswerMetadata (*read_answer)(const net::HttpAnswerHead& head);

  // --- Callers that ask for addresses ---

  /// True for a request for addresses, and the caller's zone.
  bool (*is_directory_request)(std::string_view target, std::string* zone);
  std::string (*directory_body)(const std::vector<std::string>& addresses,
                                milliseconds keep_for);
  /// True for a request whether this node is ready.
  bool (*is_readiness_request)(std::string_view target);
};

}  // namespace egretladder::proxy
