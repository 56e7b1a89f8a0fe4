#include "citronpulley/runtime/system_clock.h"

#include <chrono>
#include <ctime>

namespace citronpulley {

current_time ReadCurrentTime() noexcept
{
  timespec boot{};
  clock_gettime(CLOCK_BOOTTIME, &boot);
  const microseconds sinceBoot =
    std::chrono::seconds(boot.tv_sec) +
    std::chrono::duration_cast<microseconds>(std::chrono::nanoseconds(boot.tv_nsec));
  const auto wallClock = std::chrono::duration_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
  return { instant(sinceBoot), { wallClock.count() } };
}

} // namespace citronpulley
