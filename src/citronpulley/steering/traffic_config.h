#ifndef CITRONPULLEY_STEERING_TRAFFIC_CONFIG_H
#define CITRONPULLEY_STEERING_TRAFFIC_CONFIG_H

#include "citronpulley/base/identifiers.h"
#include "citronpulley/base/instant.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/**
 * @file
 * Configuration of direct steering: routes, services, workspaces and limits for callers.
 */

namespace citronpulley {

/** Version of a configuration; 0 before the first one. */
using config_version = std::uint64_t;

/** Service of a route with its share of the route's requests. */
struct weighted_service
{
  service_name mService;
  double mWeight = 1;

  friend bool operator==(const weighted_service&, const weighted_service&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mService, mWeight);
  }
};

/** Rule for the requests to one host whose path starts with a prefix. */
struct route_rule
{
  std::string mName;
  std::string mHost;
  /** Begins and ends with a slash. */
  std::string mPrefix;
  /** Requests may be retried even if they may have run. */
  bool mIsIdempotent = false;
  /** Requests need no API key. */
  bool mIsOpen = false;
  /**
   * Requests have an affinity key: a backend server is faster for objects that it handled recently.
   */
  bool mIsSticky = false;
  /** Priority of the requests; 0 is the most urgent. */
  int mPriority = 0;
  /** Maximum number of backend servers to which one request is sent. */
  int mMaxAttempts = 1;
  /** Maximum time until the caller gets a response; absent means no limit. */
  std::optional<microseconds> mTimeout;
  /** Response time objective; a later response still has some use until the timeout. */
  std::optional<microseconds> mObjective;
  std::vector<weighted_service> mServices;
  /** Regions in which the requests may run; empty permits every region. */
  std::vector<region_name> mPermittedRegions;

  friend bool operator==(const route_rule&, const route_rule&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mName,
             mHost,
             mPrefix,
             mIsIdempotent,
             mIsOpen,
             mIsSticky,
             mPriority,
             mMaxAttempts,
             mTimeout,
             mObjective,
             mServices,
             mPermittedRegions);
  }
};

/** API keys, rate limit and permitted regions of a workspace. */
struct workspace_rule
{
  workspace_name mName;
  std::vector<std::string> mKeys;
  /** Overrides the priority of the route. */
  std::optional<int> mPriority;
  /** Requests per second; 0 means no limit. */
  double mRate = 0;
  double mBurst = 0;
  std::vector<region_name> mPermittedRegions;

  friend bool operator==(const workspace_rule&, const workspace_rule&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mName, mKeys, mPriority, mRate, mBurst, mPermittedRegions);
  }
};

/** Settings of a service to which backend servers belong. */
struct service_rule
{
  service_name mName;
  /** Maximum number of connections that one backend server accepts from all VMs together. */
  std::uint64_t mMaxConnections = 0;
  /** Requests per second that a cold backend server can handle; 0 means no limit. */
  double mWarmupRate = 0;

  friend bool operator==(const service_rule&, const service_rule&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mName, mMaxConnections, mWarmupRate);
  }
};

/** Limits on the size and the timing of requests from callers. */
struct caller_limits
{
  std::uint32_t mMaxHeaderBytes = 16'384;
  std::uint64_t mMaxBodyBytes = 67'108'864;
  microseconds mHeaderTimeout{ 3'000'000 };
  microseconds mIdleTimeout{ 15'000'000 };

  friend bool operator==(const caller_limits&, const caller_limits&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mMaxHeaderBytes, mMaxBodyBytes, mHeaderTimeout, mIdleTimeout);
  }
};

/** One version of the configuration. */
struct traffic_config
{
  config_version mVersion = 0;
  /** Version from which this one was derived. */
  config_version mBase = 0;
  caller_limits mLimits;
  std::vector<workspace_rule> mWorkspaces;
  std::vector<route_rule> mRoutes;
  std::vector<service_rule> mServices;
  /** Values of the text that this version does not know, and what is done instead. */
  std::vector<std::string> mWarnings;

  friend bool operator==(const traffic_config&, const traffic_config&) = default;
};

/**
 * Validates a configuration. Whether its version follows the one in force is checked by the
 * replicated state.
 *
 * @return description of the first fault, or nothing when the configuration is valid
 */
std::optional<std::string> FindFault(const traffic_config& aConfig);

} // namespace citronpulley

#endif
