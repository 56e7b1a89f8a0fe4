#ifndef CITRONPULLEY_STEERING_CONFIG_HISTORY_H
#define CITRONPULLEY_STEERING_CONFIG_HISTORY_H

#include "citronpulley/steering/config_delta.h"
#include "citronpulley/steering/traffic_config.h"

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <string>

namespace citronpulley {

/**
 * Configuration in force and the changes of the latest versions, from which a receiver with one of
 * these versions gets only what changed since. Does no input or output. Not thread-safe.
 */
class config_history
{
public:
  /** Number of versions kept; a receiver with an older one gets the whole configuration. */
  static constexpr std::size_t kMaxVersions = 64;

  /** Replaces the configuration in force. */
  void Update(traffic_config aConfig);

  const traffic_config& GetCurrent() const noexcept { return mCurrent; }

  /** @return changes since a version, or the whole configuration when the version is not kept */
  config_delta MakeDelta(config_version aFrom) const;

  /**
   * @return the encoded delta since a version. Encoded once for all receivers that have the same
   * version.
   */
  const std::string& GetEncodedDelta(config_version aFrom);

private:
  /** Elements in which a version differs from the one before it. */
  struct change
  {
    config_version mFrom = 0;
    std::set<route_key> mRoutes;
    std::set<workspace_name> mWorkspaces;
    std::set<service_name> mServices;
  };

  traffic_config mCurrent;
  std::uint64_t mDigest = 0;
  /** Oldest first. */
  std::deque<change> mChanges;
  std::map<config_version, std::string> mEncodedDeltas;
};

} // namespace citronpulley

#endif
