#ifndef CITRONPULLEY_FLEET_FLEET_H
#define CITRONPULLEY_FLEET_FLEET_H

/**
 * @file
 * Overview of the module `fleet`: how entry VMs and control VMs of direct steering act together.
 * `fleet_control` makes all decisions of a control VM: the replicated `fleet_state`, the soft lists
 * of `backend_registry` and `entry_registry`, the rates of `workspace_ledger`, and what
 * `backend_health_table` makes of the outcomes of all entry VMs. `entry_steering` makes those of an
 * entry VM. `fleet_message` is what they say to each other. All of it is pure.
 */

#include "citronpulley/fleet/backend_health_table.h"
#include "citronpulley/fleet/backend_registry.h"
#include "citronpulley/fleet/entry_registry.h"
#include "citronpulley/fleet/entry_steering.h"
#include "citronpulley/fleet/fleet_control.h"
#include "citronpulley/fleet/fleet_message.h"
#include "citronpulley/fleet/fleet_state.h"
#include "citronpulley/fleet/workspace_ledger.h"

#endif
