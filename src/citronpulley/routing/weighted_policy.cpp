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
 * requests in the nearest zone; a larger one makes shares react less strongly to outdated
 * reports. */
constexpr double kToleranceMilliseconds = 2;
/** Fraction of its slots that counts as free in a full zone, so that requests are still divided
 * among full zones by size. */
constexpr double kMinFreeFraction = 0.02;
/** Lower bound of the health score, so that a failing server still gets a few requests that reveal
 * its recovery. */
constexpr double kMinHealth = 0.05;

/**
 * Default policy: weighs latency against the headroom of zones by the deployment's weights. Zones
 * are picked at random, with a weight proportional to their free slots that decays exponentially
 * with their cost. Servers are chosen by the power of two choices: the better of two random ones.
 * VMs that hold the same report therefore do not all choose the same zone or server.
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
