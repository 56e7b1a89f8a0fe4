#ifndef CITRONPULLEY_GATEWAY_GATEWAY_H
#define CITRONPULLEY_GATEWAY_GATEWAY_H

/**
 * @file
 * Overview of the module `gateway`: the processes of direct steering. `entry_gateway` and
 * `control_gateway` run the decision logic of `fleet`, which does no I/O, and connect it to
 * sockets, the disk, the clock, the log and the metrics. A `wire_dialect` translates the header
 * names, paths and body formats of a deployment's platform. Requests that one entry VM sends on to
 * another one carry the fields of `relay_fields`. This module does I/O.
 */

#include "citronpulley/gateway/control_gateway.h"
#include "citronpulley/gateway/entry_gateway.h"
#include "citronpulley/gateway/gateway_settings.h"
#include "citronpulley/gateway/wire_dialect.h"

#endif
