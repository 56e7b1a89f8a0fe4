#ifndef CITRONPULLEY_STEERING_STEERING_H
#define CITRONPULLEY_STEERING_STEERING_H

/**
 * @file
 * Overview of the module `steering`: the parts with which an entry VM sends requests directly to
 * backend servers. `traffic_config` and `route_index` define which requests are permitted and where
 * they may run, `backend_pool` chooses the backend server, `workspace_meter` enforces the rates of
 * workspaces, `run_time_estimate` estimates run times, and `reach_monitor` decides whether this VM
 * is cut off from the backend servers of a service. None of them does input or output.
 */

#include "citronpulley/steering/backend_pool.h"
#include "citronpulley/steering/backend_record.h"
#include "citronpulley/steering/key_hash.h"
#include "citronpulley/steering/load_report.h"
#include "citronpulley/steering/outcome_tally.h"
#include "citronpulley/steering/reach_monitor.h"
#include "citronpulley/steering/route_index.h"
#include "citronpulley/steering/run_time_estimate.h"
#include "citronpulley/steering/traffic_config.h"
#include "citronpulley/steering/workspace_meter.h"

#endif
