#ifndef CITRONPULLEY_ROUTING_ROUTING_H
#define CITRONPULLEY_ROUTING_ROUTING_H

/**
 * @file
 * Module `routing`: look-up of client blocks, order of entry VMs, choice of the zone and the
 * backend server for a request. Policies are plug-ins. It depends on `base`, `config`, `wire` and
 * `state`.
 */

#include "citronpulley/routing/client_block_table.h"
#include "citronpulley/routing/entry_vm_order.h"
#include "citronpulley/routing/routing_policy.h"
#include "citronpulley/routing/zone_router.h"

#endif
