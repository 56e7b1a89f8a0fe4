#ifndef CITRONPULLEY_DISPATCH_BACKEND_DISPATCHER_H
#define CITRONPULLEY_DISPATCH_BACKEND_DISPATCHER_H

#include "citronpulley/base/identifiers.h"
#include "citronpulley/base/instant.h"
#include "citronpulley/dispatch/backend_server.h"
#include "citronpulley/dispatch/crash_detector.h"
#include "citronpulley/dispatch/dispatch_job.h"
#include "citronpulley/dispatch/job_queue.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace citronpulley {

/**
 * Dispatches requests to the backend servers whose home is this VM.
 *
 * Only the home VM sends requests to a server, so the number of running requests is exact and never
 * exceeds the server's slots. The class does no I/O and reads no clock: it gets the time with each
 * event and returns the actions that the caller has to execute.
 */
class backend_dispatcher
{
public:
  /** Time for which an announcement is valid. */
  static constexpr microseconds kHoldPeriod = backend_server::kHoldPeriod;
  /** Maximum number of jobs that wait for a slot of one service. */
  static constexpr std::size_t kMaxQueuedJobs = job_queue::kMaxJobs;

  /**
   * Handles an announcement, which renews the server's lease and starts waiting jobs.
   *
   * @param aAnnouncement announcement of a backend server
   * @param aIsOtherHomePossible true when another VM may have sent requests to this run of the
   * server within the last hold period; the server then gets no requests until that period is over
   * or a later announcement shows that this is no longer possible
   * @param aNow current time
   * @param aActions receives the actions
   */
  void HandleAnnouncement(const server_announcement& aAnnouncement,
                          bool aIsOtherHomePossible,
                          instant aNow,
                          std::vector<dispatcher_action>& aActions);

  /** Submits a job. It starts at once, waits for a slot, or is refused with outcome `not_run`. */
  void Submit(dispatch_job aJob, instant aNow, std::vector<dispatcher_action>& aActions);

  /**
   * Handles the outcome of a request that was sent. A late or repeated outcome is ignored. After a
   * lost connection, the result of the job is withheld until it is known whether the server
   * crashed, see `crash_detector`.
   */
  void HandleOutcome(std::uint64_t aDispatch,
                     backend_outcome aOutcome,
                     instant aNow,
                     std::vector<dispatcher_action>& aActions);

  /** Cancels a running or waiting job whose caller no longer wants the answer. The job ends without
   * a `job_done`. */
  void Cancel(std::uint64_t aJob, instant aNow, std::vector<dispatcher_action>& aActions);

  /**
   * Ends jobs whose deadline has passed, removes servers whose announcement has expired, and
   * refuses waiting jobs of services without a server that is expected to accept requests. A
   * suspected server whose announcement has expired counts as crashed.
   */
  void Tick(instant aNow, std::vector<dispatcher_action>& aActions);

  /**
   * Sets the maximum number of concurrent requests of a service on all servers homed here. Each
   * running request uses one connection.
   */
  void SetConnectionLimit(const service_name& aService, std::uint32_t aLimit);

  /** @return true when the server is homed here and its announcement is still valid */
  bool IsHomed(const server_name& aServer, instant aNow) const noexcept;

  /** @return servers homed here with their slots in use, in order of names */
  std::vector<homed_server> ListServers(instant aNow) const;

  /** @return number of jobs that run or wait */
  std::size_t GetJobCount() const noexcept;

private:
  struct running_job
  {
    dispatch_job mJob;
    server_name mServer;
    std::string mInstance;
    instant mStartedAt;
  };

  struct service_state
  {
    job_queue mQueue;
    std::uint32_t mRunning = 0;
    std::uint32_t mMaxRunning = UINT32_MAX;
    /** Smoothed latency of successful answers, and the number of these answers. */
    double mLatencyMicroseconds = 0;
    std::uint32_t mAnswers = 0;
    /** Server that gets no new jobs, so that it becomes idle for the first queued suspect. */
    server_name mReservedServer;
  };

  backend_server* FindFreeServer(const dispatch_job& aJob,
                                 const service_state& aState,
                                 instant aNow) noexcept;
  /** Finds an idle server for a suspect. If none is idle, returns null and reserves the server with
   * the fewest occupied slots. */
  backend_server* FindIdleServer(const service_name& aService,
                                 service_state& aState,
                                 instant aNow) noexcept;
  bool IsRunningSuspect(const server_name& aServer) const noexcept;
  bool HasServer(const service_name& aService, instant aNow) const noexcept;
  bool CanMeetDeadline(const dispatch_job& aJob,
                       const service_state& aState,
                       instant aNow) const noexcept;
  void StartJob(dispatch_job aJob,
                backend_server& aServer,
                instant aNow,
                std::vector<dispatcher_action>& aActions);
  void StartQueued(const service_name& aService,
                   service_state& aState,
                   instant aNow,
                   std::vector<dispatcher_action>& aActions);
  running_job PopRunning(std::uint64_t aDispatch);
  void HandleAnswer(const running_job& aJob,
                    http_answer aAnswer,
                    instant aNow,
                    std::vector<dispatcher_action>& aActions);
  void HandleFailure(const running_job& aJob,
                     const backend_failure& aFailure,
                     std::vector<digest> aRunning,
                     instant aNow,
                     std::vector<dispatcher_action>& aActions);
  void Abandon(const running_job& aJob, instant aNow);
  void EjectOutlier(backend_server& aServer, instant aNow) noexcept;
  std::vector<digest> ListFingerprints(const server_name& aServer,
                                       const std::string& aInstance) const;
  static void AppendActions(crash_detector::resolution aResolution,
                            std::vector<dispatcher_action>& aActions);

  std::map<server_name, backend_server> mServers;
  std::map<service_name, service_state> mServices;
  std::unordered_map<std::uint64_t, running_job> mRunning;
  std::unordered_map<std::uint64_t, std::uint64_t> mDispatchByJob;
  std::set<std::pair<instant, std::uint64_t>> mByDeadline;
  std::set<server_name> mServersRunningSuspect;
  crash_detector mCrashDetector;
  std::uint64_t mLastDispatch = 0;
};

} // namespace citronpulley

#endif
