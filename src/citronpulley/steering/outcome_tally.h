#ifndef CITRONPULLEY_STEERING_OUTCOME_TALLY_H
#define CITRONPULLEY_STEERING_OUTCOME_TALLY_H

#include <cstdint>

namespace citronpulley {

/** Outcomes of requests at one backend server. */
struct outcome_tally
{
  std::uint32_t mAnswers = 0;
  /** Errors, lost or late responses and failed connections. */
  std::uint32_t mFailures = 0;
  /** Sum over the answers of the logarithm of run time to the usual run time of the route. */
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
