#include "citronpulley/steering/config_delta.h"

#include "citronpulley/base/compression.h"
#include "citronpulley/wire/codec.h"

#include <algorithm>
#include <cereal/types/chrono.hpp>
#include <functional>
#include <map>
#include <set>
#include <utility>
#include <xxhash.h>

namespace citronpulley {

namespace {

/** Maximum size of a delta after decompression. */
constexpr std::size_t kMaxDeltaBytes = 32UL * 1024 * 1024;

template<typename Element>
std::uint64_t ComputeDigestOf(const Element& aElement)
{
  const std::string bytes = EncodeValue(aElement);
  return XXH3_64bits(bytes.data(), bytes.size());
}

/**
 * Replaces, removes and adds elements; unchanged ones keep their order.
 *
 * @param aDigest digest of the configuration, which is adjusted
 */
template<typename Element, typename Key>
void ApplyChanges(std::vector<Element>& aElements,
                  const std::vector<Element>& aChanged,
                  const std::vector<Key>& aRemoved,
                  std::uint64_t& aDigest)
{
  if (aChanged.empty() && aRemoved.empty()) {
    return;
  }
  const std::set<Key> removed(aRemoved.begin(), aRemoved.end());
  std::map<Key, const Element*> changed;
  for (const Element& element : aChanged) {
    changed.emplace(GetKey(element), &element);
    aDigest += ComputeElementDigest(element);
  }
  std::vector<Element> kept;
  kept.reserve(aElements.size() + aChanged.size());
  for (Element& element : aElements) {
    const Key key = GetKey(element);
    const auto found = changed.find(key);
    if (found != changed.end() || removed.contains(key)) {
      aDigest -= ComputeElementDigest(element);
    }
    if (found != changed.end()) {
      kept.push_back(*found->second);
      changed.erase(found);
    } else if (!removed.contains(key)) {
      kept.push_back(std::move(element));
    }
  }
  for (const Element& element : aChanged) {
    // A whole configuration may contain several elements with the same key.
    if (aElements.empty() || changed.contains(GetKey(element))) {
      kept.push_back(element);
    }
  }
  aElements = std::move(kept);
}

} // namespace

route_key GetKey(const route_rule& aRoute)
{
  return { aRoute.mHost, aRoute.mPrefix };
}

const workspace_name& GetKey(const workspace_rule& aWorkspace)
{
  return aWorkspace.mName;
}

const service_name& GetKey(const service_rule& aService)
{
  return aService.mName;
}

std::uint64_t ComputeElementDigest(const route_rule& aRoute)
{
  return ComputeDigestOf(aRoute);
}

std::uint64_t ComputeElementDigest(const workspace_rule& aWorkspace)
{
  return ComputeDigestOf(aWorkspace);
}

std::uint64_t ComputeElementDigest(const service_rule& aService)
{
  return ComputeDigestOf(aService);
}

result<traffic_config> ApplyConfigDelta(const traffic_config& aConfig,
                                        std::uint64_t aDigest,
                                        const config_delta& aDelta)
{
  if (aDelta.mFrom != 0 && aDelta.mFrom != aConfig.mVersion) {
    return MakeError(error_code::BadMessage,
                     step::Decode,
                     "",
                     "the delta starts from version " + std::to_string(aDelta.mFrom) +
                       "; the configuration has version " + std::to_string(aConfig.mVersion));
  }
  traffic_config config = aDelta.mFrom == 0 ? traffic_config{} : aConfig;
  std::uint64_t digest = aDelta.mFrom == 0 ? 0 : aDigest;
  ApplyChanges(config.mRoutes, aDelta.mRoutes, aDelta.mRemovedRoutes, digest);
  ApplyChanges(config.mWorkspaces, aDelta.mWorkspaces, aDelta.mRemovedWorkspaces, digest);
  ApplyChanges(config.mServices, aDelta.mServices, aDelta.mRemovedServices, digest);
  config.mVersion = aDelta.mVersion;
  config.mBase = aDelta.mBase;
  config.mLimits = aDelta.mLimits;
  config.mWarnings = aDelta.mWarnings;
  if (digest != aDelta.mDigest) {
    return MakeError(error_code::BadMessage,
                     step::Decode,
                     "",
                     "version " + std::to_string(aDelta.mVersion) +
                       " differs from the sender's after the delta from version " +
                       std::to_string(aDelta.mFrom));
  }
  return config;
}

std::string EncodeConfigDelta(const config_delta& aDelta)
{
  return Compress(EncodeValue(aDelta));
}

result<config_delta> DecodeConfigDelta(std::string_view aBytes)
{
  const result<std::string> encoded = Decompress(aBytes, kMaxDeltaBytes);
  if (!encoded) {
    return encoded.GetError();
  }
  return DecodeValue<config_delta>(encoded.Get());
}

} // namespace citronpulley
