#ifndef CITRONPULLEY_STEERING_BACKEND_RECORD_H
#define CITRONPULLEY_STEERING_BACKEND_RECORD_H

#include "citronpulley/base/identifiers.h"

#include <cstdint>
#include <string>

namespace citronpulley {

/** Description of a backend server, as announced by itself. */
struct backend_record
{
  /** Identity of the backend server; it may stay the same across restarts. */
  std::string mId;
  service_name mService;
  server_name mAddress;
  zone_name mZone;
  std::uint32_t mSlots = 0;
  /** The backend server drains: it finishes its requests and accepts no new ones. */
  bool mIsLeaving = false;
  /** Start of the process in Unix milliseconds; distinguishes restarts under one identity. */
  std::int64_t mStartedAtMs = 0;
  /** Sequence number of the announcement; it rises within one process start. */
  std::uint64_t mSequence = 0;
  /** Remaining warm-up time, counted from the announcement. */
  std::int64_t mColdForMs = 0;

  friend auto operator<=>(const backend_record&, const backend_record&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(
      mId, mService, mAddress, mZone, mSlots, mIsLeaving, mStartedAtMs, mSequence, mColdForMs);
  }
};

} // namespace citronpulley

#endif
