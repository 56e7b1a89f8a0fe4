#ifndef CITRONPULLEY_CONFIG_CATALOGUE_H
#define CITRONPULLEY_CONFIG_CATALOGUE_H

#include "citronpulley/base/identifiers.h"
#include "citronpulley/base/instant.h"
#include "citronpulley/config/config_fault.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace citronpulley {

/** Call that a service makes to another one for each request that it serves. */
struct service_dependency
{
  service_name mService;
  /** Mean number of calls for one request; zero or more. */
  double mCallsPerRequest = 1.0;

  friend auto operator<=>(const service_dependency&, const service_dependency&) = default;
};

/** Rule for the requests of a service whose method and path match. */
struct service_route
{
  /** Path prefix below the service, such as `/stock`; the longest match counts. */
  std::string mPathPrefix;
  /** HTTP methods in capitals; empty means every method. */
  std::vector<std::string> mMethods;
  bool mIsIdempotent = false;
  /** Open to callers without a key. */
  bool mIsOpen = false;
  /** Callers may mark requests as urgent. */
  bool mAllowsUrgent = false;
  /** Longest time that a request may take, in milliseconds. */
  std::int64_t mDeadlineMilliseconds = 0;

  friend auto operator<=>(const service_route&, const service_route&) = default;
};

/** Service that backend servers offer. */
struct service_entry
{
  service_name mName;
  std::vector<service_dependency> mDependencies;
  std::vector<service_route> mRoutes;
  /** Largest number of connections to the service's backend servers together. */
  std::int64_t mMaxConnections = 0;
  /** Largest change of a region's share in percent points per minute. */
  double mShiftCapPercentPerMinute = 0;
  /** The same after the loss of a region. */
  double mEmergencyCapPercentPerMinute = 0;

  friend auto operator<=>(const service_entry&, const service_entry&) = default;
};

/** Region with its zones and its capacity. */
struct region_entry
{
  region_name mName;
  std::vector<zone_name> mZones;
  /** Requests per second that the region may get, calls of dependencies included. */
  double mCapacityPerSecond = 0;

  friend auto operator<=>(const region_entry&, const region_entry&) = default;
};

/** Link between two regions; the same both ways. */
struct link_entry
{
  region_name mFrom;
  region_name mTo;
  double mGigabitsPerSecond = 0;
  double mOneWayMilliseconds = 0;

  friend auto operator<=>(const link_entry&, const link_entry&) = default;
};

/** Workspace with what it bought. */
struct workspace_entry
{
  workspace_name mName;
  double mRatePerSecond = 0;
  double mBurst = 0;

  friend auto operator<=>(const workspace_entry&, const workspace_entry&) = default;
};

/** Block of client addresses and the region that is nearest to it. */
struct client_block
{
  /** Network in CIDR notation, such as `10.2.0.0/16`. */
  std::string mNetwork;
  region_name mRegion;

  friend auto operator<=>(const client_block&, const client_block&) = default;
};

/** Weights of the deployment's measures; only their ratios count. */
struct steering_weights
{
  double mLatency = 1;
  double mWorstWorkspace = 1;
  double mRefusals = 1;
  double mHeadroom = 1;

  friend auto operator<=>(const steering_weights&, const steering_weights&) = default;
};

/** Content of the operators' text; made by ParseCatalogue() alone, and never changed. */
struct catalogue
{
  std::string mDeployment;
  /** Name of the routing policy plug-in. */
  std::string mRoutingPolicy;
  /** Time in which a repeated idempotency key is recognised, in seconds. */
  std::int64_t mIdempotencyWindowSeconds = 0;
  steering_weights mWeights;
  std::vector<region_entry> mRegions;
  std::vector<link_entry> mLinks;
  std::vector<service_entry> mServices;
  std::vector<workspace_entry> mWorkspaces;
  std::vector<client_block> mClientBlocks;
  /** Regions that planned work empties. */
  std::vector<region_name> mDrainedRegions;
  /** Zones that planned work empties. */
  std::vector<zone_name> mDrainedZones;

  /** @return the service, or null when the text has none of that name */
  const service_entry* FindService(const service_name& aName) const noexcept;
  /** @return the workspace, or null when the text has none of that name */
  const workspace_entry* FindWorkspace(const workspace_name& aName) const noexcept;
  /** @return the region, or null when the text has none of that name */
  const region_entry* FindRegion(const region_name& aName) const noexcept;
  /** @return the region that holds a zone, or null */
  const region_entry* FindRegionOfZone(const zone_name& aZone) const noexcept;
  /** @return the one-way latency between two regions in milliseconds; 0 inside one region */
  double GetOneWayMilliseconds(const region_name& aFrom, const region_name& aTo) const noexcept;

  friend auto operator<=>(const catalogue&, const catalogue&) = default;
};

/**
 * Finds the rule for a request.
 *
 * @param aService service that the request names
 * @param aMethod HTTP method in capitals
 * @param aPath path below the service, with its leading slash
 * @return the route with the longest matching prefix, or null
 */
const service_route* FindRoute(const service_entry& aService,
                               std::string_view aMethod,
                               std::string_view aPath) noexcept;

/**
 * Parses and checks an operators' text as a whole.
 *
 * @param aText TOML text
 * @param aFile name of the file for the faults
 * @param aFaults gets every fault
 * @param aPolicies names of the routing policies that the text may choose; empty allows any name
 * @return the catalogue, or nothing when there is any fault
 */
std::optional<catalogue> ParseCatalogue(std::string_view aText,
                                        const std::string& aFile,
                                        config_faults& aFaults,
                                        const std::vector<std::string>& aPolicies = {});

} // namespace citronpulley

#endif
