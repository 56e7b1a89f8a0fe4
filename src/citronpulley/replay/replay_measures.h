#ifndef CITRONPULLEY_REPLAY_REPLAY_MEASURES_H
#define CITRONPULLEY_REPLAY_REPLAY_MEASURES_H

#include "citronpulley/replay/replay_history.h"
#include "citronpulley/replay/trace.h"

#include <string>

namespace citronpulley {

/**
 * Computes the five measures of section 1.4 of the design from the history of a replay.
 *
 * @return JSON object with `latency_ms`, `headroom`, `drain_ms`, `worst_workspace` and
 * `refused_inside_rate`; docs/trace-format.md defines each of them
 */
std::string MeasureHistory(const trace& aTrace, const replay_history& aHistory);

} // namespace citronpulley

#endif
