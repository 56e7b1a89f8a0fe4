#ifndef CITRONPULLEY_RUNTIME_SYSTEM_CLOCK_H
#define CITRONPULLEY_RUNTIME_SYSTEM_CLOCK_H

#include "citronpulley/base/instant.h"

namespace citronpulley {

/**
 * @return the current time of the VM. The monotonic part includes the time during which the VM was
 *         suspended, so that leases expire meanwhile.
 */
current_time ReadCurrentTime() noexcept;

} // namespace citronpulley

#endif
