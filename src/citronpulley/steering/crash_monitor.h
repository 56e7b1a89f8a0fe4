#ifndef CITRONPULLEY_STEERING_CRASH_MONITOR_H
#define CITRONPULLEY_STEERING_CRASH_MONITOR_H

#include "citronpulley/base/digest.h"
#include "citronpulley/base/identifiers.h"
#include "citronpulley/base/instant.h"
#include "citronpulley/steering/backend_crash.h"
#include "citronpulley/steering/backend_start.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>

namespace citronpulley {

/**
 * Finds out which requests a backend server was running when it crashed without closing its
 * connections. Such a crash looks like a slow backend server or a cut link at first, so a request
 * without a response only raises a suspicion. It is confirmed when a later process start replaces
 * the one that had the request, and dropped when that one responds again or leaves as planned.
 * Answers the load of a request that silences one backend server after the other. Does no input or
 * output. Not thread-safe.
 */
class crash_monitor
{
public:
  /**
   * Time after an answer in which a request is not held responsible for a crash. Callers that share
   * a request have it in progress at any backend server that crashes.
   */
  static constexpr microseconds kAnswerLifetime{ 5'000'000 };
  /**
   * Time until a suspicion is dropped: a crashed backend server is back after some seconds, and its
   * announcement may be late by some more.
   */
  static constexpr microseconds kSuspicionLifetime{ 20'000'000 };
  /**
   * Time for which a replaced process start is remembered: requests that were sent to it may wait
   * for their deadline still.
   */
  static constexpr microseconds kReplacementLifetime{ 60'000'000 };
  static constexpr std::size_t kMaxAnswers = 4'096;
  /** Maximum number of suspected process starts, and of requests of each. */
  static constexpr std::size_t kMaxSuspicions = 1'000;
  static constexpr std::size_t kMaxRequests = 200;

  /**
   * Records that a backend server ran a request and responded. Beyond `kMaxAnswers` requests in the
   * lifetime of an answer, further ones are not remembered.
   */
  void RecordAnswered(const digest& aRequest, instant aNow);

  /** @return true when a backend server answered the request within `kAnswerLifetime` */
  bool IsAnsweredLately(const digest& aRequest, instant aNow) const;

  /**
   * Drops the suspicion of a process start that responded again or left as planned, or whose crash
   * is known.
   */
  void ClearSuspicion(const backend_start& aStart) { mSuspicions.erase(aStart); }

  /**
   * Records that a request was sent to a process start and ended without a response.
   *
   * @return the crash, when the process start is known to have been replaced
   */
  std::optional<backend_crash> RecordUnanswered(const backend_start& aStart,
                                                const service_name& aService,
                                                const digest& aRequest,
                                                instant aNow);

  /**
   * Records that a later process start uses the identity or the address of one that did not leave
   * as planned.
   *
   * @return the crash, when requests to the replaced one ended without a response
   */
  std::optional<backend_crash> HandleReplaced(const backend_start& aStart, instant aNow);

  std::size_t CountSuspicions() const noexcept { return mSuspicions.size(); }

private:
  struct suspicion
  {
    service_name mService;
    instant mExpiresAt;
    std::set<digest> mRequests;
  };

  std::map<backend_start, suspicion> mSuspicions;
  /** Time until which each replaced process start is remembered. */
  std::map<backend_start, instant> mReplacedUntil;
  /** Time until which the latest answer to each request counts. */
  std::map<digest, instant> mAnsweredUntil;
  instant mNextExpiryAt;
};

} // namespace citronpulley

#endif
