#ifndef CITRONPULLEY_NODE_NODE_H
#define CITRONPULLEY_NODE_NODE_H

/**
 * @file
 * Module `node`: decision logic of an entry VM and of a control VM, composed of the modules without
 * I/O. It depends on every module except `replay` and `runtime`.
 */

#include "citronpulley/node/control_node.h"
#include "citronpulley/node/entry_node.h"

#endif
