#ifndef CITRONPULLEY_STEERING_BACKEND_POOL_H
#define CITRONPULLEY_STEERING_BACKEND_POOL_H

#include "citronpulley/base/instant.h"
#include "citronpulley/steering/backend_record.h"
#include "citronpulley/steering/limit_notice.h"
#include "citronpulley/steering/load_report.h"
#include "citronpulley/steering/outcome_tally.h"
#include "citronpulley/steering/rate_share.h"
#include "citronpulley/steering/reach_monitor.h"

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
  /** The backend server ran the request and responded without an error. */
  Answered,
  /** The backend server ran the request and reported an error. */
  Failed,
  /** The connection could not be opened; nothing was sent. */
  NotSent,
  /** Nothing was sent, because what permitted it had run out by then. */
  Withheld,
  /**
   * The backend server reported that it did not run the request, because it is full or shutting
   * down.
   */
  NotExecuted,
  /** Another backend server now uses the address. */
  WrongInstance,
  /** The connection closed or the response was malformed; the request may have run. */
  Lost,
  /** No response arrived in time. */
  TimedOut,
  /** The caller disconnected. */
  Abandoned,
};

/** @return name of the outcome in logs and metrics */
std::string_view ToString(attempt_outcome aOutcome) noexcept;

/** Constraints on the choice of a backend server for one request. */
struct placement_request
{
  service_name mService;
  /** Requests with the same key run faster on the same backend server, which caches data by key. */
  std::optional<std::string> mAffinityKey;
  /**
   * Regions that the route permits. Empty permits every region. A region must be permitted by both
   * lists.
   */
  std::vector<region_name> mRouteRegions;
  std::vector<region_name> mWorkspaceRegions;
  /** Backend servers to which this request was already sent. */
  std::vector<std::string> mExcluded;
  bool mIsIdempotent = false;
  /**
   * Leaves out backend servers whose last connection failed. Set while this VM is cut off from the
   * service: probes find out when they can be reached, and requests need not wait for them.
   */
  bool mAvoidsUnreachable = false;

  /** @return true when both lists of regions permit the region */
  bool Permits(const region_name& aRegion) const;
};

/** Backend server chosen for a request. */
struct placement
{
  std::string mBackend;
  std::int64_t mStartedAtMs = 0;
  server_name mAddress;
  zone_name mZone;
  region_name mRegion;
  /** Expected time that the request waits for a free slot. */
  microseconds mExpectedWait{ 0 };
  /** Mean run time of the service's requests, without the time in the queue. */
  microseconds mServiceTime{ 0 };
  /** Estimated running and waiting requests at the backend server. */
  double mRequests = 0;
  std::uint32_t mSlots = 0;
};

/**
 * Tracks the backend servers known to an entry VM, with their load and health, and chooses one for
 * each request. Load and health come from the requests of this VM and from values that other VMs
 * share through the leader. Does no input or output. Not thread-safe.
 */
class backend_pool
{
public:
  /**
   * Time after which an entry VM knows of the start of a process at the same identity: a late
   * announcement, and a report to the leader.
   */
  static constexpr microseconds kStartNewsDelay{ 5'000'000 };

  /**
   * @param aZone zone of this VM
   * @param aRegions region of each zone
   */
  backend_pool(zone_name aZone, std::map<zone_name, region_name> aRegions);

  /**
   * Adds a backend server or updates its record. When the process start, the address or the service
   * changed, the load and health history is discarded.
   */
  void Update(const backend_record& aRecord, instant aNow);

  /** Removes all backend servers that are not in `aBackends`. */
  void KeepOnly(const std::set<std::string>& aBackends);

  /** @return known backend servers that are not in `aBackends` */
  std::set<std::string> ListMissing(const std::set<std::string>& aBackends) const;

  void Remove(const std::string& aBackend);

  /**
   * Removes a backend server if its process started at or before `aStartedAtMs` (Unix
   * milliseconds).
   */
  void RemoveStart(const std::string& aBackend, std::int64_t aStartedAtMs);

  /**
   * Replaces the set of zones that get no requests. The backend servers of a zone whose evacuation
   * ends count as cold for a short time.
   */
  void SetEvacuatedZones(std::set<zone_name> aZones, instant aNow);

  /**
   * Sets the requests per second that this VM may send to each cold backend server. A cold backend
   * server without an entry gets no requests.
   */
  void SetWarmupRates(std::map<std::string, double> aRates);

  /** @return the backend server with the lowest estimated cost, or nothing when none is usable */
  std::optional<placement> Choose(const placement_request& aRequest, instant aNow);

  /**
   * @return true while the backend server with this process start takes requests: it has neither
   * left nor been restarted nor asked for a pause, and its zone is not evacuated
   */
  bool IsAccepting(const std::string& aBackend, std::int64_t aStartedAtMs, instant aNow) const;

