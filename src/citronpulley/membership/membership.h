#ifndef CITRONPULLEY_MEMBERSHIP_MEMBERSHIP_H
#define CITRONPULLEY_MEMBERSHIP_MEMBERSHIP_H

/**
 * @file
 * Module `membership`: which VMs live and where backend servers are homed. It depends on `base` and
 * `wire`.
 */

#include "citronpulley/membership/fleet_table.h"
#include "citronpulley/membership/zone_directory.h"

#endif
