#ifndef CITRONPULLEY_STEERING_BACKEND_START_H
#define CITRONPULLEY_STEERING_BACKEND_START_H

#include <compare>
#include <cstdint>
#include <string>

namespace citronpulley {

/** One process start of a backend server; the identity may stay the same across starts. */
struct backend_start
{
  std::string mBackend;
  /** Unix milliseconds. */
  std::int64_t mStartedAtMs = 0;

  friend auto operator<=>(const backend_start&, const backend_start&) = default;
};

/** @return the form that crash notices and logs use, `IDENTITY/START` */
inline std::string ToString(const backend_start& aStart)
{
  return aStart.mBackend + "/" + std::to_string(aStart.mStartedAtMs);
}

} // namespace citronpulley

#endif
