#include "citronpulley/fleet/backend_status_table.h"

#include "citronpulley/fleet/fleet_message.h"
#include "citronpulley/steering/key_hash.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <limits>

namespace citronpulley {

namespace {

/** Changes that are not sent: of a load in requests and as a fraction, of the health in percent. */
constexpr double kLoadTolerance = 1;
constexpr double kRelativeLoadTolerance = 0.2;
constexpr int kFailureTolerance = 10;
constexpr int kSlownessTolerance = 30;

/** @return the number rounded and within the range of the type, below its highest value */
template<typename Number>
Number ToNumber(double aValue, double aLowest)
{
  constexpr double kHighest = std::numeric_limits<Number>::max() - 1;
  return static_cast<Number>(std::lround(std::clamp(aValue, aLowest, kHighest)));
}

bool IsSimilar(const backend_status& aOld, const backend_status& aNew)
{
  if (aOld.IsDefault() != aNew.IsDefault() || aOld.IsBusy() != aNew.IsBusy() ||
      aOld.mLimitPer100S != aNew.mLimitPer100S) {
    return false;
  }
  const double loadTolerance = std::max(kLoadTolerance, kRelativeLoadTolerance * aOld.mRequests);
  return std::abs(aOld.mRequests - aNew.mRequests) <= loadTolerance &&
         std::abs(aOld.mFailurePercent - aNew.mFailurePercent) <= kFailureTolerance &&
         std::abs(aOld.mSlownessPercent - aNew.mSlownessPercent) <= kSlownessTolerance;
}

} // namespace

void backend_status_table::Update(const std::vector<backend_load>& aBusy,
                                  const std::vector<backend_health>& aHealth,
                                  const std::vector<backend_limit>& aLimits,
                                  instant aNow)
{
  std::map<std::uint64_t, backend_status> current;
  for (const backend_load& load : aBusy) {
    backend_status& status = current[ComputeIdHash(load.mBackend)];
    status.mRequests = ToNumber<std::uint16_t>(load.mRequests, 0);
    status.mLoadAgeMs = ToNumber<std::uint16_t>(static_cast<double>(load.mAge) / 1'000, 0);
  }
  for (const backend_health& health : aHealth) {
    backend_status& status = current[ComputeIdHash(health.mBackend)];
    status.mFailurePercent = ToNumber<std::uint8_t>(100 * std::min(1.0, health.mFailureRate), 0);
    status.mSlownessPercent = ToNumber<std::uint16_t>(100 * health.mSlowness, 100);
  }
  for (const backend_limit& limit : aLimits) {
    current[ComputeIdHash(limit.mBackend)].mLimitPer100S =
      ToNumber<std::uint32_t>(100 * limit.mRate, 0);
  }
  for (const auto& [id, entry] : mEntries) {
    current.try_emplace(id);
  }
  for (auto& [id, status] : current) {
    status.mBackend = id;
    const auto known = mEntries.find(id);
    if (!IsSimilar(known == mEntries.end() ? backend_status{} : known->second.mStatus, status)) {
      Publish(status, aNow);
    }
  }
  EvictDefaults(aNow);
}

void backend_status_table::Publish(const backend_status& aStatus, instant aNow)
{
  entry& entry = mEntries[aStatus.mBackend];
  mByRevision.erase(entry.mRevision);
  entry.mRevision = ++mRevision;
  entry.mChangedAt = aNow;
  mByRevision.emplace(mRevision, aStatus.mBackend);
  entry.mStatus = aStatus;
  mEncoded.clear();
}

void backend_status_table::EvictDefaults(instant aNow)
{
  std::erase_if(mEntries, [&](const auto& aEntry) {
    const entry& entry = aEntry.second;
    if (!entry.mStatus.IsDefault() || aNow < entry.mChangedAt + kKeepDefault) {
      return false;
    }
    mLastEvicted = std::max(mLastEvicted, entry.mRevision);
    mByRevision.erase(entry.mRevision);
    return true;
  });
}

const std::string& backend_status_table::GetEncodedChanges(std::uint64_t aSince)
{
  const auto [position, isNew] = mEncoded.try_emplace(aSince);
  if (isNew) {
    std::vector<backend_status> changes;
    for (auto change = mByRevision.upper_bound(aSince); change != mByRevision.end(); ++change) {
      const backend_status& status = mEntries.at(change->second).mStatus;
      if (aSince > 0 || !status.IsDefault()) {
        changes.push_back(status);
      }
    }
    position->second = EncodeStatuses(changes);
  }
  return position->second;
}

void backend_status_table::FillUpdate(std::uint64_t aRevision, entry_update& aUpdate)
{
  const bool isKnown = aRevision > 0 && aRevision >= mLastEvicted && aRevision <= mRevision;
  aUpdate.mStatusRevision = mRevision;
  aUpdate.mIsWholeStatus = !isKnown;
  if (!isKnown || aRevision < mRevision) {
    aUpdate.mStatuses = GetEncodedChanges(isKnown ? aRevision : 0);
  }
}

} // namespace citronpulley
