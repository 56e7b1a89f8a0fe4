#ifndef CITRONPULLEY_REPLAY_REPLAY_H
#define CITRONPULLEY_REPLAY_REPLAY_H

/**
 * @file
 * Module `replay`: reads recorded traces, runs the nodes on them in virtual time, and checks the
 * expected outcomes against the recorded history alone. docs/trace-format.md describes the format.
 */

#include "citronpulley/replay/control_vm_driver.h"
#include "citronpulley/replay/outcome_checker.h"
#include "citronpulley/replay/outcome_statistics.h"
#include "citronpulley/replay/replay_history.h"
#include "citronpulley/replay/replay_measures.h"
#include "citronpulley/replay/replay_runner.h"
#include "citronpulley/replay/simulated_servers.h"
#include "citronpulley/replay/trace.h"
#include "citronpulley/replay/trace_entry.h"
#include "citronpulley/replay/trace_rules.h"
#include "citronpulley/replay/virtual_time_scheduler.h"

#endif
