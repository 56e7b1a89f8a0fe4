#ifndef CITRONPULLEY_BASE_INSTANT_H
#define CITRONPULLEY_BASE_INSTANT_H

#include <chrono>
#include <cstdint>

namespace citronpulley {

/**
 * Clock of the decision logic. It has no Now(): the caller of the logic passes the time in, from
 * the monotonic clock in a daemon and from the trace in a replay.
 */
struct logic_clock
{
  using rep = std::int64_t;
  using period = std::micro;
  using duration = std::chrono::duration<rep, period>;
  using time_point = std::chrono::time_point<logic_clock>;
  // The name is the standard library's.
  static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)
};

/** Point in monotonic time with a resolution of 1 µs; comparable only inside one process. */
using instant = logic_clock::time_point;

/** Span between two instants, in microseconds. */
using microseconds = logic_clock::duration;

/** Point in wall-clock time in milliseconds since 1970; used only where a caller or operator sees
 * it. */
struct unix_time
{
  std::int64_t mMilliseconds = 0;

  friend constexpr auto operator<=>(const unix_time&, const unix_time&) = default;
};

/** Present time as a node gets it: monotonic time for leases, wall-clock time for callers. */
struct current_time
{
  instant mMonotonic;
  unix_time mWallClock;
};

} // namespace citronpulley

#endif
