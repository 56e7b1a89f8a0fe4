#include "citronpulley/replay/trace.h"

namespace citronpulley {

microseconds trace_delays::GetDelay(const trace_vm& aFrom,
                                    const std::string& aZone,
                                    const std::string& aRegion,
                                    microseconds aSameZoneDelay) const
{
  if (aFrom.mRegion == aRegion) {
    return aFrom.mZone == aZone ? aSameZoneDelay : mBetweenZones;
  }
  const auto link = mRegionPairs.find({ aFrom.mRegion, aRegion });
  return link == mRegionPairs.end() ? mBetweenRegions : link->second;
}

bool trace::IsSelectedBy(const trace_vm& aVm, std::string_view aSelector) noexcept
{
  return aSelector == "*" || aSelector == aVm.mName || aSelector == aVm.mDeclaredName ||
         aSelector == aVm.mZone || aSelector == aVm.mRegion;
}

bool trace::IsSelectedBy(const trace_server& aServer, std::string_view aSelector) noexcept
{
  return aSelector == "*" || aSelector == aServer.mName || aSelector == aServer.mDeclaredName ||
         aSelector == aServer.mZone || aSelector == aServer.mRegion;
}

std::vector<std::string> trace::ListEntryVms(std::string_view aSelector) const
{
  std::vector<std::string> names;
  for (const trace_vm& vm : mVms) {
    if (!vm.mIsControl && IsSelectedBy(vm, aSelector)) {
      names.push_back(vm.mName);
    }
  }
  return names;
}

std::vector<std::string> trace::ListServers(std::string_view aSelector) const
{
  std::vector<std::string> names;
  for (const trace_server& server : mServers) {
    if (IsSelectedBy(server, aSelector)) {
      names.push_back(server.mName);
    }
  }
  return names;
}

} // namespace citronpulley
