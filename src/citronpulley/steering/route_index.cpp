#include "citronpulley/steering/route_index.h"

#include <algorithm>
#include <utility>

namespace citronpulley {

route_index::route_index(traffic_config aConfig)
  : mConfig(std::move(aConfig))
{
  for (const route_rule& route : mConfig.mRoutes) {
    mHosts[route.mHost].push_back(&route);
  }
  for (auto& [host, routes] : mHosts) {
    std::ranges::stable_sort(routes, [](const route_rule* aLeft, const route_rule* aRight) {
      return aLeft->mPrefix.size() > aRight->mPrefix.size();
    });
  }
  for (const workspace_rule& workspace : mConfig.mWorkspaces) {
    for (const std::string& key : workspace.mKeys) {
      mKeys.emplace(key, &workspace);
    }
  }
}

const route_rule* route_index::FindRoute(std::string_view aHost, std::string_view aPath) const
{
  const auto host = mHosts.find(aHost);
  if (host == mHosts.end()) {
    return nullptr;
  }
  const auto found = std::ranges::find_if(
    host->second, [aPath](const route_rule* aRoute) { return aPath.starts_with(aRoute->mPrefix); });
  return found == host->second.end() ? nullptr : *found;
}

const workspace_rule* route_index::FindWorkspace(std::string_view aKey) const
{
  const auto found = mKeys.find(aKey);
  return found == mKeys.end() ? nullptr : found->second;
}

const service_rule* route_index::FindService(const service_name& aService) const
{
  const auto found = std::ranges::find(mConfig.mServices, aService, &service_rule::mName);
  return found == mConfig.mServices.end() ? nullptr : &*found;
}

} // namespace citronpulley
