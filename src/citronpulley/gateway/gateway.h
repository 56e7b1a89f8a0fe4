#ifndef CITRONPULLEY_GATEWAY_GATEWAY_H
#define CITRONPULLEY_GATEWAY_GATEWAY_H

/**
 * @file
 * Overview of the module `gateway`: the processes of direct steering. `entry_gateway` and
 * `control_gateway` connect the pure decisions of `fleet` with sockets, the disk, the clock, the
 * log and the metrics. A `wire_dialect` translates names and formats of the outside world. Not
 * pure.
 */

#include "citronpulley/gateway/control_gateway.h"
#include "citronpulley/gateway/entry_gateway.h"
#include "citronpulley/gateway/gateway_settings.h"
#include "citronpulley/gateway/wire_dialect.h"

#endif