  /** Records that a request is being sent; call it once for each attempt. */
  void RecordSent(const std::string& aBackend, instant aNow);

  /**
   * Records the end of an attempt that was passed to RecordSent().
   *
   * @param aLoad load that the response reported, if any
   * @param aTook time since the request was sent
   * @param aSlowness run time as a multiple of the usual run time of the route
   */
  void RecordEnd(const std::string& aBackend,
                 attempt_outcome aOutcome,
                 const std::optional<load_report>& aLoad,
                 microseconds aTook,
                 double aSlowness,
                 instant aNow);

  /** Load of a backend server, observed in a response to this VM or to another one. */
  struct observed_load
  {
    std::string mBackend;
    double mRequests = 0;
    instant mSeenAt;
  };

  /**
   * Updates the load of a backend server with a value that another VM observed. Ignored when this
   * VM has one that is as new or newer.
   */
  void UpdateLoad(const observed_load& aLoad);

  /**
   * Records what a response to this VM said about the rate that its backend server takes from all
   * VMs together. With a limit, nothing more is sent there before SetLimitShare().
   */
  void RecordLimit(const std::string& aBackend,
                   std::int64_t aStartedAtMs,
                   const limit_notice& aNotice,
                   instant aNow);

  /**
   * Records that a backend server takes nothing from this VM until a time. An earlier statement
   * that reaches further stays in force. A restart of the backend server ends both, unless the news
   * of it come so soon that the new process may have made the statement.
   */
  void RecordBackoff(const std::string& aBackend,
                     std::int64_t aStartedAtMs,
                     instant aNow,
                     instant aUntil);

  /**
   * Records that a response of a backend server said that it leaves. Announcements of the same
   * process start that were sent earlier do not undo it.
   */
  void RecordLeaving(const std::string& aBackend, std::int64_t aStartedAtMs);

  /**
   * @return the time at which the first backend server takes requests again, when all that could
   * run such a request asked this VM for a pause; nothing otherwise
   */
  std::optional<instant> FindBackoffEnd(const placement_request& aRequest, instant aNow) const;

  /** @return number of backend servers that take nothing from this VM at the moment */
  std::size_t CountBackoffs(instant aNow) const;

  /** What this VM knows of the limit of one backend server. */
  struct known_limit
  {
    std::string mBackend;
    std::int64_t mStartedAtMs = 0;
    /** What a response said and the leader has not answered yet, or `limit_unknown`. */
    limit_notice mNotice;
    instant mNoticeAt;
    double mDemand = 0;
    double mShare = 0;
  };

  /**
   * @param aReport number of the report to the leader that names the limits
   * @return limits that are new to the leader, and those in which this VM has a share or a demand
   */
  std::vector<known_limit> ListLimits(std::uint64_t aReport, instant aNow);

  /** Makes the next reports name all limits, for a new leader. */
  void ReportLimitsAgain();

  /**
   * Replaces the limits by those that the leader knows, by backend server, in requests per second.
   * What a response said after the report that the leader answers stays.
   *
   * @param aReport number of that report
   */
  void SetLimits(const std::map<std::string, double>& aLimits, std::uint64_t aReport, instant aNow);

  /** Sets the requests per second that this VM may send to a backend server with a limit. */
  void SetLimitShare(const std::string& aBackend,
                     std::int64_t aStartedAtMs,
                     double aShare,
                     instant aNow);

  /** Sets the time until which this VM may use its shares without news from the leader. */
  void SetSharesValidUntil(instant aTime) noexcept { mSharesValidUntil = aTime; }

  /** What this VM observed at one backend server since the last call of DrainObservations(). */
  struct observation
  {
    std::string mBackend;
    /** Load reported by the latest response, if a new one arrived. */
    std::optional<observed_load> mLoad;
    outcome_tally mTally;
  };

  /** Removes and returns the observations since the last call, for the report to the leader. */
  std::vector<observation> DrainObservations();

  /** Health of a backend server, derived by the leader from the outcomes at all entry VMs. */
  struct shared_health
  {
    double mFailureRate = 0;
    double mSlowness = 1;
  };

  /** Replaces the shared health. Backend servers without an entry count as healthy. */
  void SetSharedHealth(const std::map<std::string, shared_health>& aHealth);

  /**
   * Adjusts the fraction of each service's requests that spills over to other regions. Call it
   * regularly; it has an effect once per 250 ms.
   */
  void AdaptSpill(instant aNow);

  /** @return backend servers of a service that accept requests, with their zones */
  std::vector<reach_monitor::candidate> ListAccepting(const service_name& aService) const;

  /** @return record of a backend server, or null when it is not known */
  const backend_record* FindRecord(const std::string& aBackend) const;

  /**
   * @return true when a backend server could run the request, but connections to it failed lately
   */
  bool HasUnreachable(const placement_request& aRequest, instant aNow) const;

