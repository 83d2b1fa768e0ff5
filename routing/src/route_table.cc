#include "egretladder/routing/route_table.h"

#include <algorithm>
#include <cctype>
#include <set>

namespace egretladder::routing {
namespace {

std::string HostKey(std::string_view host) {
  std::string key(host.substr(0, host.find(':')));
  std::transform(key.begin(), key.end(), key.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return key;
}

std::pair<Tier, Tier> TiersOf(const Route& route,
                              const ClientAccount* account) {
  const bool own = account != nullptr && account->tier.has_value();
  return {route.tier, own ? *account->tier : route.tier};
}

// By distinct tiers, since a table may hold thousands of routes and hundreds of
// accounts.
void NumberRanks(RouteTable& table) {
  std::set<Tier> of_routes;
  for (const Route& route : table.routes) of_routes.insert(route.tier);
  std::set<Tier> of_accounts;
  for (const ClientAccount& account : table.accounts) {
    if (account.tier.has_value()) of_accounts.insert(*account.tier);
  }
  table.ranks.clear();
  for (const Tier route : of_routes) {
    table.ranks[{route, route}] = 0;
    for (const Tier account : of_accounts) table.ranks[{route, account}] = 0;
  }
  Tier next = 0;
  for (auto& [tiers, rank] : table.ranks) rank = next++;
}

}  // namespace

void IndexTable(RouteTable& table) {
  table.routes_of_host.clear();
  table.service_of_name.clear();
  for (std::uint32_t i = 0; i < table.routes.size(); ++i) {
    table.routes_of_host[HostKey(table.routes[i].host)].push_back(i);
  }
  for (auto& [host, routes] : table.routes_of_host) {
    std::stable_sort(routes.begin(), routes.end(),
                     [&table](std::uint32_t left, std::uint32_t right) {
                       return table.routes[left].prefix.size() >
                              table.routes[right].prefix.size();
                     });
  }
  NumberRanks(table);
  for (std::uint32_t i = 0; i < table.services.size(); ++i) {
    table.service_of_name.emplace(table.services[i].name, i);
  }
}

const Route* FindRoute(const RouteTable& table, std::string_view host,
                       std::string_view target) {
  const auto at = table.routes_of_host.find(HostKey(host));
  if (at == table.routes_of_host.end()) return nullptr;
  const std::string_view path = target.substr(0, target.find('?'));
  for (const std::uint32_t idx : at->second) {
    if (path.starts_with(table.routes[idx].prefix)) return &table.routes[idx];
  }
  return nullptr;
}

const ClientAccount* FindAccount(const RouteTable& table,
                                 const std::string& key) {
  const auto at = table.account_by_key.find(key);
  return at == table.account_by_key.end() ? nullptr
                                          : &table.accounts[at->second];
}

Tier FindRank(const RouteTable& table, const Route& route,
              const ClientAccount* account) {
  const auto at = table.ranks.find(TiersOf(route, account));
  return at == table.ranks.end() ? route.tier : at->second;
}

ServiceHandle PickTarget(const Route& route, double draw) {
  std::uint64_t sum = 0;
  for (const WeightedTarget& target : route.targets) sum += target.weight;
  double left = draw * static_cast<double>(sum);
  for (const WeightedTarget& target : route.targets) {
    left -= target.weight;
    if (left < 0) return target.service;
  }
  return route.targets.back().service;
}

bool IsRouteRepeatable(const Route& route) {
  return route.kind == RouteKind::kIdempotent ||
         (route.kind == RouteKind::kStream && route.resumable);
}

}  // namespace egretladder::routing
