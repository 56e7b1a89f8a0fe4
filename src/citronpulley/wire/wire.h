#ifndef CITRONPULLEY_WIRE_WIRE_H
#define CITRONPULLEY_WIRE_WIRE_H

/**
 * @file
 * Module `wire`: the messages between the processes of a deployment, their codec and the
 * authenticated session between two processes. It depends on `base`. `codec.h` is not included here
 * because it is slow to compile.
 */

#include "citronpulley/wire/peer_message.h"
#include "citronpulley/wire/peer_session.h"

#endif
