#include "citronpulley/steering/backend_pool.h"

#include <algorithm>

namespace citronpulley {

std::vector<reach_monitor::candidate> backend_pool::ListAccepting(
  const service_name& aService) const
{
  std::vector<reach_monitor::candidate> list;
  const auto service = mServices.find(aService);
  if (service == mServices.end()) {
    return list;
  }
  for (const std::string& id : service->second.mBackends) {
    const backend_record& record = mBackends.at(id).mRecord;
    if (!record.mIsLeaving && !mEvacuatedZones.contains(record.mZone)) {
      list.push_back({ id, record.mZone });
    }
  }
  return list;
}

const backend_record* backend_pool::FindRecord(const std::string& aBackend) const
{
  const auto found = mBackends.find(aBackend);
  return found == mBackends.end() ? nullptr : &found->second.mRecord;
}

bool backend_pool::HasUnreachable(const placement_request& aRequest, instant aNow) const
{
  const auto service = mServices.find(aRequest.mService);
  return service != mServices.end() &&
         std::ranges::any_of(service->second.mBackends, [&](const std::string& aId) {
           const backend& backend = mBackends.at(aId);
           return IsPermitted(backend, aRequest) && backend.mConsecutiveFailures > 0 &&
                  backend.mBackoffUntil <= aNow;
         });
}

} // namespace citronpulley
