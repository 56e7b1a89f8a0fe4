#ifndef CITRONPULLEY_STEERING_BACKEND_POOL_H
#define CITRONPULLEY_STEERING_BACKEND_POOL_H

#include "citronpulley/base/instant.h"
#include "citronpulley/steering/backend_record.h"
#include "citronpulley/steering/load_report.h"
#include "citronpulley/steering/outcome_tally.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace citronpulley {

/** How a request to a backend server ended. */
enum class attempt_outcome : std::uint8_t
{
  /** A response of the backend server that says that it ran the request. */
  Answered,
  /** It ran the request and says that it failed. */
  Failed,
  /** No connection; nothing was sent. */
  NotSent,
  /** It proves that it did not run the request, since it is full or ends. */
  NotExecuted,
  /** Another backend server has its address. */
  WrongInstance,
  /** The connection ended or the response is broken; the request may have run. */
  Lost,
  /** No response in time. */
  TimedOut,
  /** The caller left. */
  Abandoned,
};

/** @return name of the outcome in logs and metrics */
std::string_view ToString(attempt_outcome aOutcome) noexcept;

/** Where a request may go. */
struct placement_request
{
  service_name mService;
  /** Requests with the same key are faster on the same backend server. */
  std::optional<std::string> mAffinityKey;
  /** Empty when every region is allowed; otherwise each list binds. */
  std::vector<region_name> mRouteRegions;
  std::vector<region_name> mWorkspaceRegions;
  /** Backend servers that had the request already. */
  std::vector<std::string> mExcluded;
  bool mIsIdempotent = false;
};

/** Chosen backend server. */
struct placement
{
  std::string mBackend;
  std::int64_t mStartedAtMs = 0;
  server_name mAddress;
  zone_name mZone;
  region_name mRegion;
  /** Expected time until a slot is free. */
  microseconds mExpectedWait{ 0 };
  /** Mean time of the service's requests on their backend servers. */
  microseconds mServiceTime{ 0 };
};

/**
 * Backend servers that an entry VM knows, their load and health as its own requests show them, and
 * the choice among them. Pure and not thread-safe.
 */
class backend_pool
{
public:
  /**
   * @param aZone zone of this VM
   * @param aRegions region of each zone
   */
  backend_pool(zone_name aZone, std::map<zone_name, region_name> aRegions);

  /** Takes a record; a new start of a backend server begins without history. */
  void Update(const backend_record& aRecord, instant aNow);

  /** Keeps only the backend servers that are named. */
  void KeepOnly(const std::set<std::string>& aBackends);

  void Remove(const std::string& aBackend);

  /** Removes a start of a backend server and any older one. */
  void RemoveStart(const std::string& aBackend, std::int64_t aStartedAtMs);

  /** Replaces the zones that get no requests; a zone that is taken back counts as cold. */
  void SetEvacuatedZones(std::set<zone_name> aZones, instant aNow);

  /** Sets the requests per second that this VM may send to cold backend servers. */
  void SetWarmupRates(std::map<std::string, double> aRates);

  /** @return the best backend server, or nothing when none may take the request */
  std::optional<placement> Choose(const placement_request& aRequest, instant aNow);

  /** Counts a request as sent; call it once for each chosen backend server. */
  void RecordSent(const std::string& aBackend, instant aNow);

  /**
   * Counts a request as ended.
   *
   * @param aTook time since it was sent
   * @param aSlowness run time as a multiple of what is usual for its route
   */
  void RecordEnd(const std::string& aBackend,
                 attempt_outcome aOutcome,
                 const std::optional<load_report>& aLoad,
                 microseconds aTook,
                 double aSlowness,
                 instant aNow);

  /** Load that a response to this VM stated, or another VM saw. */
  struct observed_load
  {
    std::string mBackend;
    double mRequests = 0;
    instant mSeenAt;
  };

  /** Takes a load that another VM saw, if it is newer than what this VM knows. */
  void UpdateLoad(const observed_load& aLoad);

  /** What this VM saw of a backend server. */
  struct observation
  {
    std::string mBackend;
    /** The last load that a response stated. */
    std::optional<observed_load> mLoad;
    outcome_tally mTally;
  };

  /** @return what this VM saw since the last call */
  std::vector<observation> DrainObservations();

  /** Health as the requests of all VMs show it. */
  struct shared_health
  {
    double mFailureRate = 0;
    double mSlowness = 1;
  };

  /** Replaces the health that all VMs see together; backend servers that are not named are well. */
  void SetSharedHealth(const std::map<std::string, shared_health>& aHealth);

  /** Adapts the part of each service's requests that leaves the region; call it regularly. */
  void AdaptSpill(instant aNow);

  std::size_t GetCount() const noexcept { return mBackends.size(); }

  /** @return part of a service's requests that goes to other regions, 0 to 1 */
  double GetSpill(const service_name& aService) const;

private:
  struct backend
  {
    backend_record mRecord;
    region_name mRegion;
    instant mColdUntil;
    instant mNextWarmupAt;
    double mOwnRequests = 0;
    load_report mLoad;
    double mOwnRequestsAtReport = 0;
    instant mReportedAt;
    bool mHasReport = false;
    /** The report was not told to the leader yet. */
    bool mHasUnsentReport = false;
    /** Not told to the leader yet. */
    outcome_tally mTally;
    shared_health mShared;
    instant mEjectedUntil;
    int mConsecutiveFailures = 0;
    bool mIsProbing = false;
    double mFailureRate = 0;
    double mServiceTimeUs = 0;
    instant mFailureRateAt;
  };

  struct service
  {
    std::vector<std::string> mBackends;
    double mSpill = 0;
    /** Smoothed use of the slots in this region. */
    double mUtilisation = 0;
    double mServiceTimeUs = 0;
    /** A request was sent; before, the spill follows the places of the backend servers. */
    bool mHasTraffic = false;
  };

  static double EstimateLoad(const backend& aBackend, instant aNow);
  static double GetFailureRate(const backend& aBackend, instant aNow);
  bool IsUsable(const backend& aBackend, const placement_request& aRequest, instant aNow) const;
  /** @return cost in microseconds of a request at the home of its key with this number */
  double ComputeCost(const backend& aBackend,
                     const service& aService,
                     const placement_request& aRequest,
                     double aKeyRank,
                     instant aNow) const;
  const backend* ChooseBest(const service& aService,
                            const placement_request& aRequest,
                            bool aIsOwnRegion,
                            instant aNow) const;
  bool IsSpilled(const service& aService, const placement_request& aRequest);
  double GetUtilisation(const service& aService, bool aIsOwnRegion, instant aNow) const;
  /** @return spill that loads all regions alike when each zone has the same demand */
  double ComputeBalancedSpill(const service& aService) const;
  void BalanceIdleServices();
  void RemoveFromService(const backend& aBackend);

  zone_name mZone;
  region_name mRegion;
  std::map<zone_name, region_name> mRegions;
  std::map<std::string, backend> mBackends;
  std::map<service_name, service> mServices;
  std::set<zone_name> mEvacuatedZones;
  std::map<std::string, double> mWarmupRates;
  std::uint64_t mChoices = 0;
  instant mNextSpillAt;
};

} // namespace citronpulley

#endif
