#include "citronpulley/steering/config_delta.h"
#include "citronpulley/steering/config_history.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <random>
#include <string>

using namespace citronpulley;

namespace {

constexpr std::uint64_t kSeed = 23;

route_rule MakeRoute(int aNumber, std::int64_t aTimeoutMs)
{
  route_rule route;
  route.mName = "r-" + std::to_string(aNumber);
  route.mHost = "host-" + std::to_string(aNumber % 7) + ".example";
  route.mPrefix = "/path-" + std::to_string(aNumber) + "/";
  route.mTimeout = microseconds(aTimeoutMs * 1'000);
  route.mServices = { { service_name("stock"), 1 } };
  return route;
}

traffic_config MakeConfig(config_version aVersion, int aRoutes)
{
  traffic_config config;
  config.mVersion = aVersion;
  config.mServices = { { service_name("stock"), 600, 16 }, { service_name("orders"), 600, 16 } };
  workspace_rule workspace;
  workspace.mName = workspace_name("boats");
  workspace.mKeys = { "k1", "k2" };
  workspace.mRate = 100;
  config.mWorkspaces = { workspace };
  for (int i = 0; i < aRoutes; ++i) {
    config.mRoutes.push_back(MakeRoute(i, 1'000));
  }
  return config;
}

/** Sorts the routes, whose order a delta does not preserve. */
traffic_config Normalise(traffic_config aConfig)
{
  std::ranges::sort(aConfig.mRoutes, {}, &route_rule::mName);
  std::ranges::sort(aConfig.mWorkspaces, {}, &workspace_rule::mName);
  return aConfig;
}

/** Receiver of deltas, which keeps the digest that it was told. */
struct receiver
{
  traffic_config mConfig;
  std::uint64_t mDigest = 0;

  /** @return size of the encoded delta, or nothing when it was refused */
  std::optional<std::size_t> Follow(config_history& aHistory)
  {
    const std::string bytes = aHistory.GetEncodedDelta(mConfig.mVersion);
    const result<config_delta> delta = DecodeConfigDelta(bytes);
    if (!delta) {
      return std::nullopt;
    }
    result<traffic_config> config = ApplyConfigDelta(mConfig, mDigest, delta.Get());
    if (!config) {
      return std::nullopt;
    }
    mConfig = std::move(config.Get());
    mDigest = delta.Get().mDigest;
    return bytes.size();
  }
};

} // namespace

TEST_GROUP(config_delta)
{
  config_history mHistory;
  receiver mReceiver;

  void CheckFollows()
  {
    CHECK(mReceiver.Follow(mHistory).has_value());
    CHECK(Normalise(mReceiver.mConfig) == Normalise(mHistory.GetCurrent()));
  }
};

/** Guards against a configuration of 2,000 routes that is sent whole to every VM at each change. */
TEST(config_delta, sends_only_what_changed)
{
  mHistory.Update(MakeConfig(1, 2'000));
  const std::optional<std::size_t> whole = mReceiver.Follow(mHistory);
  traffic_config changed = MakeConfig(3, 2'000);
  changed.mBase = 1;
  changed.mRoutes[77].mTimeout = microseconds(2'000'000);
  mHistory.Update(changed);
  const std::optional<std::size_t> delta = mReceiver.Follow(mHistory);
  CHECK(whole.has_value() && delta.has_value());
  CHECK(*delta < 400 && *delta * 20 < *whole);
  CHECK(mReceiver.mConfig == changed);
}

/** Guards against routes, keys or services that stay in force after they were removed. */
TEST(config_delta, removes_what_is_gone)
{
  mHistory.Update(MakeConfig(1, 20));
  CheckFollows();
  traffic_config reduced = MakeConfig(2, 10);
  reduced.mWorkspaces.front().mKeys = { "k2" };
  reduced.mServices.pop_back();
  mHistory.Update(reduced);
  CheckFollows();
  CHECK(mReceiver.mConfig == reduced);
}

/** Guards against a VM that missed versions and gets the changes of the last one only. */
TEST(config_delta, follows_after_any_number_of_missed_versions)
{
  std::mt19937_64 random(kSeed);
  traffic_config config = MakeConfig(1, 30);
  for (int step = 0; step < 400; ++step) {
    config.mBase = config.mVersion;
    config.mVersion += 1 + random() % 3;
    const int number = static_cast<int>(random() % 60);
    const auto found =
      std::ranges::find(config.mRoutes, MakeRoute(number, 0).mName, &route_rule::mName);
    if (found != config.mRoutes.end() && random() % 2 == 0) {
      config.mRoutes.erase(found);
    } else if (found != config.mRoutes.end()) {
      found->mTimeout = microseconds(static_cast<std::int64_t>(random() % 9'000'000));
    } else {
      config.mRoutes.insert(config.mRoutes.begin(), MakeRoute(number, 500));
    }
    config.mWorkspaces.front().mRate = static_cast<double>(random() % 5);
    mHistory.Update(config);
    if (random() % 40 == 0 || step % 100 == 99) {
      CheckFollows();
    }
  }
}

/** Guards against a delta that is applied to another configuration than it was made from. */
TEST(config_delta, refuses_a_delta_for_another_version_or_content)
{
  mHistory.Update(MakeConfig(1, 20));
  CheckFollows();
  mHistory.Update(MakeConfig(2, 21));
  const config_delta delta = mHistory.MakeDelta(1);
  CHECK_FALSE(static_cast<bool>(ApplyConfigDelta(MakeConfig(3, 20), mReceiver.mDigest, delta)));
  CHECK_FALSE(static_cast<bool>(ApplyConfigDelta(mReceiver.mConfig, mReceiver.mDigest + 1, delta)));
  config_delta damaged = delta;
  damaged.mRoutes.clear();
  CHECK_FALSE(static_cast<bool>(ApplyConfigDelta(mReceiver.mConfig, mReceiver.mDigest, damaged)));
  CHECK(static_cast<bool>(ApplyConfigDelta(mReceiver.mConfig, mReceiver.mDigest, delta)));
}

/** Guards against a version that never arrives since two of its routes have the same place. */
TEST(config_delta, sends_configurations_with_repeated_keys_whole)
{
  mHistory.Update(MakeConfig(1, 5));
  CheckFollows();
  traffic_config repeated = MakeConfig(2, 5);
  repeated.mRoutes.push_back(repeated.mRoutes.front());
  repeated.mRoutes.back().mName = "r-again";
  mHistory.Update(repeated);
  CheckFollows();
  CHECK(mReceiver.mConfig == repeated);
  mHistory.Update(MakeConfig(3, 6));
  CheckFollows();
  mHistory.Update(MakeConfig(4, 7));
  CheckFollows();
}
