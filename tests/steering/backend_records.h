#ifndef CITRONPULLEY_TESTS_STEERING_BACKEND_RECORDS_H
#define CITRONPULLEY_TESTS_STEERING_BACKEND_RECORDS_H

#include "citronpulley/steering/backend_record.h"

#include <cstdint>
#include <string>

namespace citronpulley {

/** @return record of a backend server of the service `stock` in zone `a` */
inline backend_record MakeStockRecord(const std::string& aId, std::int64_t aStartedAtMs)
{
  backend_record record;
  record.mId = aId;
  record.mService = service_name("stock");
  record.mAddress = server_name("10.0.0.1:80");
  record.mZone = zone_name("a");
  record.mSlots = 4;
  record.mStartedAtMs = aStartedAtMs;
  return record;
}

} // namespace citronpulley

#endif
