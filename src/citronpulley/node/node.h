#ifndef CITRONPULLEY_NODE_NODE_H
#define CITRONPULLEY_NODE_NODE_H

/**
 * @file
 * Module `node`: all decisions of an entry VM and of a control VM, composed of the pure modules. It
 * depends on every module but `replay` and `runtime`.
 */

#include "citronpulley/node/control_node.h"
#include "citronpulley/node/entry_node.h"

#endif
