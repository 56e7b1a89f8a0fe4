#ifndef CITRONPULLEY_REPLAY_REPLAY_RUNNER_H
#define CITRONPULLEY_REPLAY_REPLAY_RUNNER_H

#include "citronpulley/base/result.h"
#include "citronpulley/replay/replay_history.h"
#include "citronpulley/replay/trace.h"

#include <string>

namespace citronpulley {

/**
 * Replays a trace: runs its nodes in virtual time. The same trace gives the same history on every
 * run.
 *
 * @param aTrace trace from ReadTrace()
 * @param aPolicy routing policy that replaces the one in each configuration text; empty to keep it
 * @return the history, or an error when the number of control VMs is not supported
 */
result<replay_history> RunTrace(const trace& aTrace, const std::string& aPolicy = "");

} // namespace citronpulley

#endif
