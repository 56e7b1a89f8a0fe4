#ifndef CITRONPULLEY_LIMITS_LIMITS_H
#define CITRONPULLEY_LIMITS_LIMITS_H

/**
 * @file
 * Module `limits`: tokens of rates and capacities, at the VM that lends them and at the VMs that
 * spend them. It depends on `base` and `wire`.
 */

#include "citronpulley/limits/rate_ledger.h"
#include "citronpulley/limits/rate_wallet.h"
#include "citronpulley/limits/retry_budget.h"

#endif
