#include "citronpulley/gateway/clock.h"

#include <ctime>

namespace citronpulley {

instant GetBootTime() noexcept
{
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return instant(microseconds(static_cast<std::int64_t>(time.tv_sec) * 1'000'000 +
                              static_cast<std::int64_t>(time.tv_nsec) / 1'000));
}

} // namespace citronpulley
