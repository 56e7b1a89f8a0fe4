#ifndef CITRONPULLEY_BASE_INSTANT_H
#define CITRONPULLEY_BASE_INSTANT_H

#include <chrono>
#include <cstdint>

namespace citronpulley {

/**
 * Clock of the decision logic. It has no Now(): the caller passes the current time in, from the
 * monotonic clock in a daemon and from the trace in a replay.
 */
struct logic_clock
{
  using rep = std::int64_t;
  using period = std::micro;
  using duration = std::chrono::duration<rep, period>;
  using time_point = std::chrono::time_point<logic_clock>;
  // Name required by the standard library.
  static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)
};

/** Point in monotonic time with a resolution of 1 µs; comparable only within one process. */
using instant = logic_clock::time_point;

/** Span between two instants, in microseconds. */
using microseconds = logic_clock::duration;

/** Point in wall-clock time in milliseconds since 1970 (UTC); used only for times that callers or
 * operators see. */
struct unix_time
{
  std::int64_t mMilliseconds = 0;

  friend constexpr auto operator<=>(const unix_time&, const unix_time&) = default;
};

/** Current time as passed to a node: monotonic time for leases, deadlines and timeouts, and
 * wall-clock time for times that callers or operators see. */
struct current_time
{
  instant mMonotonic;
  unix_time mWallClock;
};

} // namespace citronpulley

#endif
