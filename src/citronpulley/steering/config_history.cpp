#include "citronpulley/steering/config_history.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace citronpulley {

namespace {

template<typename Key, typename Element>
std::map<Key, const Element*> IndexElements(const std::vector<Element>& aElements)
{
  std::map<Key, const Element*> index;
  for (const Element& element : aElements) {
    index.emplace(GetKey(element), &element);
  }
  return index;
}

/**
 * Collects the keys of the elements that were added, changed or removed.
 *
 * @param aDigest digest of the configuration, which is adjusted
 * @return false when a key stands twice, so that keys do not identify the elements
 */
template<typename Key, typename Element>
bool CollectChanges(const std::vector<Element>& aFormer,
                    const std::vector<Element>& aCurrent,
                    std::set<Key>& aChanged,
                    std::uint64_t& aDigest)
{
  const auto former = IndexElements<Key>(aFormer);
  const auto current = IndexElements<Key>(aCurrent);
  for (const auto& [key, element] : current) {
    const auto found = former.find(key);
    if (found == former.end() || !(*found->second == *element)) {
      aChanged.insert(key);
      aDigest += ComputeElementDigest(*element);
      aDigest -= found == former.end() ? 0 : ComputeElementDigest(*found->second);
    }
  }
  for (const auto& [key, element] : former) {
    if (!current.contains(key)) {
      aChanged.insert(key);
      aDigest -= ComputeElementDigest(*element);
    }
  }
  return former.size() == aFormer.size() && current.size() == aCurrent.size();
}

template<typename Element>
std::uint64_t ComputeSum(const std::vector<Element>& aElements)
{
  std::uint64_t sum = 0;
  for (const Element& element : aElements) {
    sum += ComputeElementDigest(element);
  }
  return sum;
}

/** Copies the elements with these keys, and lists the keys that no longer exist. */
template<typename Key, typename Element>
void FillChanges(const std::vector<Element>& aCurrent,
                 std::set<Key> aKeys,
                 std::vector<Element>& aChanged,
                 std::vector<Key>& aRemoved)
{
  if (aKeys.empty()) {
    return;
  }
  for (const Element& element : aCurrent) {
    if (aKeys.erase(GetKey(element)) > 0) {
      aChanged.push_back(element);
    }
  }
  aRemoved.assign(aKeys.begin(), aKeys.end());
}

} // namespace

void config_history::Update(traffic_config aConfig)
{
  change change;
  change.mFrom = mCurrent.mVersion;
  const bool areRoutesUnique =
    CollectChanges(mCurrent.mRoutes, aConfig.mRoutes, change.mRoutes, mDigest);
  const bool areWorkspacesUnique =
    CollectChanges(mCurrent.mWorkspaces, aConfig.mWorkspaces, change.mWorkspaces, mDigest);
  const bool areServicesUnique =
    CollectChanges(mCurrent.mServices, aConfig.mServices, change.mServices, mDigest);
  mCurrent = std::move(aConfig);
  mEncodedDeltas.clear();
  if (!areRoutesUnique || !areWorkspacesUnique || !areServicesUnique) {
    // Keys do not tell which elements changed, so every receiver gets the whole configuration.
    mChanges.clear();
    mDigest = ComputeSum(mCurrent.mRoutes) + ComputeSum(mCurrent.mWorkspaces) +
              ComputeSum(mCurrent.mServices);
    return;
  }
  mChanges.push_back(std::move(change));
  if (mChanges.size() > kMaxVersions) {
    mChanges.pop_front();
  }
}

config_delta config_history::MakeDelta(config_version aFrom) const
{
  config_delta delta;
  delta.mVersion = mCurrent.mVersion;
  delta.mBase = mCurrent.mBase;
  delta.mLimits = mCurrent.mLimits;
  delta.mWarnings = mCurrent.mWarnings;
  delta.mDigest = mDigest;
  const auto first = std::ranges::find(mChanges, aFrom, &change::mFrom);
  if (aFrom == 0 || first == mChanges.end()) {
    delta.mRoutes = mCurrent.mRoutes;
    delta.mWorkspaces = mCurrent.mWorkspaces;
    delta.mServices = mCurrent.mServices;
    return delta;
  }
  delta.mFrom = aFrom;
  change all;
  for (auto position = first; position != mChanges.end(); ++position) {
    all.mRoutes.insert(position->mRoutes.begin(), position->mRoutes.end());
    all.mWorkspaces.insert(position->mWorkspaces.begin(), position->mWorkspaces.end());
    all.mServices.insert(position->mServices.begin(), position->mServices.end());
  }
  FillChanges(mCurrent.mRoutes, std::move(all.mRoutes), delta.mRoutes, delta.mRemovedRoutes);
  FillChanges(
    mCurrent.mWorkspaces, std::move(all.mWorkspaces), delta.mWorkspaces, delta.mRemovedWorkspaces);
  FillChanges(
    mCurrent.mServices, std::move(all.mServices), delta.mServices, delta.mRemovedServices);
  return delta;
}

const std::string& config_history::GetEncodedDelta(config_version aFrom)
{
  const bool isKept = std::ranges::find(mChanges, aFrom, &change::mFrom) != mChanges.end();
  const config_version from = isKept ? aFrom : 0;
  const auto found = mEncodedDeltas.find(from);
  if (found != mEncodedDeltas.end()) {
    return found->second;
  }
  return mEncodedDeltas.emplace(from, EncodeConfigDelta(MakeDelta(from))).first->second;
}

} // namespace citronpulley
