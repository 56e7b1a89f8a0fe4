#ifndef CITRONPULLEY_STEERING_CONFIG_DELTA_H
#define CITRONPULLEY_STEERING_CONFIG_DELTA_H

#include "citronpulley/base/result.h"
#include "citronpulley/steering/traffic_config.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/**
 * @file
 * Changes from one version of the configuration to another.
 */

namespace citronpulley {

/** Host and path prefix, which identify a route within a configuration. */
struct route_key
{
  std::string mHost;
  std::string mPrefix;

  friend auto operator<=>(const route_key&, const route_key&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mHost, mPrefix);
  }
};

/** @return what identifies an element within a configuration */
route_key GetKey(const route_rule& aRoute);
const workspace_name& GetKey(const workspace_rule& aWorkspace);
const service_name& GetKey(const service_rule& aService);

/** What turns one version of the configuration into another. */
struct config_delta
{
  /** Version to which the delta is applied; 0 when it contains the whole configuration. */
  config_version mFrom = 0;
  /** Version and base of the resulting configuration. */
  config_version mVersion = 0;
  config_version mBase = 0;
  caller_limits mLimits;
  /** New and changed elements, and the identities of removed ones. */
  std::vector<workspace_rule> mWorkspaces;
  std::vector<workspace_name> mRemovedWorkspaces;
  std::vector<route_rule> mRoutes;
  std::vector<route_key> mRemovedRoutes;
  std::vector<service_rule> mServices;
  std::vector<service_name> mRemovedServices;
  /** All warnings of the resulting configuration. */
  std::vector<std::string> mWarnings;
  /** Digest of the resulting configuration. */
  std::uint64_t mDigest = 0;

  friend bool operator==(const config_delta&, const config_delta&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mFrom,
             mVersion,
             mBase,
             mLimits,
             mWorkspaces,
             mRemovedWorkspaces,
             mRoutes,
             mRemovedRoutes,
             mServices,
             mRemovedServices,
             mWarnings,
             mDigest);
  }
};

/**
 * @return digests of elements of a configuration. The digest of a configuration is the sum of those
 * of its routes, workspaces and services, so that a change costs as much as the changed elements.
 */
std::uint64_t ComputeElementDigest(const route_rule& aRoute);
std::uint64_t ComputeElementDigest(const workspace_rule& aWorkspace);
std::uint64_t ComputeElementDigest(const service_rule& aService);

/**
 * @param aConfig configuration of version `aDelta.mFrom`; ignored when that is 0
 * @param aDigest digest of that configuration
 * @return the resulting configuration, or `bad_message` when the delta starts from another version
 * or the result is not the sender's configuration
 */
result<traffic_config> ApplyConfigDelta(const traffic_config& aConfig,
                                        std::uint64_t aDigest,
                                        const config_delta& aDelta);

/** @return the encoded and compressed delta */
std::string EncodeConfigDelta(const config_delta& aDelta);

/** @return the delta, or `bad_message` when the bytes are not exactly one delta */
result<config_delta> DecodeConfigDelta(std::string_view aBytes);

} // namespace citronpulley

#endif
