#ifndef CITRONPULLEY_STEERING_ROUTE_INDEX_H
#define CITRONPULLEY_STEERING_ROUTE_INDEX_H

#include "citronpulley/steering/traffic_config.h"

#include <string_view>
#include <unordered_map>
#include <vector>

namespace citronpulley {

/** Look-up of routes and keys in one version of the configuration. Immutable once built. */
class route_index
{
public:
  explicit route_index(traffic_config aConfig);

  const traffic_config& GetConfig() const noexcept { return mConfig; }

  /**
   * @param aHost host without a port
   * @param aPath path without query
   * @return the route with the longest matching prefix, or null
   */
  const route_rule* FindRoute(std::string_view aHost, std::string_view aPath) const;

  /** @return the workspace that holds a key, or null */
  const workspace_rule* FindWorkspace(std::string_view aKey) const;

  /** @return the rules of a service, or null */
  const service_rule* FindService(const service_name& aService) const;

private:
  traffic_config mConfig;
  /** Routes of each host, longest prefix first. The views refer to mConfig. */
  std::unordered_map<std::string_view, std::vector<const route_rule*>> mHosts;
  std::unordered_map<std::string_view, const workspace_rule*> mKeys;
};

} // namespace citronpulley

#endif
