#ifndef CITRONPULLEY_GATEWAY_CLOCK_H
#define CITRONPULLEY_GATEWAY_CLOCK_H

#include "citronpulley/base/instant.h"

namespace citronpulley {

/**
 * @return present time of a clock that also counts the time for which the VM was suspended, so that
 * a lease does not outlive a suspension
 */
instant GetBootTime() noexcept;

} // namespace citronpulley

#endif
