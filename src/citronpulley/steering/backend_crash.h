#ifndef CITRONPULLEY_STEERING_BACKEND_CRASH_H
#define CITRONPULLEY_STEERING_BACKEND_CRASH_H

#include "citronpulley/base/digest.h"
#include "citronpulley/base/identifiers.h"
#include "citronpulley/steering/backend_start.h"

#include <compare>
#include <vector>

namespace citronpulley {

/** Crash of a backend server, and the requests that it may have been running. */
struct backend_crash
{
  backend_start mStart;
  service_name mService;
  /** Fingerprints of the requests that got no response. */
  std::vector<digest> mRequests;

  friend auto operator<=>(const backend_crash&, const backend_crash&) = default;
};

} // namespace citronpulley

#endif
