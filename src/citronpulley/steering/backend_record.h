#ifndef CITRONPULLEY_STEERING_BACKEND_RECORD_H
#define CITRONPULLEY_STEERING_BACKEND_RECORD_H

#include "citronpulley/base/identifiers.h"

#include <cstdint>
#include <string>

namespace citronpulley {

/** What a backend server says of itself. */
struct backend_record
{
  /** Identity of one backend server; it may outlive a restart. */
  std::string mId;
  service_name mService;
  server_name mAddress;
  zone_name mZone;
  std::uint32_t mSlots = 0;
  /** It finishes its requests and takes no new ones. */
  bool mIsLeaving = false;
  /** Start of its process in Unix milliseconds; tells restarts under one identity apart. */
  std::int64_t mStartedAtMs = 0;
  /** Rises with each announcement of one start. */
  std::uint64_t mSequence = 0;
  /** Time for which it stays slow, counted from the announcement. */
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
