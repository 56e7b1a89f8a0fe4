#ifndef CITRONPULLEY_ROUTING_ROUTING_POLICY_H
#define CITRONPULLEY_ROUTING_ROUTING_POLICY_H

#include "citronpulley/base/identifiers.h"
#include "citronpulley/base/plugin_registry.h"
#include "citronpulley/config/catalogue.h"

#include <cstdint>
#include <span>

namespace citronpulley {

/** Zone that can serve a request. Zones that hard limits exclude are removed before a policy is
 * called. */
struct zone_candidate
{
  /** Index of the zone in the caller's list. */
  std::uint32_t mZone = 0;
  double mOneWayMilliseconds = 0;
  std::uint32_t mSlots = 0;
  std::uint32_t mRunning = 0;
  /** Share of the steering plan for the zone's region; negative without a plan. The plan is applied
   * before the policy: if there is one, all candidates lie in the region that was picked by it, or
   * in the own region while the VM has no recent updates and ignores the plan. */
  double mPlannedShare = -1;

  friend auto operator<=>(const zone_candidate&, const zone_candidate&) = default;
};

/** Backend server of the chosen zone that can serve a request. */
struct server_candidate
{
  std::uint32_t mServer = 0;
  std::uint32_t mSlots = 0;
  std::uint32_t mRunning = 0;
  double mReportedLoad = 0;
  /** Health score from the server's recent answers, from 0 (failing) to 1 (healthy). */
  double mHealth = 1;

  friend auto operator<=>(const server_candidate&, const server_candidate&) = default;
};

/**
 * Interface of the plug-ins that choose among eligible zones and servers. An implementation must be
 * deterministic for the same sequence of calls; randomness is passed in as a number.
 */
class routing_policy
{
public:
  virtual ~routing_policy() = default;

  /**
   * Chooses a zone.
   *
   * @param aCandidates eligible zones, at least one
   * @param aWeights weights of the deployment
   * @param aRandom random number, uniform over 64 bits
   * @return index into aCandidates
   */
  virtual std::size_t ChooseZone(std::span<const zone_candidate> aCandidates,
                                 const steering_weights& aWeights,
                                 std::uint64_t aRandom) = 0;

  /**
   * Chooses a server.
   *
   * @param aCandidates eligible servers, at least one
   * @param aRandom random number, uniform over 64 bits
   * @return index into aCandidates
   */
  virtual std::size_t ChooseServer(std::span<const server_candidate> aCandidates,
                                   std::uint64_t aRandom) = 0;
};

/** Registry of the policies by the name that the configuration gives in `routing_policy`. */
using routing_policy_registry = plugin_registry<routing_policy>;

} // namespace citronpulley

#endif
