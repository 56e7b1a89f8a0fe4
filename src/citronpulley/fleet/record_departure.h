#ifndef CITRONPULLEY_FLEET_RECORD_DEPARTURE_H
#define CITRONPULLEY_FLEET_RECORD_DEPARTURE_H

#include <cstdint>
#include <string>

namespace citronpulley {

/** One start of a backend server takes no new requests any more. */
struct record_departure
{
  std::string mBackend;
  std::int64_t mStartedAtMs = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mBackend, mStartedAtMs);
  }
};

} // namespace citronpulley

#endif
