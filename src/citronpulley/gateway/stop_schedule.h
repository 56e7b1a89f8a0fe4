#ifndef CITRONPULLEY_GATEWAY_STOP_SCHEDULE_H
#define CITRONPULLEY_GATEWAY_STOP_SCHEDULE_H

#include "citronpulley/base/instant.h"

namespace citronpulley {

/**
 * Decides which requests an entry VM still takes after the stop signal, and when it ends. Answers
 * the load of a stop under traffic: callers keep their connections for some seconds, and a request
 * that is taken must end before the process does. Does no input or output.
 */
class stop_schedule
{
public:
  /** Time after the signal in which requests are taken that probably end in time. */
  static constexpr microseconds kGenerousTime{ 3'000'000 };
  /**
   * Fractions of the grace period at which requests must have ended, at which the process ends when
   * it is idle, at which all requests that are left get an answer, and at which it ends in any
   * case.
   */
  static constexpr double kRequestsEndFraction = 0.9;
  static constexpr double kEndWhenIdleFraction = 0.85;
  static constexpr double kAnswerAllFraction = 0.92;
  static constexpr double kEndFraction = 0.95;

  /**
   * @param aSignalledAt time of the stop signal
   * @param aGracePeriod time from the signal to the latest end of the process
   */
  stop_schedule(instant aSignalledAt, microseconds aGracePeriod) noexcept;

  /**
   * @param aDeadline time at which the request ends at the latest
   * @param aExpectedEnd time at which it probably ends
   * @return true when the request may be taken, or sent to a backend server once more
   */
  bool MayTake(instant aDeadline, instant aExpectedEnd, instant aNow) const noexcept;

  /** @return true when requests that are left get an answer now, since the process ends soon */
  bool MustAnswerAll(instant aNow) const noexcept { return aNow >= mAnswerAllAt; }

  /** @param aIsIdle no request and no response is in progress */
  bool IsOver(bool aIsIdle, instant aNow) const noexcept;

private:
  instant mGenerousUntil;
  instant mRequestsEndAt;
  instant mEndWhenIdleAt;
  instant mAnswerAllAt;
  instant mEndAt;
};

} // namespace citronpulley

#endif
