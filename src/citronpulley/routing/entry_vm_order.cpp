#include "citronpulley/routing/entry_vm_order.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <tuple>
#include <utility>

namespace citronpulley {

namespace {

struct ranked_vm
{
  std::uint64_t mRank = 0;
  const vm_record* mVm = nullptr;
};

/** VMs of one zone, with the sort key of the zone. */
struct ranked_zone
{
  /** VM that gives the name of the zone. */
  const vm_record* mFirst = nullptr;
  bool mIsOtherRegion = false;
  double mLatency = 0;
  bool mIsOtherZone = false;
  std::uint64_t mRank = 0;
  std::vector<ranked_vm> mVms;
};

/** Rendezvous hash: equal on all VMs, and the loss of a name moves only the clients it had. */
std::uint64_t ComputeRank(std::uint64_t aClientHash, const std::string& aName)
{
  return XXH3_64bits_withSeed(aName.data(), aName.size(), aClientHash);
}

} // namespace

std::vector<const vm_record*> OrderEntryVms(std::span<const vm_record* const> aVms,
                                            const entry_vm_query& aQuery,
                                            const catalogue* aCatalogue,
                                            std::size_t aMaxPerZone)
{
  const std::uint64_t client =
    XXH3_64bits(aQuery.mClientAddress.data(), aQuery.mClientAddress.size());
  std::vector<ranked_zone> zones;
  const auto findZone = [&](const vm_record& aVm) -> ranked_zone& {
    for (ranked_zone& zone : zones) {
      if (zone.mFirst->mZone == aVm.mZone) {
        return zone;
      }
    }
    ranked_zone zone{ &aVm };
    zone.mIsOtherRegion = aVm.mRegion != aQuery.mNearestRegion;
    if (zone.mIsOtherRegion && aCatalogue != nullptr) {
      zone.mLatency = aCatalogue->GetOneWayMilliseconds(aQuery.mNearestRegion, aVm.mRegion);
    }
    zone.mIsOtherZone = aVm.mZone != aQuery.mOwnZone;
    zone.mRank = ComputeRank(client, aVm.mZone.mValue);
    return zones.emplace_back(std::move(zone));
  };
  for (const vm_record* vm : aVms) {
    findZone(*vm).mVms.push_back({ ComputeRank(client, vm->mVm.mValue), vm });
  }
  std::sort(zones.begin(), zones.end(), [](const ranked_zone& aLeft, const ranked_zone& aRight) {
    const auto key = [](const ranked_zone& aZone) {
      return std::tie(
        aZone.mIsOtherRegion, aZone.mLatency, aZone.mIsOtherZone, aZone.mRank, aZone.mFirst->mZone);
    };
    return key(aLeft) < key(aRight);
  });
  std::vector<const vm_record*> order;
  for (ranked_zone& zone : zones) {
    const std::size_t count = std::min(aMaxPerZone, zone.mVms.size());
    std::partial_sort(zone.mVms.begin(),
                      zone.mVms.begin() + static_cast<std::ptrdiff_t>(count),
                      zone.mVms.end(),
                      [](const ranked_vm& aLeft, const ranked_vm& aRight) {
                        return std::tie(aLeft.mRank, aLeft.mVm->mVm) <
                               std::tie(aRight.mRank, aRight.mVm->mVm);
                      });
    for (std::size_t position = 0; position < count; ++position) {
      order.push_back(zone.mVms[position].mVm);
    }
  }
  return order;
}

} // namespace citronpulley
