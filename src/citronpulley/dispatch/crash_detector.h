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
 * Decides whether lost connections to a backend server were caused by a crash of the server.
 *
 * A lost connection alone is no proof; the next announcement shows whether the server runs on. The
 * failures of the lost requests are withheld until then, so that neither this system nor a caller
 * sends a request again before it is known as a crash suspect.
 */
class crash_detector
{
public:
  /** An announcement that arrives within this time after the loss may have been sent before it. */
  static constexpr microseconds kMaxAnnouncementDelay{ 100'000 };
  /** Time for which a request whose connection this VM closed may still be running and crash its
   * server. */
  static constexpr microseconds kAbandonedLifetime{ 10'000'000 };

  /** Result of the decision about the lost connections of a server. */
  struct resolution
  {
    /** Report of the crash, or of the end of the suspicion; empty when no request was running. */
    std::optional<crash_report> mReport;
    /** Withheld results of the lost jobs. */
    std::vector<job_done> mEndedJobs;
  };

  /**
   * Records a lost connection and withholds the result of its job.
   *
   * @param aServer server whose connection was lost
   * @param aRunning fingerprints of all requests that ran on it, including the lost one
   * @param aDone result of the lost job
   * @param aNow current time
   * @return true for the first loss since the last decision about the server
   */
  bool RecordConnectionLoss(const server_name& aServer,
                            std::vector<digest> aRunning,
                            job_done aDone,
                            instant aNow);

  /** Records a request whose connection this VM closed; it may still be running on the server. */
  void RecordAbandoned(const server_name& aServer, const digest& aFingerprint, instant aNow);

  /** @return true after a connection loss, until it is decided whether the server crashed */
  bool IsSuspected(const server_name& aServer) const noexcept { return mLosses.contains(aServer); }

  /** @return true when an announcement of the same run, received now, proves that the server did
   * not crash */
  bool CanDismissCrash(const server_name& aServer, instant aNow) const noexcept;

  /** Ends the suspicion of a server that is still in the same run. @return the report and the
   * withheld results; both empty when the server was not suspected */
  resolution DismissCrash(const server_name& aServer, const std::string& aInstance);

  /**
   * Reports the end of a run, when the server has a new instance or has stopped its announcements.
   *
   * @param aServer server that crashed
   * @param aInstance instance of the run that ended
   * @param aRunning fingerprints of the requests that still count as running on it; replaced by
   * those of the first connection loss, if there was one; recently abandoned requests are added
   * @param aNow current time
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
  /** For each server the requests whose connection was closed: time of closing and fingerprint. */
  std::map<server_name, std::vector<std::pair<instant, digest>>> mAbandoned;
};

} // namespace citronpulley

#endif
