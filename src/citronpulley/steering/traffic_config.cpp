#include "citronpulley/steering/traffic_config.h"

#include <set>

namespace citronpulley {

namespace {

/** Maximum timeout of a route. */
constexpr microseconds kMaxTimeout{ 600'000'000 };
/**
 * An objective that exceeds the timeout by this amount or more is rejected as an operator's
 * mistake.
 */
constexpr microseconds kMaxObjectiveExcess{ 60'000'000 };

std::optional<std::string> FindRouteFault(const route_rule& aRoute,
                                          const std::set<service_name>& aServices)
{
  if (aRoute.mPrefix.empty() || aRoute.mPrefix.front() != '/' || aRoute.mPrefix.back() != '/') {
    return "the prefix of route " + aRoute.mName + " does not begin and end with a slash";
  }
  double sum = 0;
  for (const weighted_service& weighted : aRoute.mServices) {
    if (!aServices.contains(weighted.mService)) {
      return "route " + aRoute.mName + " names the unknown service " + weighted.mService.mValue;
    }
    if (weighted.mWeight < 0) {
      return "route " + aRoute.mName + " has a weight below 0";
    }
    sum += weighted.mWeight;
  }
  if (sum <= 0) {
    return "the weights of route " + aRoute.mName + " add up to 0";
  }
  if (aRoute.mTimeout && *aRoute.mTimeout > kMaxTimeout) {
    return "the timeout of route " + aRoute.mName + " is over ten minutes";
  }
  if (aRoute.mTimeout && aRoute.mObjective &&
      *aRoute.mObjective >= *aRoute.mTimeout + kMaxObjectiveExcess) {
    return "the objective of route " + aRoute.mName + " is far above its timeout";
  }
  if (aRoute.mMaxAttempts < 0) {
    return "route " + aRoute.mName + " has a negative number of attempts";
  }
  return std::nullopt;
}

} // namespace

std::optional<std::string> FindFault(const traffic_config& aConfig)
{
  if (aConfig.mVersion == 0) {
    return "the version is 0";
  }
  std::set<service_name> services;
  for (const service_rule& service : aConfig.mServices) {
    services.insert(service.mName);
  }
  for (const route_rule& route : aConfig.mRoutes) {
    if (std::optional<std::string> fault = FindRouteFault(route, services)) {
      return fault;
    }
  }
  std::set<std::string> keys;
  for (const workspace_rule& workspace : aConfig.mWorkspaces) {
    for (const std::string& key : workspace.mKeys) {
      if (!keys.insert(key).second) {
        return "workspace " + workspace.mName.mValue + " has a key that stands twice";
      }
    }
    if (workspace.mRate < 0 || workspace.mBurst < 0) {
      return "workspace " + workspace.mName.mValue + " has a negative rate or burst";
    }
  }
  return std::nullopt;
}

} // namespace citronpulley
