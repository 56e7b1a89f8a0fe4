#ifndef CITRONPULLEY_RUNTIME_SYSTEM_CLOCK_H
#define CITRONPULLEY_RUNTIME_SYSTEM_CLOCK_H

#include "citronpulley/base/instant.h"

namespace citronpulley {

/**
 * @return the machine's present time. The monotonic part counts the time in which the machine was
 *         suspended, so that a lease runs out meanwhile.
 */
current_time ReadPresentTime() noexcept;

} // namespace citronpulley

#endif
