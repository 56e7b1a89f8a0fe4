#ifndef CITRONPULLEY_FLEET_RELAY_POOL_H
#define CITRONPULLEY_FLEET_RELAY_POOL_H

#include "citronpulley/base/instant.h"
#include "citronpulley/fleet/fleet_message.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace citronpulley {

struct placement_request;

/**
 * Entry VMs that can send requests to backend servers which this VM does not reach, as the leader
 * named them, and the choice among them. Spreads the requests by the number in progress, and keeps
 * them in this VM's region unless the VMs there have clearly more. Does no input or output. Not
 * thread-safe.
 */
class relay_pool
{
public:
  /** Time for which a VM that could not be reached is not chosen; doubles with each failure. */
  static constexpr microseconds kFirstEjection{ 400'000 };
  static constexpr int kMaxEjectionDoublings = 3;
  /**
   * Requests in progress by which a VM of this region may exceed one of another region: the round
   * trip between regions is a large part of the objective of short requests.
   */
  static constexpr int kOtherRegionRequests = 12;

  explicit relay_pool(region_name aRegion) noexcept
    : mRegion(std::move(aRegion))
  {
  }

  /** Replaces the list; VMs that stay keep their requests and failures. */
  void SetVms(std::vector<relay_vm> aVms);

  /** @return digest of the list, which a report repeats so that an unchanged one is not sent */
  std::uint64_t GetDigest() const noexcept { return mDigest; }

  /**
   * @param aRequest its permitted regions hold for the VM too: a body may be sent nowhere else
   * @param aExcluded VMs that the request was already sent to
   * @return the VM to send the request to, or nothing when none can help
   */
  std::optional<vm_name> Choose(const placement_request& aRequest,
                                const std::vector<vm_name>& aExcluded,
                                instant aNow);

  /** Records that a request is being sent. */
  void RecordSent(const vm_name& aVm);

  /** Records the end of a request that was passed to RecordSent(). */
  void RecordEnd(const vm_name& aVm, bool aIsReachable, instant aNow);

private:
  struct member
  {
    int mRequests = 0;
    int mFailures = 0;
    instant mEjectedUntil;
  };

  region_name mRegion;
  std::vector<relay_vm> mVms;
  std::uint64_t mDigest = 0;
  std::map<vm_name, member> mMembers;
  /** Start of the search, so that VMs with equally many requests take turns. */
  std::size_t mNextVm = 0;
};

} // namespace citronpulley

#endif
