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

/** Calls that a service makes to another service while it serves a request. */
struct service_dependency
{
  service_name mService;
  /** Mean number of calls per request; zero or more. */
  double mCallsPerRequest = 1.0;

  friend auto operator<=>(const service_dependency&, const service_dependency&) = default;
};

/** Rules for the requests to a service that match a method and a path prefix. */
struct service_route
{
  /** Path prefix relative to the service, such as `/stock`; the longest matching prefix applies. */
  std::string mPathPrefix;
  /** HTTP methods in upper case; empty to match every method. */
  std::vector<std::string> mMethods;
  bool mIsIdempotent = false;
  /** True when callers without a key are allowed. */
  bool mIsOpen = false;
  /** True when callers may mark requests as urgent. */
  bool mAllowsUrgent = false;
  /** Maximum duration of a request, in milliseconds. */
  std::int64_t mDeadlineMilliseconds = 0;

  friend auto operator<=>(const service_route&, const service_route&) = default;
};

/** Service that backend servers offer. */
struct service_entry
{
  service_name mName;
  std::vector<service_dependency> mDependencies;
  std::vector<service_route> mRoutes;
  /** Maximum number of connections to all backend servers of the service together. */
  std::int64_t mMaxConnections = 0;
  /** Shift cap: maximum change of a region's share, in percentage points per minute. */
  double mShiftCapPercentPerMinute = 0;
  /** Shift cap that applies after the loss of a region, in percentage points per minute. */
  double mEmergencyCapPercentPerMinute = 0;

  friend auto operator<=>(const service_entry&, const service_entry&) = default;
};

/** Region with its zones and its capacity. */
struct region_entry
{
  region_name mName;
  std::vector<zone_name> mZones;
  /** Maximum number of requests per second in the region, including calls to dependencies. */
  double mCapacityPerSecond = 0;

  friend auto operator<=>(const region_entry&, const region_entry&) = default;
};

/** Network link between two regions, with the same properties in both directions. */
struct link_entry
{
  region_name mFrom;
  region_name mTo;
  double mGigabitsPerSecond = 0;
  double mOneWayMilliseconds = 0;

  friend auto operator<=>(const link_entry&, const link_entry&) = default;
};

/** Workspace with the rate and burst that it is entitled to. */
struct workspace_entry
{
  workspace_name mName;
  double mRatePerSecond = 0;
  double mBurst = 0;

  friend auto operator<=>(const workspace_entry&, const workspace_entry&) = default;
};

/** Block of client addresses with its nearest region. */
struct client_block
{
  /** Network in CIDR notation, such as `10.2.0.0/16`. */
  std::string mNetwork;
  region_name mRegion;

  friend auto operator<=>(const client_block&, const client_block&) = default;
};

/** Weights of the deployment's measures in steering decisions; only their ratios matter. */
struct steering_weights
{
  double mLatency = 1;
  double mWorstWorkspace = 1;
  double mRefusals = 1;
  double mHeadroom = 1;

  friend auto operator<=>(const steering_weights&, const steering_weights&) = default;
};

/** Parsed content of the operators' catalogue file. It is created by ParseCatalogue() only and
 * never modified. */
struct catalogue
{
  std::string mDeployment;
  /** Name of the routing policy plug-in. */
  std::string mRoutingPolicy;
  /** Time for which a repeated idempotency key is recognised, in seconds. */
  std::int64_t mIdempotencyWindowSeconds = 0;
  steering_weights mWeights;
  std::vector<region_entry> mRegions;
  std::vector<link_entry> mLinks;
  std::vector<service_entry> mServices;
  std::vector<workspace_entry> mWorkspaces;
  std::vector<client_block> mClientBlocks;
  /** Regions that are drained for planned maintenance. */
  std::vector<region_name> mDrainedRegions;
  /** Zones that are drained for planned maintenance. */
  std::vector<zone_name> mDrainedZones;

  /** @return the service, or null when the catalogue has none of that name */
  const service_entry* FindService(const service_name& aName) const noexcept;
  /** @return the workspace, or null when the catalogue has none of that name */
  const workspace_entry* FindWorkspace(const workspace_name& aName) const noexcept;
  /** @return the region, or null when the catalogue has none of that name */
  const region_entry* FindRegion(const region_name& aName) const noexcept;
  /** @return the region that contains a zone, or null when the zone is unknown */
  const region_entry* FindRegionOfZone(const zone_name& aZone) const noexcept;
  /** @return the one-way latency between two regions in milliseconds; 0 inside one region and for
   * regions without a link */
  double GetOneWayMilliseconds(const region_name& aFrom, const region_name& aTo) const noexcept;

  friend auto operator<=>(const catalogue&, const catalogue&) = default;
};

/**
 * Finds the route for a request.
 *
 * @param aService service that the request addresses
 * @param aMethod HTTP method in upper case
 * @param aPath path relative to the service, with its leading slash
 * @return the route with the longest matching prefix, or null when no route matches
 */
const service_route* FindRoute(const service_entry& aService,
                               std::string_view aMethod,
                               std::string_view aPath) noexcept;

/**
 * Parses and validates a catalogue text. Parsing continues after a fault, so that all faults are
 * reported at once.
 *
 * @param aText TOML text
 * @param aFile file name to report in faults
 * @param aFaults all faults found are appended to it
 * @param aPolicies names of the available routing policies; empty accepts any name
 * @return the catalogue, or nothing when the text has any fault
 */
std::optional<catalogue> ParseCatalogue(std::string_view aText,
                                        const std::string& aFile,
                                        config_faults& aFaults,
                                        const std::vector<std::string>& aPolicies = {});

} // namespace citronpulley

#endif
