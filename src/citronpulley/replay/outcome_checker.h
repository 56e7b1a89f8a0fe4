#ifndef CITRONPULLEY_REPLAY_OUTCOME_CHECKER_H
#define CITRONPULLEY_REPLAY_OUTCOME_CHECKER_H

#include "citronpulley/replay/replay_history.h"
#include "citronpulley/replay/trace.h"

#include <string>
#include <vector>

namespace citronpulley {

/** Result of the checks on a replay. */
struct check_result
{
  /** Outcomes that the trace states. */
  std::size_t mOutcomes = 0;
  /** Differences as `FILE:LINE: what is wrong`; line 0 stands for a rule that holds for all traces.
   */
  std::vector<std::string> mDifferences;
};

/**
 * Compares a history with the outcomes stated in the trace and with the rules that hold for every
 * trace (docs/trace-format.md). It uses no code of the nodes.
 */
check_result CheckHistory(const trace& aTrace, const replay_history& aHistory);

/**
 * Finds the largest number of tokens by which events exceed a rate and burst over any window.
 *
 * @param aTimes times of the events, in ascending order
 * @param aRate events per second
 * @param aBurst events at once
 * @return excess of the worst window; 0 or less when every window is inside
 */
double ComputeWorstExcess(const std::vector<microseconds>& aTimes, double aRate, double aBurst);

/**
 * Finds a quantile.
 *
 * @param aValues values in any order
 * @param aQuantile from 0 to 1
 * @return smallest value that at least this part of the values does not exceed; 0 without values
 */
double ComputeQuantile(std::vector<double> aValues, double aQuantile);

} // namespace citronpulley

#endif
