#include "citronpulley/replay/trace.h"

namespace citronpulley {

microseconds trace_delays::Find(const trace_vm& aFrom,
                                const std::string& aZone,
                                const std::string& aRegion,
                                microseconds aInsideZone) const
{
  if (aFrom.mRegion == aRegion) {
    return aFrom.mZone == aZone ? aInsideZone : mBetweenZones;
  }
  const auto link = mRegionPairs.find({ aFrom.mRegion, aRegion });
  return link == mRegionPairs.end() ? mBetweenRegions : link->second;
}

bool trace::IsNamed(const trace_vm& aVm, std::string_view aName) noexcept
{
  return aName == "*" || aName == aVm.mName || aName == aVm.mDeclaredName || aName == aVm.mZone ||
         aName == aVm.mRegion;
}

bool trace::IsNamed(const trace_server& aServer, std::string_view aName) noexcept
{
  return aName == "*" || aName == aServer.mName || aName == aServer.mDeclaredName ||
         aName == aServer.mZone || aName == aServer.mRegion;
}

std::vector<std::string> trace::FindEntryVms(std::string_view aName) const
{
  std::vector<std::string> names;
  for (const trace_vm& vm : mVms) {
    if (!vm.mIsControl && IsNamed(vm, aName)) {
      names.push_back(vm.mName);
    }
  }
  return names;
}

std::vector<std::string> trace::FindServers(std::string_view aName) const
{
  std::vector<std::string> names;
  for (const trace_server& server : mServers) {
    if (IsNamed(server, aName)) {
      names.push_back(server.mName);
    }
  }
  return names;
}

} // namespace citronpulley
