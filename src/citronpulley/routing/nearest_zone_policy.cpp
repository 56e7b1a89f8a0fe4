#include "citronpulley/routing/policy_measures.h"
#include "citronpulley/routing/routing_policy.h"

#include <algorithm>
#include <memory>
#include <tuple>

namespace citronpulley {

namespace {

/** Baseline policy that chooses the zone with the least latency, regardless of its load, and a
 * random server. */
class nearest_zone_policy final : public routing_policy
{
public:
  std::size_t ChooseZone(std::span<const zone_candidate> aCandidates,
                         const steering_weights& /*aWeights*/,
                         std::uint64_t /*aRandom*/) override
  {
    const auto nearest = std::min_element(
      aCandidates.begin(), aCandidates.end(), [](const auto& aLeft, const auto& aRight) {
        return std::tie(aLeft.mOneWayMilliseconds, aLeft.mZone) <
               std::tie(aRight.mOneWayMilliseconds, aRight.mZone);
      });
    return static_cast<std::size_t>(nearest - aCandidates.begin());
  }

  std::size_t ChooseServer(std::span<const server_candidate> aCandidates,
                           std::uint64_t aRandom) override
  {
    return aRandom % aCandidates.size();
  }
};

const routing_policy_registry::registration kRegistration{
  "nearest_zone",
  [] { return std::make_unique<nearest_zone_policy>(); }
};

} // namespace

} // namespace citronpulley
