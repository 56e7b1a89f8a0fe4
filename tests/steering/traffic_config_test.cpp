#include "citronpulley/steering/route_index.h"

#include <CppUTest/TestHarness.h>

using namespace citronpulley;

namespace {

route_rule MakeRoute(std::string aPrefix, std::string aService)
{
  route_rule route;
  route.mName = "r" + aPrefix;
  route.mHost = "shop.example";
  route.mPrefix = std::move(aPrefix);
  route.mServices = { { service_name(std::move(aService)), 1 } };
  return route;
}

traffic_config MakeConfig()
{
  traffic_config config;
  config.mVersion = 1;
  config.mServices = { { service_name("stock") }, { service_name("orders") } };
  config.mRoutes = { MakeRoute("/a/", "stock"), MakeRoute("/a/b/", "orders") };
  return config;
}

} // namespace

TEST_GROUP(traffic_config){};

/**
 * Guards against a shorter prefix hiding a longer one, and against matching part of a path segment.
 */
TEST(traffic_config, longest_prefix_of_the_host_wins)
{
  const route_index index(MakeConfig());
  STRCMP_EQUAL("r/a/", index.FindRoute("shop.example", "/a/x")->mName.c_str());
  STRCMP_EQUAL("r/a/b/", index.FindRoute("shop.example", "/a/b/x")->mName.c_str());
  STRCMP_EQUAL("r/a/", index.FindRoute("shop.example", "/a/bc")->mName.c_str());
  POINTERS_EQUAL(nullptr, index.FindRoute("shop.example", "/ab/"));
  POINTERS_EQUAL(nullptr, index.FindRoute("other.example", "/a/x"));
}

/** Guards against an index whose string views refer to the texts of another configuration. */
TEST(traffic_config, finds_the_workspace_of_a_key)
{
  traffic_config config = MakeConfig();
  workspace_rule workspace;
  workspace.mName = workspace_name("boats");
  workspace.mKeys = { "k1", "k2" };
  config.mWorkspaces = { workspace };
  const route_index index(config);
  STRCMP_EQUAL("boats", index.FindWorkspace("k2")->mName.mValue.c_str());
  POINTERS_EQUAL(nullptr, index.FindWorkspace("k3"));
}

TEST(traffic_config, accepts_a_valid_configuration)
{
  CHECK_FALSE(FindFault(MakeConfig()).has_value());
}

/** Guards against accepting an invalid configuration. */
TEST(traffic_config, names_each_fault)
{
  traffic_config unknownService = MakeConfig();
  unknownService.mRoutes[0].mServices[0].mService = service_name("nothing");
  CHECK(FindFault(unknownService).has_value());

  traffic_config noWeight = MakeConfig();
  noWeight.mRoutes[0].mServices[0].mWeight = 0;
  CHECK(FindFault(noWeight).has_value());

  traffic_config negativeWeight = MakeConfig();
  negativeWeight.mRoutes[0].mServices.push_back({ service_name("orders"), -0.5 });
  CHECK(FindFault(negativeWeight).has_value());

  traffic_config longTimeout = MakeConfig();
  longTimeout.mRoutes[0].mTimeout = microseconds(600'000'001);
  CHECK(FindFault(longTimeout).has_value());

  traffic_config lateObjective = MakeConfig();
  lateObjective.mRoutes[0].mTimeout = microseconds(1'000'000);
  lateObjective.mRoutes[0].mObjective = microseconds(61'000'000);
  CHECK(FindFault(lateObjective).has_value());

  traffic_config sharedKey = MakeConfig();
  sharedKey.mWorkspaces.resize(2);
  sharedKey.mWorkspaces[0].mKeys = { "k" };
  sharedKey.mWorkspaces[1].mKeys = { "k" };
  CHECK(FindFault(sharedKey).has_value());

  traffic_config noVersion = MakeConfig();
  noVersion.mVersion = 0;
  CHECK(FindFault(noVersion).has_value());
}

/**
 * Guards against off-by-one bounds: a timeout of exactly ten minutes and an objective just under a
 * minute above the timeout are valid.
 */
TEST(traffic_config, accepts_the_bounds_themselves)
{
  traffic_config config = MakeConfig();
  config.mRoutes[0].mTimeout = microseconds(600'000'000);
  config.mRoutes[1].mTimeout = microseconds(1'000'000);
  config.mRoutes[1].mObjective = microseconds(60'999'999);
  CHECK_FALSE(FindFault(config).has_value());
}
