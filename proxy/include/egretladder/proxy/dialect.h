// The interface of a platform's dialect: a plug-in that translates between the
// proxy and the platform's store, headers and pages. Only the dialect knows the
// platform's own names.
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
#include "egretladder/routing/endpoint_notices.h"
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
  /// Items that name no key, and are left out, or that have no usable revision,
  /// and are taken to be as new as the page.
  std::size_t odd_items = 0;
};

/// Changes as the store answers them.
struct StoreChanges : routing::Changes {
  std::size_t odd_items = 0;  ///< As in `StorePage`.
};

/// The era of the store that one of its answers states.
struct StoreEraStatement {
  routing::StoreEra era = 0;  ///< 0: none, or an invalid one.
  bool is_invalid = false;
};

/// Metadata of a caller's request, from its headers.
struct RequestMetadata {
  std::string id;   ///< Set by the caller; for logs and to match answers.
  std::string key;  ///< Key of the client account; empty: none.
  std::optional<milliseconds> deadline;  ///< From the arrival.
  std::vector<routing::PromptPart> parts;
  std::uint32_t prompt_tokens = 0;
  std::string last_event_id;  ///< The caller resumes a stream after this event.
  /// Id of the request that brought the first event of a stream which the
  /// caller resumes; empty: not stated.
  std::string resumes;
};

/// Metadata that the proxy adds when it forwards a request to an endpoint.
struct ForwardMetadata {
  std::string endpoint_id;   ///< Any other process must refuse the request.
  std::string account;       ///< Name of the client account; empty: none.
  milliseconds time_left{};  ///< Until the caller stops waiting.
  std::optional<std::uint8_t> priority;
  std::string resume_after;  ///< Id of the last event that the caller got.
  /// Weights that made that event. An endpoint with others must refuse.
  routing::Weights weights;
};

/// Metadata of an endpoint's answer, from its status and headers.
struct AnswerMetadata {
  std::string id;        ///< Id of the answered request; empty: not stated.
  bool not_run = false;  ///< The endpoint certainly did not run the request.
  bool sealed = false;   ///< Signed by the endpoint, as every success must be.
  bool encoded = false;  ///< The body has a content encoding, so its bytes are
                         ///< not the endpoint's own.
  bool is_event_stream = false;
  /// Requests per second that the endpoint accepts from all nodes together;
  /// unset: the answer states no limit.
  std::optional<double> limit;
  bool is_limit_invalid = false;  ///< The stated limit can't be parsed.
  /// Requests that the endpoint can turn away in a second without falling over;
  /// unset: the answer doesn't state that it is brittle.
  std::optional<std::uint32_t> brittle_tolerance;
  bool is_brittle_invalid = false;  ///< The tolerance can't be parsed.
  std::string instance_id;   ///< Endpoint that answered; empty: not stated.
  routing::Weights weights;  ///< Of the endpoint.
  routing::EndpointNotice notice;
  bool is_leaving_invalid = false;  ///< Whether it leaves can't be parsed.
  bool is_backoff_invalid = false;  ///< The stated backoff can't be parsed.
};

/// Which parts of prompts an endpoint keeps.
struct KeptParts {
  std::uint64_t started_unix_ms = 0;  ///< Of its process; 0: not stated.
  std::vector<std::uint64_t> parts;   ///< As in `routing::PromptPart`.
};

/// The functions of one platform's dialect.
struct Dialect {
  static constexpr std::string_view kKind = "dialect";

  // --- The store ---

  /// Request target that reads one page of a feed, beginning after the key
  /// `after`; empty: the first page.
  std::string (*list_target)(routing::Feed feed, std::string_view after);
  /// Request target that waits up to `wait` for changes after `revision`.
  std::string (*watch_target)(routing::Feed feed, std::uint64_t revision,
                              milliseconds wait);
  /// Parses the era that any answer of the store states.
  StoreEraStatement (*read_store_era)(const net::HttpAnswerHead& head);
  /// Parses the answer to a list request.
  kernel::Result<StorePage> (*read_page)(const std::string& body);
  /// Parses the answer to a watch request.
  kernel::Result<StoreChanges> (*read_changes)(routing::Feed feed,
                                               const std::string& body);
  /// Returns true for the key of the item that holds the route table.
  bool (*is_rules_key)(std::string_view key);
  /// Returns the zone that the item with this key takes out of service; empty:
  /// none.
  std::string (*zone_out)(std::string_view key);
  /// Parses the route table. Any invalid part fails the whole table.
  kernel::Result<routing::RouteTablePtr> (*read_rules)(
      const std::string& value);
  /// Returns the endpoint id that a key contains.
  std::string (*endpoint_id)(std::string_view key);
  /// Parses an endpoint's entry.
  kernel::Result<routing::EndpointEntry> (*read_endpoint)(
      const routing::Item& item);

  // --- Requests and answers ---

  /// Returns the request id that the caller set; empty if it has none. The
  /// request need not be valid.
  std::string (*request_id)(const net::HttpRequest& request);
  /// Parses the metadata of a request. Fails if the request must not be
  /// forwarded to any endpoint.
  kernel::Result<RequestMetadata> (*read_call)(const net::HttpRequest& request);
  /// Returns the header fields of the forwarded request.
  net::HttpFields (*endpoint_fields)(const net::HttpRequest& request,
                                     const ForwardMetadata& metadata);
  /// Returns the header fields of a request that is handed over to a peer:
  /// those of the caller, but with `time_left`, and with `resume_after` unless
  /// that is empty.
  net::HttpFields (*peer_fields)(const net::HttpRequest& request,
                                 milliseconds time_left,
                                 const std::string& resume_after);
  /// Parses the metadata of an endpoint's answer.
  AnswerMetadata (*read_answer)(const net::HttpAnswerHead& head);
  /// Name of the field by which an event states that other weights made it
  /// than the one before.
  std::string_view (*weights_field)();
  /// Parses the value of that field.
  routing::Weights (*read_weights)(std::string_view value);
  /// Request target at which an endpoint reports about its process.
  std::string (*report_target)();
  /// Parses the start of the process in Unix milliseconds from that report; 0:
  /// not stated.
  std::uint64_t (*read_process_start)(const std::string& body);

  /// Request target at which an endpoint lists the parts of prompts it keeps.
  std::string (*kept_parts_target)();
  /// Parses that list. Returns nothing if it can't be read.
  std::optional<KeptParts> (*read_kept_parts)(const std::string& body);

  // --- Pages of the node ---

  /// Returns true for a request for the addresses of nodes, and stores the
  /// caller's zone in `zone`.
  bool (*is_directory_request)(std::string_view target, std::string* zone);
  /// Formats the directory page. Callers may keep the addresses for `keep_for`.
  std::string (*directory_body)(const std::vector<std::string>& addresses,
                                milliseconds keep_for);
  /// Returns true for a request for the node's readiness.
  bool (*is_readiness_request)(std::string_view target);
};

}  // namespace egretladder::proxy
