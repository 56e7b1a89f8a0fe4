#ifndef CITRONPULLEY_REPLAY_OUTCOME_STATISTICS_H
#define CITRONPULLEY_REPLAY_OUTCOME_STATISTICS_H

#include "citronpulley/base/instant.h"

#include <vector>

namespace citronpulley {

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
