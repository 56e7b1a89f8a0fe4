#ifndef CITRONPULLEY_RUNTIME_RUNTIME_H
#define CITRONPULLEY_RUNTIME_RUNTIME_H

/**
 * @file
 * Module `runtime`: threads, sockets, clock, logs and metrics around the pure nodes. It depends on
 * every module but `replay`.
 */

#include "citronpulley/runtime/node_runner.h"

#endif
