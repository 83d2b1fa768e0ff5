// The rules of requests that are routed by host and path: routes, services,
// client accounts and their keys, limits of what callers send. One version,
// immutable once made; a plug-in decodes it from what operators publish.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace egretladder::routing {

using std::chrono::milliseconds;

/// Rank of a request; 0 goes first.
using Tier = std::uint8_t;

/// What may be repeated on a route.
enum class RouteKind : std::uint8_t {
  kIdempotent,  ///< May run any number of times.
  kOnce,        ///< Runs at most once for each request.
  kStream,      ///< Answers with events; see `Route::resumable`.
};

/// Refers to a service of one table.
struct ServiceHandle {
  std::uint32_t idx = 0;
};

/// One part of a route's traffic.
struct WeightedTarget {
  ServiceHandle service;
  std::uint32_t weight = 1;
};

/// Where requests of one host and path prefix go, and what they are promised.
struct Route {
  std::string name;
  std::string host;    ///< In lower case, without port.
  std::string prefix;  ///< Begins and ends with a slash.
  RouteKind kind = RouteKind::kOnce;
  milliseconds timeout{};  ///< Longest time that a caller is kept waiting.
  milliseconds target{};   ///< Promised time to the answer or its first event.
  milliseconds gap_target{};  ///< Longest pause between events in time.
  Tier tier = 0;
  std::vector<WeightedTarget> targets;  ///< Never empty.
  std::uint32_t attempts = 1;           ///< Endpoints one request may reach.
  bool is_public = false;               ///< Needs no key.
  bool resumable = false;  ///< A stream may go on at another endpoint.
};

/// A group of endpoints that run the same program.
struct Service {
  std::string name;
  /// Requests a second that a cold endpoint bears, all nodes together; 0: its
  /// cold start needs no care.
  double cold_per_second = 0;
  bool generates = false;  ///< A model engine: work is counted in tokens.
};

/// Who sends requests.
struct ClientAccount {
  std::string name;
  std::optional<Tier> tier;  ///< Goes before the route's.
};

/// What a caller may send.
struct IngressLimits {
  std::size_t head_bytes = std::size_t{16} << 10U;
  std::size_t body_bytes = std::size_t{4} << 20U;
  milliseconds head_timeout{3000};
  milliseconds idle_timeout{15000};
};

/// One version of it all.
struct RouteTable {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  std::vector<ClientAccount> accounts;
  std::unordered_map<std::string, std::uint32_t> account_by_key;
  IngressLimits limits;
  /// Whether keys are asked for at all.
  bool has_accounts = false;
  std::unordered_map<std::string, std::vector<std::uint32_t>> routes_of_host;
  std::unordered_map<std::string, std::uint32_t> service_of_name;
  /// By the route's tier and the account's.
  std::map<std::pair<Tier, Tier>, Tier> ranks;
};
/// Shared by all that read it.
using RouteTablePtr = std::shared_ptr<const RouteTable>;

/// Fills the indexes of a table whose rows are there. Call once, last.
void IndexTable(RouteTable& table);

/// The route with the longest prefix that begins `target` (a query is left
/// out), among those of `host` (a port is left out); null: none. O(routes of
/// the host).
const Route* FindRoute(const RouteTable& table, std::string_view host,
                       std::string_view target);

/// The account that holds `key`; null: none.
const ClientAccount* FindAccount(const RouteTable& table,
                                 const std::string& key);

/// The rank of a request, 0 first: the route's tier, and among requests of
/// equal tier the account's, if it has one.
///
/// Load: a burst in which engines' memory runs out, so that they put back the
/// least urgent. With the account's tier first, short questions of one account
/// were put back while long prompts of another ran on. Ranks are numbered
/// without gaps, so that the few steps that endpoints tell apart are enough.
Tier FindRank(const RouteTable& table, const Route& route,
              const ClientAccount* account);

/// The service for one request. `draw` is from 0 up to 1.
ServiceHandle PickTarget(const Route& route, double draw);

/// True when a request of the route may run a second time, whole.
bool IsRouteRepeatable(const Route& route);

}  // namespace egretladder::routing
