#ifndef CITRONPULLEY_STEERING_ROUTE_INDEX_H
#define CITRONPULLEY_STEERING_ROUTE_INDEX_H

#include "citronpulley/steering/traffic_config.h"

#include <string_view>
#include <unordered_map>
#include <vector>

namespace citronpulley {

/**
 * Index for looking up routes, API keys and services in one version of the configuration.
 * Immutable.
 */
class route_index
{
public:
  explicit route_index(traffic_config aConfig);

  const traffic_config& GetConfig() const noexcept { return mConfig; }

  /**
   * @param aHost host name without a port
   * @param aPath path without the query
   * @return the route with the longest matching prefix, or null
   */
  const route_rule* FindRoute(std::string_view aHost, std::string_view aPath) const;

  /** @return the workspace to which an API key belongs, or null */
  const workspace_rule* FindWorkspace(std::string_view aKey) const;

  /** @return the rule of a service, or null */
  const service_rule* FindService(const service_name& aService) const;

private:
  traffic_config mConfig;
  /** Routes of each host, longest prefix first. Keys and pointers refer into mConfig. */
  std::unordered_map<std::string_view, std::vector<const route_rule*>> mHosts;
  std::unordered_map<std::string_view, const workspace_rule*> mKeys;
};

} // namespace citronpulley

#endif
