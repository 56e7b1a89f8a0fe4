#ifndef CITRONPULLEY_RUNTIME_RUNTIME_H
#define CITRONPULLEY_RUNTIME_RUNTIME_H

/**
 * @file
 * Module `runtime`: runs the nodes, which do no input or output, with threads, sockets, a clock,
 * logs and metrics. It depends on all modules except `replay`.
 */

#include "citronpulley/runtime/node_runner.h"

#endif
