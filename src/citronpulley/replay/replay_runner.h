#ifndef CITRONPULLEY_REPLAY_REPLAY_RUNNER_H
#define CITRONPULLEY_REPLAY_REPLAY_RUNNER_H

#include "citronpulley/base/result.h"
#include "citronpulley/replay/replay_history.h"
#include "citronpulley/replay/trace.h"

#include <string>

namespace citronpulley {

/**
 * Runs the nodes of a trace in virtual time. The same trace gives the same history on every run.
 *
 * @param aTrace trace without faults
 * @param aPolicy routing policy that replaces the one of each operators' text; empty to keep it
 * @return what could be seen from outside, or an error when the trace needs what the driver lacks
 */
result<replay_history> RunTrace(const trace& aTrace, const std::string& aPolicy = "");

} // namespace citronpulley

#endif
