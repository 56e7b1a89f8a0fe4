#ifndef CITRONPULLEY_DISPATCH_BACKEND_DISPATCHER_H
#define CITRONPULLEY_DISPATCH_BACKEND_DISPATCHER_H

#include "citronpulley/base/identifiers.h"
#include "citronpulley/base/instant.h"
#include "citronpulley/base/result.h"
#include "citronpulley/wire/request_messages.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace citronpulley {

/** Request that is to run on a backend server homed on this VM. */
struct dispatch_job
{
  /** Number by which the owner of the job knows it. */
  std::uint64_t mJob = 0;
  service_name mService;
  workspace_name mWorkspace;
  instant mDeadline;
  bool mIsUrgent = false;
  bool mRunsAlone = false;
  digest mFingerprint;
  backend_request mRequest;

  friend auto operator<=>(const dispatch_job&, const dispatch_job&) = default;
};

/** Sends a request to a backend server. */
struct send_to_backend
{
  std::uint64_t mDispatch = 0;
  server_name mServer;
  instant mDeadline;
  backend_request mRequest;

  friend auto operator<=>(const send_to_backend&, const send_to_backend&) = default;
};

/** Gives up a request that was sent; its connection is closed. */
struct cancel_backend
{
  std::uint64_t mDispatch = 0;

  friend auto operator<=>(const cancel_backend&, const cancel_backend&) = default;
};

/** Ends a job with the server's answer or a failure. */
struct job_done
{
  std::uint64_t mJob = 0;
  server_name mServer;
  std::variant<http_answer, request_failure> mOutcome;

  friend auto operator<=>(const job_done&, const job_done&) = default;
};

/** What the dispatcher wants done. */
using dispatcher_action = std::variant<send_to_backend, cancel_backend, job_done, crash_report>;

/** How a request to a backend server ended without a whole answer. */
struct backend_failure
{
  error mError;
  /** False only when no byte of the request was sent. */
  bool mMayHaveRun = true;

  friend bool operator==(const backend_failure&, const backend_failure&) = default;
};

/** Whole answer of a backend server, or the failure. */
using backend_outcome = std::variant<http_answer, backend_failure>;

/**
 * Backend servers whose home is this VM, and the requests that run on them.
 *
 * It alone sends requests to these servers, so that the number of running requests is exact and
 * stays at or under each server's slots. Pure: time comes in, actions go out.
 */
class backend_dispatcher
{
public:
  /** Time for which an announcement holds. */
  static constexpr microseconds kHoldPeriod{ 3'000'000 };
  /** Most jobs that wait for a slot of one service. */
  static constexpr std::size_t kMaxQueuedJobs = 256;

  /**
   * Takes an announcement.
   *
   * @param aAnnouncement what the server says of itself
   * @param aMayHaveOtherHome true when another VM may have sent work to this run of the server
   * within the last hold period; the server then gets no work until that period is over
   * @param aNow present time
   * @param aActions gets the actions
   */
  void Announce(const server_announcement& aAnnouncement,
                bool aMayHaveOtherHome,
                instant aNow,
                std::vector<dispatcher_action>& aActions);

  /** Takes a job; it starts at once, waits for a slot, or ends as `not_run`. */
  void Submit(dispatch_job aJob, instant aNow, std::vector<dispatcher_action>& aActions);

  /** Takes the outcome of a request that was sent. A late or repeated outcome changes nothing. */
  void Finish(std::uint64_t aDispatch,
              backend_outcome aOutcome,
              instant aNow,
              std::vector<dispatcher_action>& aActions);

  /** Drops a job whose caller has gone. */
  void Cancel(std::uint64_t aJob, std::vector<dispatcher_action>& aActions);

  /** Ends what has reached its deadline and drops servers whose announcement no longer holds. */
  void Tick(instant aNow, std::vector<dispatcher_action>& aActions);

  /** @return true when the server is homed here and its announcement holds */
  bool IsHomed(const server_name& aServer, instant aNow) const noexcept;

  /** @return servers homed here, in order of their names */
  std::vector<homed_server> ListServers(instant aNow) const;

  /** @return number of jobs that run or wait */
  std::size_t GetJobCount() const noexcept;

private:
  struct server_state
  {
    server_announcement mAnnouncement;
    instant mHoldsUntil;
    instant mWorkFrom;
    std::uint32_t mRunning = 0;
    bool mRunsSuspect = false;
    double mHealth = 1;
  };

  struct running_job
  {
    dispatch_job mJob;
    server_name mServer;
    std::string mInstance;
  };

  static bool TakesWork(const server_state& aServer, instant aNow) noexcept;
  static bool HasRoom(const server_state& aServer, const dispatch_job& aJob, instant aNow) noexcept;
  server_state* FindRoom(const dispatch_job& aJob, instant aNow) noexcept;
  bool HasServer(const service_name& aService, instant aNow) const noexcept;
  void Start(dispatch_job aJob, server_state& aServer, std::vector<dispatcher_action>& aActions);
  void StartQueued(instant aNow, std::vector<dispatcher_action>& aActions);
  void Release(const running_job& aJob, double aScore);
  void ReportCrash(const running_job& aJob, std::vector<dispatcher_action>& aActions) const;

  std::map<server_name, server_state> mServers;
  std::map<std::uint64_t, running_job> mRunning;
  std::map<service_name, std::deque<dispatch_job>> mQueues;
  std::uint64_t mLastDispatch = 0;
};

} // namespace citronpulley

#endif
