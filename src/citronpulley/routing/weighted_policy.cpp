#include "citronpulley/routing/policy_measures.h"
#include "citronpulley/routing/routing_policy.h"

#include <algorithm>
#include <cmath>
#include <memory>

namespace citronpulley {

namespace {

/** Cost in milliseconds of a zone whose slots are all busy. */
constexpr double kFullZoneCostMilliseconds = 40;
/** Difference in cost at which the share of a zone falls to 1/e. A smaller value keeps more
 * requests in the nearest zone; a larger one reacts more gently to old reports. */
constexpr double kToleranceMilliseconds = 2;
/** Part of the slots that a full zone counts as free, so that full zones still share by size. */
constexpr double kMinFreeFraction = 0.02;
/** Health at which a failing server still gets a few requests that show its recovery. */
constexpr double kMinHealth = 0.05;

/**
 * Weighs latency against the headroom of zones by the deployment's weights. Each zone gets a share
 * in proportion to its free slots that falls with its cost, and among servers the better of two
 * random ones is taken. VMs that hold the same report therefore do not all choose alike.
 */
class weighted_policy final : public routing_policy
{
public:
  std::size_t ChooseZone(std::span<const zone_candidate> aCandidates,
                         const steering_weights& aWeights,
                         std::uint64_t aRandom) override
  {
    const double sum = aWeights.mLatency + aWeights.mHeadroom;
    const double latencyWeight = sum > 0 ? aWeights.mLatency / sum : 0.5;
    const auto cost = [&](const zone_candidate& aZone) {
      const double utilisation = GetUtilisation(aZone.mRunning, aZone.mSlots);
      return latencyWeight * 2 * aZone.mOneWayMilliseconds +
             (1 - latencyWeight) * kFullZoneCostMilliseconds * utilisation * utilisation;
    };
    double lowest = cost(aCandidates.front());
    for (const zone_candidate& zone : aCandidates) {
      lowest = std::min(lowest, cost(zone));
    }
    const auto weight = [&](const zone_candidate& aZone) {
      const double slots = aZone.mSlots;
      const double free = std::max(slots - aZone.mRunning, kMinFreeFraction * slots);
      return free * std::exp((lowest - cost(aZone)) / kToleranceMilliseconds);
    };
    return PickByWeight(aCandidates, weight, ToFraction(aRandom));
  }

  std::size_t ChooseServer(std::span<const server_candidate> aCandidates,
                           std::uint64_t aRandom) override
  {
    const std::size_t count = aCandidates.size();
    const std::size_t first = aRandom % count;
    if (count == 1) {
      return first;
    }
    const std::size_t second = (first + 1 + (aRandom >> 32U) % (count - 1)) % count;
    const auto cost = [&](std::size_t aPosition) {
      const server_candidate& server = aCandidates[aPosition];
      const double utilisation =
        std::max(GetUtilisation(server.mRunning + 1, server.mSlots), server.mReportedLoad);
      return utilisation / std::max(server.mHealth, kMinHealth);
    };
    return cost(first) <= cost(second) ? first : second;
  }
};

const routing_policy_registry::registration kRegistration{
  "weighted",
  [] { return std::make_unique<weighted_policy>(); }
};

} // namespace

} // namespace citronpulley
