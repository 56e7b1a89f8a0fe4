#ifndef CITRONPULLEY_MEMBERSHIP_MEMBERSHIP_H
#define CITRONPULLEY_MEMBERSHIP_MEMBERSHIP_H

/**
 * @file
 * Module `membership`: failure detection among VMs, the table of live VMs, and the home VMs of
 * backend servers. It depends on `base` and `wire`.
 */

#include "citronpulley/membership/fleet_table.h"
#include "citronpulley/membership/zone_directory.h"

#endif
