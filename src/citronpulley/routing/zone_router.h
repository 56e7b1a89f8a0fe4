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

/** What a VM knows at first hand of its own zone and of the request that it routes. */
struct zone_query
{
  const service_name& mService;
  /** Slots of the own zone's servers that take work. */
  std::uint32_t mOwnSlots = 0;
  std::uint32_t mOwnRunning = 0;
  /** Zones that refused the request already. */
  const std::set<zone_name>& mTriedZones;
  /** The VM has a confirmed state; without it no tokens of other regions can be had. */
  bool mIsFresh = false;
};

/** Why a request got no zone. */
enum class zone_verdict
{
  Chosen,
  /** No zone may serve the request. */
  NoZone,
  /** The steering plan sheds the request, or it drew a region that cannot serve it now. */
  Shed,
};

/** Choice of a zone. */
struct zone_choice
{
  zone_verdict mVerdict = zone_verdict::NoZone;
  /** Zone in the router's storage, valid until the next SetCatalogue(); null unless chosen. */
  const zone_name* mZone = nullptr;
};

/**
 * Chooses the zone of each request at an entry VM. Pure: the time and chance are passed in. What a
 * decision needs is compiled when the text, the plan or the summaries change, and a decision
 * allocates no memory once its storage has grown.
 *
 * Hard limits come first: drained zones, zones without slots, and zones in whose region a service
 * that the requested one depends on has no slots. The steering plan then draws the region and the
 * policy chooses among its zones. A drawn region that cannot serve the request passes nothing on to
 * the others, because that would be a shift without a cap; only a retry may go to another planned
 * region. A region that is being drained keeps the share that the plan still gives it.
 */
class zone_router
{
public:
  /** Age from which a summary is not trusted any more. */
  static constexpr microseconds kMaxSummaryAge{ 2'000'000 };

  /**
   * @param aOwnZone zone of the VM
   * @param aOwnRegion region of the VM
   */
  zone_router(zone_name aOwnZone, region_name aOwnRegion);

  /** Takes a text. Summaries and plan are forgotten and must be set again. */
  void SetCatalogue(const catalogue& aCatalogue);

  /** Takes the steering plan; an empty one leaves all regions to the policy. */
  void SetPlan(std::span<const region_share> aPlan);

  /**
   * Takes the summaries of a poll reply. Zones and services that it does not name keep their last
   * summary, which grows old.
   */
  void UpdateSummaries(std::span<const zone_summary> aSummaries, instant aNow);

  /**
   * Chooses the zone of a request.
   *
   * @param aQuery the request
   * @param aNow present time
   * @param aRandom random number
   * @return the choice
   */
  zone_choice Choose(const zone_query& aQuery, instant aNow, std::uint64_t aRandom);

  /**
   * Chooses among servers of the own zone by the policy of the text.
   *
   * @param aCandidates at least one
   * @param aRandom random number
   * @return position in the candidates
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
    /** The region or each of its zones is drained. */
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
    /** All services that a request needs, direct or not. */
    std::vector<std::size_t> mDependencies;
    std::vector<zone_report> mZones;
    /** Time of the last report of slots in each region. */
    std::vector<std::optional<instant>> mSlotsSeenAt;
    /** Planned share of each region; empty without plan. */
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
