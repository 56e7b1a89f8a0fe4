#ifndef CITRONPULLEY_CONSENSUS_CONSENSUS_H
#define CITRONPULLEY_CONSENSUS_CONSENSUS_H

/**
 * @file
 * Module `consensus`: replicates one log among the control VMs by Raft. It depends on `base`,
 * `wire` and `storage`.
 */

#include "citronpulley/consensus/consensus_group.h"
#include "citronpulley/consensus/group_membership.h"

#endif
