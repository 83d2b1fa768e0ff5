#include "egretladder/routing/route_table.h"

#include <CppUTest/TestHarness.h>

namespace er = egretladder::routing;

namespace {

er::RouteTable MakeTable() {
  er::RouteTable table;
  table.services = {{.name = "engines"}, {.name = "orders"}};
  er::Route quick{.name = "quick", .host = "shop.example", .prefix = "/q/"};
  quick.tier = 0;
  quick.targets = {{{0}, 90}, {{1}, 10}};
  er::Route deep{.name = "deep", .host = "shop.example", .prefix = "/q/deep/"};
  deep.tier = 2;
  deep.targets = {{{1}, 1}};
  table.routes = {quick, deep};
  table.accounts = {{.name = "a", .tier = 1},
                    {.name = "b", .tier = {}},
                    {.name = "c", .tier = 0}};
  table.account_by_key = {{"key-a", 0}, {"key-b", 1}, {"key-c", 2}};
  table.has_accounts = true;
  er::IndexTable(table);
  return table;
}

}  // namespace

TEST_GROUP(RouteTable){};

TEST(RouteTable, TakesTheLongestPrefixOfTheHost) {
  const er::RouteTable table = MakeTable();
  STRCMP_EQUAL(
      "quick",
      er::FindRoute(table, "Shop.Example:80", "/q/x?y=/q/deep/")->name.c_str());
  STRCMP_EQUAL("deep",
               er::FindRoute(table, "shop.example", "/q/deep/x")->name.c_str());
  POINTERS_EQUAL(nullptr, er::FindRoute(table, "shop.example", "/q"));
  POINTERS_EQUAL(nullptr, er::FindRoute(table, "other.example", "/q/x"));
}

TEST(RouteTable, SplitsByWeight) {
  const er::RouteTable table = MakeTable();
  LONGS_EQUAL(0, er::PickTarget(table.routes[0], 0.0).idx);
  LONGS_EQUAL(0, er::PickTarget(table.routes[0], 0.89).idx);
  LONGS_EQUAL(1, er::PickTarget(table.routes[0], 0.91).idx);
  LONGS_EQUAL(1, er::PickTarget(table.routes[0], 0.999).idx);
}

// A burst of long prompts fills the engines' memory. By the account's tier
// first, buyers' short questions are put back while another account's prompts
// run on.
TEST(RouteTable, RanksByTheRoutesTierAndThenByTheAccounts) {
  const er::RouteTable table = MakeTable();
  const er::ClientAccount* first = er::FindAccount(table, "key-c");
  const er::ClientAccount* second = er::FindAccount(table, "key-a");
  const er::Route& quick = table.routes[0];
  const er::Route& deep = table.routes[1];
  CHECK(er::FindRank(table, quick, first) < er::FindRank(table, quick, second));
  CHECK(er::FindRank(table, quick, second) < er::FindRank(table, deep, first));
  CHECK(er::FindRank(table, deep, first) < er::FindRank(table, deep, second));
  // An account without a tier of its own counts as its route's.
  const er::ClientAccount* without = er::FindAccount(table, "key-b");
  CHECK(er::FindRank(table, quick, without) <
        er::FindRank(table, quick, second));
  CHECK(er::FindRank(table, deep, without) < 10);
}

TEST(RouteTable, KnowsWhatMayRunTwice) {
  er::Route route{.kind = er::RouteKind::kOnce};
  CHECK_FALSE(er::IsRouteRepeatable(route));
  route.kind = er::RouteKind::kStream;
  CHECK_FALSE(er::IsRouteRepeatable(route));
  route.resumable = true;
  CHECK(er::IsRouteRepeatable(route));
}
