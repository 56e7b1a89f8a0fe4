#include "citronpulley/routing/policy_measures.h"
#include "citronpulley/routing/routing_policy.h"

#include <algorithm>
#include <memory>

namespace citronpulley {

namespace {

/**
 * Baseline policy that chooses the candidate with the least reported load. All VMs that hold the
 * same report choose the same candidate until the next report arrives.
 */
class least_reported_load_policy final : public routing_policy
{
public:
  std::size_t ChooseZone(std::span<const zone_candidate> aCandidates,
                         const steering_weights& /*aWeights*/,
                         std::uint64_t /*aRandom*/) override
  {
    const auto load = [](const zone_candidate& aZone) {
      return GetUtilisation(aZone.mRunning, aZone.mSlots);
    };
    return FindLeast(aCandidates, load);
  }

  std::size_t ChooseServer(std::span<const server_candidate> aCandidates,
                           std::uint64_t /*aRandom*/) override
  {
    const auto load = [](const server_candidate& aServer) {
      return std::max(GetUtilisation(aServer.mRunning, aServer.mSlots), aServer.mReportedLoad);
    };
    return FindLeast(aCandidates, load);
  }

private:
  template<typename Candidate, typename Load>
  static std::size_t FindLeast(std::span<const Candidate> aCandidates, const Load& aLoad)
  {
    const auto least = std::min_element(
      aCandidates.begin(), aCandidates.end(), [&](const Candidate& aLeft, const Candidate& aRight) {
        return aLoad(aLeft) < aLoad(aRight);
      });
    return static_cast<std::size_t>(least - aCandidates.begin());
  }
};

const routing_policy_registry::registration kRegistration{
  "least_reported_load",
  [] { return std::make_unique<least_reported_load_policy>(); }
};

} // namespace

} // namespace citronpulley
