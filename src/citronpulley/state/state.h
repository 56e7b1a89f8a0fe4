#ifndef CITRONPULLEY_STATE_STATE_H
#define CITRONPULLEY_STATE_STATE_H

/**
 * @file
 * Module `state`: the replicated state machine of the control group, and the read-only copy of the
 * part of it that entry VMs need. It depends on `base`, `config` and `wire`.
 */

#include "citronpulley/state/apply_result.h"
#include "citronpulley/state/command.h"
#include "citronpulley/state/control_state.h"
#include "citronpulley/state/state_view.h"

#endif
