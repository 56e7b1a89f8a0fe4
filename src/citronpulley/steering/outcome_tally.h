#ifndef CITRONPULLEY_STEERING_OUTCOME_TALLY_H
#define CITRONPULLEY_STEERING_OUTCOME_TALLY_H

#include <cstdint>

namespace citronpulley {

/** Counts of the outcomes of requests at one backend server. */
struct outcome_tally
{
  std::uint32_t mAnswers = 0;
  /**
   * Error responses, lost connections, timeouts, failed connections, and requests that the backend
   * server did not run, unless the load that it reported fills its slots.
   */
  std::uint32_t mFailures = 0;
  /** Sum over the answered requests of log(run time / usual run time of the route). */
  double mLogSlownessSum = 0;

  bool IsEmpty() const noexcept { return mAnswers == 0 && mFailures == 0; }

  friend bool operator==(const outcome_tally&, const outcome_tally&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mAnswers, mFailures, mLogSlownessSum);
  }
};

} // namespace citronpulley

#endif
