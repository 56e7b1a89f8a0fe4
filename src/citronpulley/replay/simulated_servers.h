#ifndef CITRONPULLEY_REPLAY_SIMULATED_SERVERS_H
#define CITRONPULLEY_REPLAY_SIMULATED_SERVERS_H

#include "citronpulley/dispatch/backend_dispatcher.h"
#include "citronpulley/replay/replay_history.h"
#include "citronpulley/replay/trace.h"
#include "citronpulley/replay/virtual_time_scheduler.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace citronpulley {

/** Simulates the backend servers of a trace in virtual time and records each run of a request. */
class simulated_servers
{
public:
  /** Receives the outcome of a request that reached a server. */
  using finish_handler = std::function<void(backend_outcome)>;

  simulated_servers(const trace& aTrace,
                    virtual_time_scheduler& aScheduler,
                    replay_history& aHistory);

  /** @return address that the server announces, from its position in the trace */
  static std::string MakeAddress(std::size_t aServer);

  /** @return position of the server with an address, or nothing */
  std::optional<std::size_t> FindByAddress(const std::string& aAddress) const;

  /**
   * Runs a request that has arrived at a server according to the server's current behaviour.
   *
   * @param aOnFinished called at most once, when the server sends the answer or the connection
   * fails
   * @return number of the run for Cancel(), or 0 when the server is down and refused the connection
   */
  std::uint64_t HandleRequest(std::size_t aServer,
                              const backend_request& aRequest,
                              finish_handler aOnFinished);

  /** Abandons a run whose connection was closed by the entry VM; no outcome is reported. */
  void Cancel(std::uint64_t aRun);

  /** Applies a `server_...` event of the trace. */
  void Apply(const trace_entry& aEvent);

  /** @return body of the server's next announcement; nothing when it currently sends none */
  std::optional<std::string> MakeAnnouncement(std::size_t aServer) const;

  /** @return true when the process of the server runs */
  bool IsUp(std::size_t aServer) const { return mServers[aServer].mIsUp; }

private:
  /** Behaviour that a `server_behaviour` event set for the requests of a path prefix. */
  struct behaviour
  {
    std::string mPath;
    /** `normal`, `slow`, `fail`, `crash` or `silent` (never answers). */
    std::string mMode;
    /** Factor of the service time for `slow`. */
    double mFactor = 1;
    /** HTTP status for `fail`. */
    std::uint16_t mStatus = 500;
    /** Time from a `crash` to the restart. */
    microseconds mRestartAfter{ 0 };
  };

  struct server_state
  {
    bool mIsUp = true;
    bool mIsLeaving = false;
    /** Number of the process run; larger after each restart. */
    std::uint64_t mInstance = 1;
    microseconds mStartedAt{ 0 };
    std::vector<behaviour> mBehaviours;
    /** Numbers of the active runs. */
    std::set<std::uint64_t> mRuns;
    /**
     * What announcements report: `normal` the true load, `frozen` or `fixed` the values below,
     * `absent` no load; `stopped` sends no announcements.
     */
    std::string mReportMode = "normal";
    std::int64_t mReportedRunning = 0;
    double mReportedLoad = 0;
  };

  struct active_run
  {
    std::size_t mServer;
    /** Index in replay_history::mRuns. */
    std::size_t mRecordIndex;
    finish_handler mOnFinished;
  };

  /** @return behaviour with the longest matching path prefix, or null */
  const behaviour* FindBehaviour(const server_state& aServer, const std::string& aPath) const;
  void StartServer(std::size_t aServer);
  void CrashServer(std::size_t aServer, microseconds aRestartAfter);
  void FinishRun(std::uint64_t aRun, backend_outcome aOutcome);
  std::string MakeAnswerBody(const run_record& aRun, const backend_request& aRequest) const;
  static double ComputeLoad(std::int64_t aRunning, std::int64_t aSlots);

  const trace& mTrace;
  virtual_time_scheduler& mScheduler;
  replay_history& mHistory;
  std::vector<server_state> mServers;
  std::map<std::uint64_t, active_run> mRuns;
  std::map<std::string, std::size_t> mServersByAddress;
  std::uint64_t mLastRun = 0;
};

} // namespace citronpulley

#endif
