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
 * Configuration of direct steering: what callers may ask for and where it may run.
 */

namespace citronpulley {

/** Version of a configuration; 0 before the first one. */
using config_version = std::uint64_t;

/** Part of a route's requests that goes to one service. */
struct weighted_service
{
  service_name mService;
  double mWeight = 1;

  friend bool operator==(const weighted_service&, const weighted_service&) = default;
};

/** Requests of one host below one path prefix. */
struct route_rule
{
  std::string mName;
  std::string mHost;
  /** Begins and ends with a slash. */
  std::string mPrefix;
  /** A request may run more than once. */
  bool mIsIdempotent = false;
  /** Served without a key. */
  bool mIsOpen = false;
  /** Backend servers are faster for an object that they have handled lately. */
  bool mIsSticky = false;
  /** Rank; 0 is the most urgent. */
  int mPriority = 0;
  /** Backend servers to which one request may be sent. */
  int mMaxAttempts = 1;
  /** Longest time for which a caller is kept waiting; absent without a limit. */
  std::optional<microseconds> mTimeout;
  /** Time within which a response has its full worth. */
  std::optional<microseconds> mObjective;
  std::vector<weighted_service> mServices;
  /** Empty when every region is allowed. */
  std::vector<region_name> mPermittedRegions;

  friend bool operator==(const route_rule&, const route_rule&) = default;
};

/** Limits and keys of a workspace. */
struct workspace_rule
{
  workspace_name mName;
  std::vector<std::string> mKeys;
  /** Replaces the rank of the route. */
  std::optional<int> mPriority;
  /** Requests per second; 0 without a limit. */
  double mRate = 0;
  double mBurst = 0;
  std::vector<region_name> mPermittedRegions;

  friend bool operator==(const workspace_rule&, const workspace_rule&) = default;
};

/** Service that backend servers announce. */
struct service_rule
{
  service_name mName;
  /** Connections that one backend server accepts from all VMs together. */
  std::size_t mMaxConnections = 0;
  /** Requests per second that a cold backend server tolerates; 0 without a limit. */
  double mWarmupRate = 0;

  friend bool operator==(const service_rule&, const service_rule&) = default;
};

/** What a caller may send, and how slowly. */
struct caller_limits
{
  std::uint32_t mMaxHeaderBytes = 16'384;
  std::uint64_t mMaxBodyBytes = 67'108'864;
  microseconds mHeaderTimeout{ 3'000'000 };
  microseconds mIdleTimeout{ 15'000'000 };

  friend bool operator==(const caller_limits&, const caller_limits&) = default;
};

/** One version of the configuration. */
struct traffic_config
{
  config_version mVersion = 0;
  /** Version on which this one builds. */
  config_version mBase = 0;
  caller_limits mLimits;
  std::vector<workspace_rule> mWorkspaces;
  std::vector<route_rule> mRoutes;
  std::vector<service_rule> mServices;

  friend bool operator==(const traffic_config&, const traffic_config&) = default;
};

/**
 * Checks what a configuration says as a whole; its version is checked by the state that accepts it.
 *
 * @return the first fault, or nothing when the configuration is valid
 */
std::optional<std::string> FindFault(const traffic_config& aConfig);

} // namespace citronpulley

#endif
