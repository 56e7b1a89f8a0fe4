#ifndef CITRONPULLEY_GATEWAY_CLOCK_H
#define CITRONPULLEY_GATEWAY_CLOCK_H

#include "citronpulley/base/instant.h"

namespace citronpulley {

/**
 * @return the current time of the boot clock (`CLOCK_BOOTTIME`), which is monotonic and advances
 * while the VM is suspended, so that a lease also expires during a suspension
 */
instant GetBootTime() noexcept;

} // namespace citronpulley

#endif
