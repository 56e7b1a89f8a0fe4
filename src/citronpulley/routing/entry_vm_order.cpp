#include "citronpulley/routing/entry_vm_order.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <utility>

namespace citronpulley {

namespace {

/** Rendezvous hash: the same on each VM, and losing one name moves only its own clients. */
std::uint64_t ComputeRank(std::string_view aClientAddress, const std::string& aName)
{
  return XXH3_64bits_withSeed(
    aName.data(), aName.size(), XXH3_64bits(aClientAddress.data(), aClientAddress.size()));
}

} // namespace

std::vector<vm_record> OrderEntryVms(std::vector<vm_record> aVms,
                                     const entry_vm_query& aQuery,
                                     const catalogue* aCatalogue,
                                     std::size_t aMaxPerZone)
{
  const auto key = [&](const vm_record& aVm) {
    const bool isNearest = aVm.mRegion == aQuery.mNearestRegion;
    const bool isOwnZone = aVm.mZone == aQuery.mOwnZone;
    const double latency =
      isNearest || aCatalogue == nullptr
        ? 0
        : aCatalogue->GetOneWayMilliseconds(aQuery.mNearestRegion, aVm.mRegion);
    return std::tuple(!isNearest,
                      latency,
                      !isOwnZone,
                      ComputeRank(aQuery.mClientAddress, aVm.mZone.mValue),
                      aVm.mZone,
                      ComputeRank(aQuery.mClientAddress, aVm.mVm.mValue),
                      aVm.mVm);
  };
  std::sort(aVms.begin(), aVms.end(), [&](const vm_record& aLeft, const vm_record& aRight) {
    return key(aLeft) < key(aRight);
  });
  std::map<zone_name, std::size_t> named;
  std::erase_if(aVms, [&](const vm_record& aVm) { return ++named[aVm.mZone] > aMaxPerZone; });
  return aVms;
}

} // namespace citronpulley
