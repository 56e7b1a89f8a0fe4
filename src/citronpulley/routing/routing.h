#ifndef CITRONPULLEY_ROUTING_ROUTING_H
#define CITRONPULLEY_ROUTING_ROUTING_H

/**
 * @file
 * Module `routing`: look-up of client blocks, order of entry VMs, choice of the zone and the
 * backend server for a request, control of shifts. Policies are plug-ins. It depends on `base`,
 * `config`, `wire` and `state`.
 */

#include "citronpulley/routing/client_block_table.h"
#include "citronpulley/routing/entry_vm_order.h"
#include "citronpulley/routing/routing_policy.h"
#include "citronpulley/routing/shift_controller.h"
#include "citronpulley/routing/steering_model.h"
#include "citronpulley/routing/zone_router.h"

#endif
