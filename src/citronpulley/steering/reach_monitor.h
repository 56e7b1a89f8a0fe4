#ifndef CITRONPULLEY_STEERING_REACH_MONITOR_H
#define CITRONPULLEY_STEERING_REACH_MONITOR_H

#include "citronpulley/base/identifiers.h"
#include "citronpulley/base/instant.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace citronpulley {

/** Whether this VM can open connections to the backend servers of a service. */
enum class reach : std::uint8_t
{
  Reachable,
  /** Connections to several backend servers failed; others are probed. */
  Suspected,
  /** No probed backend server could be reached. */
  CutOff,
};

/** @return name of the state in logs */
std::string_view ToString(reach aReach) noexcept;

/**
 * Decides for each service whether this VM is cut off from all of its backend servers. A few failed
 * backend servers look the same as a cut at first, so failures only start probes of others, which
 * decide. An answer on a kept connection does not count: connections that exist may live on while
 * new ones fail. Answers the load of a VM that would try one unreachable backend server after the
 * other with its callers' requests. Does no input or output. Not thread-safe.
 */
class reach_monitor
{
public:
  /** Time for which a failed connection counts as a reason for suspicion. */
  static constexpr microseconds kFailureLifetime{ 1'000'000 };
  /** Backend servers with failed connections from which a service is suspected. */
  static constexpr std::size_t kSuspectedFailures = 2;
  /** Further backend servers that are probed before a service counts as cut off. */
  static constexpr std::size_t kVerifyingProbes = 3;
  /** Time after which a probe without a result is repeated; above the limit of a connection. */
  static constexpr microseconds kProbeTimeout{ 500'000 };
  /** Interval of the probes that find the end of a cut. */
  static constexpr microseconds kProbeInterval{ 250'000 };
  /** Time after a suspicion that was not confirmed until the next one. */
  static constexpr microseconds kSuspicionPause{ 1'000'000 };

  /** Backend server of a service that could be probed. */
  struct candidate
  {
    std::string mBackend;
    zone_name mZone;
  };

  /** Change of the state of one service, for the log. */
  struct change
  {
    service_name mService;
    reach mReach = reach::Reachable;
    /** Backend servers whose connections failed lately. */
    std::size_t mFailures = 0;
  };

  /** Records that a connection to a backend server failed, or ended with a request in progress. */
  void RecordFailure(const service_name& aService, const std::string& aBackend, instant aNow);

  /** Records the result of a probe that StartProbes() requested. */
  void RecordProbe(const service_name& aService,
                   const std::string& aBackend,
                   bool aIsReachable,
                   instant aNow);

  /** @return services whose probes StartProbes() may request now */
  std::vector<service_name> ListWatched() const;

  /**
   * Starts the probes that are due.
   *
   * @param aCandidates all backend servers of the service that accept requests
   * @return backend servers to probe now; each is probed once
   */
  std::vector<std::string> StartProbes(const service_name& aService,
                                       const std::vector<candidate>& aCandidates,
                                       instant aNow);

  reach GetReach(const service_name& aService) const;

  /** @return services that this VM is cut off from */
  std::vector<service_name> ListCutOff() const;

  /** Removes and returns the changes since the last call. */
  std::vector<change> DrainChanges();

private:
  struct service
  {
    reach mReach = reach::Reachable;
    /** Time of the last failure of each backend server. */
    std::map<std::string, instant> mFailedAt;
    /** Probes without a result, with the time at which they are given up. */
    std::map<std::string, instant> mProbes;
    /** Backend servers whose probe failed since the suspicion began. */
    std::set<std::string> mUnreached;
    /** Verifying probes that were started since the suspicion began. */
    std::size_t mStarted = 0;
    instant mNextProbeAt;
    instant mNoSuspicionUntil;
    std::size_t mNextCandidate = 0;
  };

  void SetReach(const service_name& aName, service& aService, reach aReach);
  static void ExpireFailures(service& aService, instant aNow);
  static std::vector<std::string> PickVerifying(service& aService,
                                                const std::vector<candidate>& aCandidates);

  std::map<service_name, service> mServices;
  std::vector<change> mChanges;
};

} // namespace citronpulley

#endif
