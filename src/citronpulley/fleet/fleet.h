#ifndef CITRONPULLEY_FLEET_FLEET_H
#define CITRONPULLEY_FLEET_FLEET_H

/**
 * @file
 * Overview of the module `fleet`: how entry VMs and control VMs cooperate in direct steering.
 * `fleet_control` makes all decisions of a control VM. It uses the replicated `fleet_state`, the
 * soft state of `backend_registry` and `entry_registry`, the rate tokens of `workspace_ledger`, and
 * the health that `backend_health_table` derives from the outcomes at all entry VMs;
 * `backend_status_table` tells loads and health to the entry VMs.
 * `entry_steering` makes the decisions of an entry VM; `relay_pool` chooses another entry VM for
 * requests while this one does not reach the backend servers. `fleet_message` defines the messages
 * between them. None of them does input or output.
 */

#include "citronpulley/fleet/backend_health_table.h"
#include "citronpulley/fleet/backend_limit_ledger.h"
#include "citronpulley/fleet/backend_registry.h"
#include "citronpulley/fleet/backend_status_table.h"
#include "citronpulley/fleet/entry_registry.h"
#include "citronpulley/fleet/entry_steering.h"
#include "citronpulley/fleet/fleet_control.h"
#include "citronpulley/fleet/fleet_message.h"
#include "citronpulley/fleet/fleet_state.h"
#include "citronpulley/fleet/workspace_ledger.h"

#endif
