// The rules for requests that are routed by host and path: routes, services,
// client accounts with their keys, and limits on what callers send. A table
// holds one version of the rules and is immutable. A plug-in decodes it from
// the document that operators publish.
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

/// Priority tier or rank of a request; 0 goes first.
using Tier = std::uint8_t;

/// Whether requests of a route may be repeated.
enum class RouteKind : std::uint8_t {
  kIdempotent,  ///< May run any number of times.
  kOnce,        ///< Must run at most once per request.
  kStream,      ///< Answered with an event stream; see `Route::resumable`.
};

/// Refers to a service of one route table.
struct ServiceHandle {
  std::uint32_t idx = 0;
};

/// A service that gets a part of a route's traffic.
struct WeightedTarget {
  ServiceHandle service;
  std::uint32_t weight = 1;
};

/// Routing and service levels of the requests with one host and path prefix.
struct Route {
  std::string name;
  std::string host;    ///< In lower case, without port.
  std::string prefix;  ///< Begins and ends with a slash.
  RouteKind kind = RouteKind::kOnce;
  milliseconds timeout{};  ///< Longest time that a caller is kept waiting.
  milliseconds target{};   ///< Promised time to the answer or its first event.
  milliseconds gap_target{};  ///< Promised longest pause between events.
  Tier tier = 0;
  std::vector<WeightedTarget> targets;  ///< Never empty.
  std::uint32_t attempts = 1;  ///< Endpoints that one request may reach.
  bool is_public = false;      ///< Requests need no key.
  bool resumable = false;      ///< A stream can resume at another endpoint.
};

/// A group of endpoints that run the same program.
struct Service {
  std::string name;
  /// Requests a second that a cold endpoint can take from all nodes together;
  /// 0: unlimited.
  double cold_per_second = 0;
  bool generates = false;  ///< Model engines: work is counted in tokens.
};

/// A client account, to which a caller's key belongs.
struct ClientAccount {
  std::string name;
  std::optional<Tier> tier;  ///< Orders requests of equal route tier.
};

/// Limits on what a caller may send.
struct IngressLimits {
  std::size_t head_bytes = std::size_t{16} << 10U;
  std::size_t body_bytes = std::size_t{4} << 20U;
  milliseconds head_timeout{3000};
  milliseconds idle_timeout{15000};
};

/// One version of the rules.
struct RouteTable {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  std::vector<ClientAccount> accounts;
  std::unordered_map<std::string, std::uint32_t> account_by_key;
  IngressLimits limits;
  /// Whether the rules define accounts, so that callers need a key.
  bool has_accounts = false;
  std::unordered_map<std::string, std::vector<std::uint32_t>> routes_by_host;
  std::unordered_map<std::string, std::uint32_t> service_by_name;
  /// Ranks by the tiers of the route and the account.
  std::map<std::pair<Tier, Tier>, Tier> ranks;
};
/// A table that is shared by all of its readers.
using RouteTablePtr = std::shared_ptr<const RouteTable>;

/// Builds the table's indexes. Called once, after its rows are complete.
void IndexTable(RouteTable& table);

/// Returns the route of `host` with the longest prefix of `target`; null: none.
/// The port of `host` and the query of `target` are ignored. Takes time linear
/// in the number of the host's routes.
const Route* FindRoute(const RouteTable& table, std::string_view host,
                       std::string_view target);

/// Returns the account to which `key` belongs; null: none.
const ClientAccount* FindAccount(const RouteTable& table,
                                 const std::string& key);

/// Returns the rank of a request; 0 goes first. Requests are ordered by the
/// route's tier, and for equal tiers by the account's tier, if it has one.
///
/// When a burst exhausts the memory of an engine, the engine preempts the least
/// urgent requests. With the account's tier first, short questions of one
/// account were preempted while long prompts of another one ran on. Ranks are
/// numbered without gaps, because endpoints distinguish only a few.
Tier FindRank(const RouteTable& table, const Route& route,
              const ClientAccount* account);

/// Picks the service for one request according to the targets' weights.
/// `random_fraction` is in [0, 1).
ServiceHandle PickTarget(const Route& route, double random_fraction);

/// Returns true if a complete request of the route may run a second time.
bool IsRouteRepeatable(const Route& route);

}  // namespace egretladder::routing
