#ifndef CITRONPULLEY_DISPATCH_CRASH_DETECTOR_H
#define CITRONPULLEY_DISPATCH_CRASH_DETECTOR_H

#include "citronpulley/dispatch/dispatch_job.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace citronpulley {

/**
 * Lost connections that may mean a crash of a backend server. A lost connection alone is no crash;
 * the next announcement tells. The failures of the lost requests are kept back until then, so that
 * neither this system nor a caller sends a request again before it is known as a suspect.
 */
class crash_detector
{
public:
  /** An announcement that arrives sooner after the loss may have been sent before it. */
  static constexpr microseconds kMaxAnnouncementDelay{ 100'000 };
  /** Time for which a request whose connection this VM closed may still crash its server. */
  static constexpr microseconds kAbandonedLifetime{ 10'000'000 };

  /** What came of lost connections. */
  struct resolution
  {
    /** The crash, or the end of the doubt; nothing when nothing ran on the server. */
    std::optional<crash_report> mReport;
    /** Ends of the jobs that were kept back. */
    std::vector<job_done> mEndedJobs;
  };

  /**
   * Notes a lost connection.
   *
   * @param aServer server whose connection was lost
   * @param aRunning fingerprints of all requests that ran on it, the lost one included
   * @param aEnd end of the lost job
   * @param aNow present time
   * @return true for the first loss since the last judgement
   */
  bool RecordConnectionLoss(const server_name& aServer,
                            std::vector<digest> aRunning,
                            job_done aEnd,
                            instant aNow);

  /** Notes a request whose connection this VM closed; it may run on. */
  void RecordAbandoned(const server_name& aServer, const digest& aFingerprint, instant aNow);

  /** @return true while it is not known whether the server crashed */
  bool IsSuspected(const server_name& aServer) const noexcept { return mLosses.contains(aServer); }

  /** @return true when an announcement of the same run proves that the server did not crash */
  bool CanDismissCrash(const server_name& aServer, instant aNow) const noexcept;

  /** Ends the watch of a server that lives on in the same run. */
  resolution DismissCrash(const server_name& aServer, const std::string& aInstance);

  /**
   * Ends the watch of a server that has a new instance or announces itself no more.
   *
   * @param aServer server
   * @param aInstance the run that ended
   * @param aRunning fingerprints of the requests that still count as running on it
   * @param aNow present time
   */
  resolution ConfirmCrash(const server_name& aServer,
                          const std::string& aInstance,
                          std::vector<digest> aRunning,
                          instant aNow);

private:
  struct connection_loss
  {
    std::vector<digest> mRunning;
    std::vector<job_done> mEndedJobs;
    instant mLostAt;
  };

  std::map<server_name, connection_loss> mLosses;
  std::map<server_name, std::vector<std::pair<instant, digest>>> mAbandoned;
};

} // namespace citronpulley

#endif
