#ifndef CITRONPULLEY_CONSENSUS_CONSENSUS_H
#define CITRONPULLEY_CONSENSUS_CONSENSUS_H

/**
 * @file
 * Module `consensus`: agreement of the control VMs on one log. It depends on `base`, `wire` and
 * `storage`.
 */

#include "citronpulley/consensus/consensus_group.h"
#include "citronpulley/consensus/group_membership.h"

#endif
