#ifndef CITRONPULLEY_ROUTING_ROUTING_H
#define CITRONPULLEY_ROUTING_ROUTING_H

/**
 * @file
 * Module `routing`: choice of the zone and the backend server for a request. Policies are plug-ins.
 * It depends on `base` and `config`.
 */

#include "citronpulley/routing/routing_policy.h"

#endif
