#ifndef CITRONPULLEY_WIRE_WIRE_H
#define CITRONPULLEY_WIRE_WIRE_H

/**
 * @file
 * Module `wire`: the messages between the system's processes, their codec and the authenticated
 * session between two processes. It depends on `base`. `codec.h` is not part of this header because
 * it is heavy.
 */

#include "citronpulley/wire/peer_message.h"
#include "citronpulley/wire/peer_session.h"

#endif
