#ifndef CITRONPULLEY_ROUTING_ROUTING_POLICY_H
#define CITRONPULLEY_ROUTING_ROUTING_POLICY_H

#include "citronpulley/base/identifiers.h"
#include "citronpulley/base/plugin_registry.h"
#include "citronpulley/config/catalogue.h"

#include <cstdint>
#include <span>

namespace citronpulley {

/** Zone that could serve a request. Hard limits have removed the unfit ones before a policy sees
 * them. */
struct zone_candidate
{
  /** Index of the zone in the caller's list. */
  std::uint32_t mZone = 0;
  double mOneWayMilliseconds = 0;
  std::uint32_t mSlots = 0;
  std::uint32_t mRunning = 0;
  /** Share of the steering plan for the zone's region; negative without plan. The plan has been
   * applied already: with one, all candidates lie in the region that it drew. */
  double mPlannedShare = -1;

  friend auto operator<=>(const zone_candidate&, const zone_candidate&) = default;
};

/** Backend server of the chosen zone that could serve a request. */
struct server_candidate
{
  std::uint32_t mServer = 0;
  std::uint32_t mSlots = 0;
  std::uint32_t mRunning = 0;
  double mReportedLoad = 0;
  /** Score of the server's recent answers, from 0 (failing) to 1. */
  double mHealth = 1;

  friend auto operator<=>(const server_candidate&, const server_candidate&) = default;
};

/**
 * Way to choose among fit zones and servers; a plug-in. It must be deterministic for the same
 * sequence of calls: chance comes in as a number.
 */
class routing_policy
{
public:
  virtual ~routing_policy() = default;

  /**
   * Chooses a zone.
   *
   * @param aCandidates fit zones, at least one
   * @param aWeights weights of the deployment
   * @param aRandom random number
   * @return position in the candidates
   */
  virtual std::size_t ChooseZone(std::span<const zone_candidate> aCandidates,
                                 const steering_weights& aWeights,
                                 std::uint64_t aRandom) = 0;

  /**
   * Chooses a server.
   *
   * @param aCandidates fit servers, at least one
   * @param aRandom random number
   * @return position in the candidates
   */
  virtual std::size_t ChooseServer(std::span<const server_candidate> aCandidates,
                                   std::uint64_t aRandom) = 0;
};

/** Registry of the policies by the name that the operators' text gives. */
using routing_policy_registry = plugin_registry<routing_policy>;

} // namespace citronpulley

#endif
