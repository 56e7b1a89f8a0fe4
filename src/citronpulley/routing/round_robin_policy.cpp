#include "citronpulley/routing/routing_policy.h"

#include <memory>

namespace citronpulley {

namespace {

/** Baseline policy that chooses the candidates in turn, regardless of latency and load. */
class round_robin_policy final : public routing_policy
{
public:
  std::size_t ChooseZone(std::span<const zone_candidate> aCandidates,
                         const steering_weights& /*aWeights*/,
                         std::uint64_t /*aRandom*/) override
  {
    return mNextZone++ % aCandidates.size();
  }

  std::size_t ChooseServer(std::span<const server_candidate> aCandidates,
                           std::uint64_t /*aRandom*/) override
  {
    return mNextServer++ % aCandidates.size();
  }

private:
  std::size_t mNextZone = 0;
  std::size_t mNextServer = 0;
};

const routing_policy_registry::registration kRegistration{
  "round_robin",
  [] { return std::make_unique<round_robin_policy>(); }
};

} // namespace

} // namespace citronpulley