  std::size_t GetCount() const noexcept { return mBackends.size(); }

  /** @return number of backend servers that state a limit */
  std::size_t CountLimits() const;

  /** @return identity with this ComputeIdHash(), or null when no such backend server is known */
  const std::string* FindByHash(std::uint64_t aHash) const;

  /** @return fraction of a service's requests that goes to other regions, 0 to 1 */
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
    /** The load was not yet included in a report to the leader. */
    bool mHasUnsentReport = false;
    /** Outcomes that were not yet included in a report to the leader. */
    outcome_tally mTally;
    shared_health mShared;
    instant mEjectedUntil;
    int mConsecutiveFailures = 0;
    bool mIsProbing = false;
    double mFailureRate = 0;
    double mServiceTimeUs = 0;
    instant mFailureRateAt;
    /** Share in the rate that the backend server takes, while it states a limit. */
    std::optional<rate_share> mShare;
    /** What the leader has to be told, and the first report that does so; 0 before that report. */
    limit_notice mNotice;
    instant mNoticeAt;
    std::uint64_t mNoticeReport = 0;
    /** Time before which it takes nothing from this VM. */
    instant mBackoffUntil;
    /** Time of the latest response that said so. */
    instant mBackoffAt;
    /** A response to this VM said that it leaves. */
    bool mHasStatedLeaving = false;
  };

  struct service
  {
    std::vector<std::string> mBackends;
    double mSpill = 0;
    /** Smoothed utilisation of the slots in this VM's region. */
    double mUtilisation = 0;
    double mServiceTimeUs = 0;
    /**
     * True once this VM sent a request. Until then the spill follows from the slots in each region.
     */
    bool mHasTraffic = false;
  };

  static double EstimateLoad(const backend& aBackend, instant aNow);
  static double GetFailureRate(const backend& aBackend, instant aNow);
  /** Says whether the choice respects the limits that backend servers state. */
  enum class limits : std::uint8_t
  {
    Respected,
    Ignored,
  };

  /** @return the backend server while this process start is known, or null */
  backend* FindStart(const std::string& aBackend, std::int64_t aStartedAtMs);
  bool HasToken(const backend& aBackend, instant aNow) const;
  /** @return true when the route, the workspace and the state of the fleet permit the request */
  bool IsPermitted(const backend& aBackend, const placement_request& aRequest) const;
  bool IsUsable(const backend& aBackend,
                const placement_request& aRequest,
                limits aLimits,
                instant aNow) const;
  /**
   * @param aKeyRank position of the backend server among those preferred for the affinity key, 0 is
   * the first
   * @return estimated cost of sending the request there, in microseconds
   */
  double ComputeCost(const backend& aBackend,
                     const service& aService,
                     const placement_request& aRequest,
                     double aKeyRank,
                     instant aNow) const;
  /** @return the best one of this region or of the others, else of the other choice */
  const backend* ChooseBest(const service& aService,
                            const placement_request& aRequest,
                            bool aIsOwnRegion,
                            limits aLimits,
                            instant aNow) const;
  const backend* ChooseBestOf(const service& aService,
                              const placement_request& aRequest,
                              bool aIsOwnRegion,
                              limits aLimits,
                              instant aNow) const;
  bool IsSpilled(const service& aService, const placement_request& aRequest);
  double GetUtilisation(const service& aService, bool aIsOwnRegion, instant aNow) const;
  /**
   * @return spill with which all regions have the same utilisation if every zone has the same
   * demand
   */
  double ComputeBalancedSpill(const service& aService) const;
  void BalanceIdleServices();
  void RemoveFromService(const backend& aBackend);
  /** Removes what refers to a backend server that is about to be removed, but for its statements.
   */
  void RemoveReferences(const backend& aBackend);
  /** Restores the statements of a backend server that was removed and is known again. */
  void RestoreStatements(backend& aBackend, instant aNow);

  zone_name mZone;
  region_name mRegion;
  std::map<zone_name, region_name> mRegions;
  std::map<std::string, backend> mBackends;
  /** Identities by their hash. */
  std::map<std::uint64_t, std::string> mIdsByHash;
  std::map<service_name, service> mServices;
  std::set<zone_name> mEvacuatedZones;
  std::map<std::string, double> mWarmupRates;
  /** What a process that was removed had stated about the requests that it takes. */
  struct removed_statements
  {
    std::int64_t mStartedAtMs = 0;
    std::optional<double> mLimit;
    instant mBackoffUntil;
    bool mHasStatedLeaving = false;
  };

  /** By identity. A new leader may leave out a backend server for a moment. */
  std::map<std::string, removed_statements> mRemovedStatements;
  instant mSharesValidUntil;
  std::uint64_t mChoices = 0;
  instant mNextSpillAt;
};

} // namespace citronpulley

#endif
