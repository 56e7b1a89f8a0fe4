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

/** Fake backend servers in virtual time; they record each run. */
class simulated_servers
{
public:
  /** Takes the outcome of a request that reached a server. */
  using finish_handler = std::function<void(backend_outcome)>;

  simulated_servers(const trace& aTrace,
                    virtual_time_scheduler& aScheduler,
                    replay_history& aHistory);

  /** @return address that the server announces */
  static std::string MakeAddress(std::size_t aServer);

  /** @return position of the server with an address, or nothing */
  std::optional<std::size_t> FindByAddress(const std::string& aAddress) const;

  /**
   * Takes a request that has arrived at a server.
   *
   * @param aOnFinished called at most once, when the answer or the failure leaves the server
   * @return number of the run for Cancel(), or 0 when the server refused the connection
   */
  std::uint64_t HandleRequest(std::size_t aServer,
                              const backend_request& aRequest,
                              finish_handler aOnFinished);

  /** The connection of a run was closed: the server gives it up. */
  void Cancel(std::uint64_t aRun);

  /** Applies an event of the trace that names servers. */
  void Apply(const trace_entry& aEvent);

  /** @return body of the announcement that the server would send now, or nothing */
  std::optional<std::string> MakeAnnouncement(std::size_t aServer) const;

  /** @return true when the process runs */
  bool IsUp(std::size_t aServer) const { return mServers[aServer].mIsUp; }

private:
  struct behaviour
  {
    std::string mPath;
    std::string mMode;
    double mFactor = 1;
    std::uint16_t mStatus = 500;
    microseconds mRestartAfter{ 0 };
  };

  struct server_state
  {
    bool mIsUp = true;
    bool mIsLeaving = false;
    std::uint64_t mInstance = 1;
    microseconds mStartedAt{ 0 };
    std::vector<behaviour> mBehaviours;
    std::set<std::uint64_t> mRuns;
    std::string mReportMode = "normal";
    std::int64_t mReportedRunning = 0;
    double mReportedLoad = 0;
  };

  struct active_run
  {
    std::size_t mServer;
    std::size_t mRecordIndex;
    finish_handler mOnFinished;
  };

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
