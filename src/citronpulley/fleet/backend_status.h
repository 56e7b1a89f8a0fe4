#ifndef CITRONPULLEY_FLEET_BACKEND_STATUS_H
#define CITRONPULLEY_FLEET_BACKEND_STATUS_H

#include "citronpulley/base/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace citronpulley {

/**
 * Load, health and limit of a backend server that the leader tells all entry VMs, in few bytes
 * because hundreds of them may change at once. One that is neither busy nor failing nor slow nor
 * limited has the default values.
 */
struct backend_status
{
  static constexpr std::uint16_t kNotBusy = 0xffff;
  static constexpr std::uint32_t kNoLimit = 0xffffffff;

  /** Hash of the identity, see ComputeIdHash(). */
  std::uint64_t mBackend = 0;
  /** Running and waiting requests; `kNotBusy` for one with free slots. */
  std::uint16_t mRequests = kNotBusy;
  /** Time since the response that reported the load, in milliseconds, when it was published. */
  std::uint16_t mLoadAgeMs = 0;
  /** Requests that fail, in percent. */
  std::uint8_t mFailurePercent = 0;
  /** Run time in percent of the median of the service, at least 100. */
  std::uint16_t mSlownessPercent = 100;
  /** Requests that it takes from all VMs together in 100 s; `kNoLimit` without a limit. */
  std::uint32_t mLimitPer100S = kNoLimit;

  bool IsBusy() const noexcept { return mRequests != kNotBusy; }
  bool IsLimited() const noexcept { return mLimitPer100S != kNoLimit; }

  /** @return true for a backend server that needs no entry in a full list */
  bool IsDefault() const noexcept
  {
    return !IsBusy() && !IsLimited() && mFailurePercent == 0 && mSlownessPercent == 100;
  }

  friend auto operator<=>(const backend_status&, const backend_status&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mBackend, mRequests, mLoadAgeMs, mFailurePercent, mSlownessPercent, mLimitPer100S);
  }
};

/** @return the encoded list */
std::string EncodeStatuses(const std::vector<backend_status>& aStatuses);

/** @return the list, or `bad_message` when the bytes are not exactly one list */
result<std::vector<backend_status>> DecodeStatuses(std::string_view aBytes);

} // namespace citronpulley

#endif
