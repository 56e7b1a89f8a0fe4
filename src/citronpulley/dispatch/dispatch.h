#ifndef CITRONPULLEY_DISPATCH_DISPATCH_H
#define CITRONPULLEY_DISPATCH_DISPATCH_H

/**
 * @file
 * Module `dispatch`: queueing and dispatching of requests at the home VM of the backend servers
 * that run them. It depends on `base` and `wire`.
 */

#include "citronpulley/dispatch/backend_dispatcher.h"
#include "citronpulley/dispatch/backend_server.h"
#include "citronpulley/dispatch/crash_detector.h"
#include "citronpulley/dispatch/dispatch_job.h"
#include "citronpulley/dispatch/job_queue.h"

#endif
