#ifndef CITRONPULLEY_STEERING_STEERING_H
#define CITRONPULLEY_STEERING_STEERING_H

/**
 * @file
 * Overview of the module `steering`: what an entry VM needs to send a request straight to a backend
 * server. `traffic_config` and `route_index` say what may run, `backend_pool` where,
 * `workspace_meter` how much, and `run_time_estimate` how long it usually takes. All of it is pure.
 */

#include "citronpulley/steering/backend_pool.h"
#include "citronpulley/steering/backend_record.h"
#include "citronpulley/steering/key_hash.h"
#include "citronpulley/steering/load_report.h"
#include "citronpulley/steering/outcome_tally.h"
#include "citronpulley/steering/route_index.h"
#include "citronpulley/steering/run_time_estimate.h"
#include "citronpulley/steering/traffic_config.h"
#include "citronpulley/steering/workspace_meter.h"

#endif
