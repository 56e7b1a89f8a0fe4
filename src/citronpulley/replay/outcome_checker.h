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

} // namespace citronpulley

#endif
