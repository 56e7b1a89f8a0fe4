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
  /** Number of outcomes that the trace expects. */
  std::size_t mOutcomes = 0;
  /**
   * Differences as `FILE:LINE: description`. The line is that of the expected outcome in the trace,
   * or 0 for a violated invariant of all traces.
   */
  std::vector<std::string> mDifferences;
};

/**
 * Compares a history with the outcomes that the trace expects and with the invariants of all traces
 * (docs/trace-format.md). It uses no code of the nodes, so that a fault in the nodes cannot
 * hide a difference.
 */
check_result CheckHistory(const trace& aTrace, const replay_history& aHistory);

/**
 * Computes the largest number of events above what a token bucket with this rate and burst allows,
 * over all time windows.
 *
 * @param aTimes times of the events, in ascending order
 * @param aRate refill rate of the bucket in events per second
 * @param aBurst capacity of the bucket
 * @return excess of the worst window; 0 or less when every window is within rate and burst
 */
double ComputeWorstExcess(const std::vector<microseconds>& aTimes, double aRate, double aBurst);

/**
 * Computes a quantile by the nearest-rank method.
 *
 * @param aValues values in any order
 * @param aQuantile from 0 to 1
 * @return smallest value such that at least this fraction of the values is not larger; 0 without
 * values
 */
double ComputeQuantile(std::vector<double> aValues, double aQuantile);

} // namespace citronpulley

#endif
