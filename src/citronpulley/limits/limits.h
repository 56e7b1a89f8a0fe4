#ifndef CITRONPULLEY_LIMITS_LIMITS_H
#define CITRONPULLEY_LIMITS_LIMITS_H

/**
 * @file
 * Module `limits`: tokens that enforce rates and capacities, both at the VM that grants them and at
 * the VMs that spend them. It depends on `base`, `config` and `wire`.
 */

#include "citronpulley/limits/admission.h"
#include "citronpulley/limits/demand_table.h"
#include "citronpulley/limits/grant_authority.h"
#include "citronpulley/limits/rate_ledger.h"
#include "citronpulley/limits/retry_budget.h"
#include "citronpulley/limits/static_share.h"
#include "citronpulley/limits/token_pool.h"
#include "citronpulley/limits/token_unit.h"

#endif
