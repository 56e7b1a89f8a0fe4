#ifndef CITRONPULLEY_ROUTING_ZONE_ROUTER_H
#define CITRONPULLEY_ROUTING_ZONE_ROUTER_H

#include "citronpulley/base/identifiers.h"
#include "citronpulley/base/instant.h"
#include "citronpulley/config/catalogue.h"
#include "citronpulley/routing/routing_policy.h"
#include "citronpulley/state/command.h"
#include "citronpulley/wire/poll_messages.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace citronpulley {

/** Request to route, with the state of the own zone that the VM observes directly. */
struct zone_query
{
  const service_name& mService;
  /** Slots of the servers in the own zone that accept requests. */
  std::uint32_t mOwnSlots = 0;
  std::uint32_t mOwnRunning = 0;
  /** Zones in which an earlier attempt failed; they are excluded. */
  const std::set<zone_name>& mTriedZones;
  /** The VM's copy of the replicated state is fresh. Otherwise only zones of the own region are
   * chosen, because the VM cannot get tokens of other regions. */
  bool mIsFresh = false;
};

/** Whether a zone was chosen, and the reason if not. */
enum class zone_verdict
{
  Chosen,
  /** No zone can serve the request. */
  NoZone,
  /** The steering plan sheds the request, or the region picked by it cannot serve it now. */
  Shed,
};

/** Verdict of a choice, with the zone if one was chosen. */
struct zone_choice
{
  zone_verdict mVerdict = zone_verdict::NoZone;
  /** Zone in the router's storage, valid until the next SetCatalogue(); null unless chosen. */
  const zone_name* mZone = nullptr;
};

/**
 * Chooses the zone of each request at an entry VM. The class reads no clock and no random source;
 * time and random numbers are passed in. Look-up data is prepared when the catalogue, the plan or
 * the summaries change, and a choice allocates no memory once its buffers have grown.
 *
 * Hard limits apply first: they exclude drained zones, zones without slots, and zones in whose
 * region a service that the requested one depends on has no slots. Then a region is picked at
 * random by the shares of the steering plan, and the policy chooses among its zones. If the picked
 * region cannot serve the request, it is refused rather than sent to another region, because that
 * would be a shift without a cap; only a retry may go to another planned region. A region that is
 * being drained keeps the share that the plan still gives it.
 */
class zone_router
{
public:
  /** Age above which a summary counts as outdated. */
  static constexpr microseconds kMaxSummaryAge{ 2'000'000 };

  /**
   * @param aOwnZone zone of the VM
   * @param aOwnRegion region of the VM
   */
  zone_router(zone_name aOwnZone, region_name aOwnRegion);

  /** Sets the catalogue. This discards the summaries and the plan, which must be set again. */
  void SetCatalogue(const catalogue& aCatalogue);

  /** Sets the steering plan. With an empty one the policy chooses among all regions. */
  void SetPlan(std::span<const region_share> aPlan);

  /**
   * Updates the summaries from a poll reply. Zones and services that it does not contain keep their
   * last summary until it is outdated.
   */
  void UpdateSummaries(std::span<const zone_summary> aSummaries, instant aNow);

  /**
   * Chooses the zone of a request.
   *
   * @param aQuery request and state of the own zone
   * @param aNow current time
   * @param aRandom random number, uniform over 64 bits
   * @return the chosen zone, or the reason why there is none
   */
  zone_choice Choose(const zone_query& aQuery, instant aNow, std::uint64_t aRandom);

  /**
   * Chooses a server of the own zone by the policy of the catalogue; at random before the first
   * catalogue is set.
   *
   * @param aCandidates eligible servers, at least one
   * @param aRandom random number, uniform over 64 bits
   * @return index into aCandidates
   */
  std::size_t ChooseServer(std::span<const server_candidate> aCandidates, std::uint64_t aRandom);

private:
  struct zone_state
  {
    zone_name mName;
    std::size_t mRegion = 0;
    bool mIsDrained = false;
  };

  struct region_state
  {
    region_name mName;
    double mOneWayMilliseconds = 0;
    /** The region is drained, or all of its zones are. */
    bool mIsDrained = false;
  };

  struct zone_report
  {
    std::uint32_t mSlots = 0;
    std::uint32_t mRunning = 0;
    std::optional<instant> mReportedAt;
  };

  struct service_state
  {
    service_name mName;
    /** Indexes of all services that this one depends on, directly or indirectly. */
    std::vector<std::size_t> mDependencies;
    std::vector<zone_report> mZones;
    /** Time of the last summary with slots of the service in each region. */
    std::vector<std::optional<instant>> mSlotsSeenAt;
    /** Planned share of each region; empty without a plan for the service. */
    std::vector<double> mShares;
  };

  struct region_option
  {
    std::size_t mRegion = 0;
    double mShare = 0;
  };

  service_state* FindService(const service_name& aName) noexcept;
  bool CanServe(const service_state& aService,
                std::size_t aZone,
                const zone_query& aQuery,
                bool aIsStale) const;
  bool AreDependenciesAvailable(const service_state& aService,
                                std::size_t aRegion,
                                instant aNow) const;
  void CollectCandidates(const service_state& aService,
                         const zone_query& aQuery,
                         instant aNow,
                         bool aIsStale);
  zone_choice PickRegion(const service_state& aService, bool aIsRetry, double aFraction);

  zone_name mOwnZone;
  region_name mOwnRegion;
  steering_weights mWeights;
  std::string mPolicyName;
  std::unique_ptr<routing_policy> mPolicy;
  std::vector<region_state> mRegions;
  std::vector<zone_state> mZones;
  std::vector<service_state> mServices;
  std::optional<instant> mSummariesReceivedAt;
  std::vector<zone_candidate> mCandidates;
  std::vector<region_option> mRegionOptions;
};

} // namespace citronpulley

#endif
