#include "citronpulley/routing/routing_policy.h"

#include <algorithm>

namespace citronpulley {

namespace {

/** Cost in milliseconds of a zone whose slots are all busy, per unit of headroom weight. */
constexpr double kFullZoneMilliseconds = 40;

double GetUtilisation(std::uint32_t aRunning, std::uint32_t aSlots) noexcept
{
  return aSlots == 0 ? 1.0 : static_cast<double>(aRunning) / static_cast<double>(aSlots);
}

/**
 * Weighs latency against the headroom of zones. Among servers it compares two at random, so that
 * VMs that hold the same report do not all choose the same server.
 */
class weighted_policy final : public routing_policy
{
public:
  std::size_t ChooseZone(std::span<const zone_candidate> aCandidates,
                         const steering_weights& aWeights,
                         std::uint64_t /*aRandom*/) override
  {
    const auto cost = [&](const zone_candidate& aZone) {
      const double busy = GetUtilisation(aZone.mRunning, aZone.mSlots);
      return aWeights.mLatency * 2 * aZone.mOneWayMilliseconds +
             aWeights.mHeadroom * kFullZoneMilliseconds * busy * busy;
    };
    const auto best = std::min_element(
      aCandidates.begin(), aCandidates.end(), [&](const auto& aLeft, const auto& aRight) {
        return cost(aLeft) < cost(aRight);
      });
    return static_cast<std::size_t>(best - aCandidates.begin());
  }

  std::size_t ChooseServer(std::span<const server_candidate> aCandidates,
                           std::uint64_t aRandom) override
  {
    const std::size_t first = aRandom % aCandidates.size();
    const std::size_t second = (aRandom >> 32U) % aCandidates.size();
    const auto cost = [&](std::size_t aPosition) {
      const server_candidate& server = aCandidates[aPosition];
      return GetUtilisation(server.mRunning + 1, server.mSlots) / std::max(server.mHealth, 0.05);
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
