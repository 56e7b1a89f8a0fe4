#ifndef CITRONPULLEY_ROUTING_ROUTING_H
#define CITRONPULLEY_ROUTING_ROUTING_H

/**
 * @file
 * Module `routing`: look-up of client blocks, order of entry VMs for a client, choice of the zone
 * and the backend server for a request, and the controller that shifts traffic among regions.
 * Routing policies are plug-ins. The module depends on `base`, `config`, `wire` and `state`.
 */

#include "citronpulley/routing/client_block_table.h"
#include "citronpulley/routing/entry_vm_order.h"
#include "citronpulley/routing/routing_policy.h"
#include "citronpulley/routing/shift_controller.h"
#include "citronpulley/routing/steering_model.h"
#include "citronpulley/routing/zone_router.h"

#endif
