#ifndef CITRONPULLEY_STATE_SUSPECT_TABLE_H
#define CITRONPULLEY_STATE_SUSPECT_TABLE_H

#include "citronpulley/base/digest.h"
#include "citronpulley/base/instant.h"
#include "citronpulley/state/view_delta.h"
#include "citronpulley/wire/request_messages.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace citronpulley {

/**
 * Requests that are suspected of crashing backend servers, part of the replicated state.
 *
 * A crash of a server makes suspects of all requests that ran on it. Suspects then run alone, so
 * that a second crash proves which request is at fault, and an innocent one is cleared by its first
 * answer.
 */
class suspect_table
{
public:
  /** Crashes while running alone after which a request is quarantined. */
  static constexpr std::uint32_t kLoneCrashLimit = 2;
  /** Crashes in total after which a request that crashed a server alone is quarantined. */
  static constexpr std::uint32_t kCrashLimit = 3;
  /**
   * Time beyond the deadline of a suspect's request for which nobody else may run it. It covers the
   * time in which a crash is noticed, so that its report arrives while the lease holds.
   */
  static constexpr std::int64_t kLeaseMarginMilliseconds = 5'000;

  /**
   * Counts a crash, or clears a suspect that was answered. Each instance of a server counts once.
   *
   * @return fingerprints whose records changed
   */
  std::vector<digest> ApplyReport(const crash_report& aReport);

  /**
   * Decides who may run a suspect; only one holder may at a time. A report of an answer ends the
   * lease. A report of a crash does not, because it may be about an earlier run.
   *
   * @param aRequest request for the lease, or its return
   * @param aNow time of the command
   * @return the verdict for the holder
   */
  suspect_lease_reply ApplyLeaseRequest(const suspect_lease_request& aRequest, unix_time aNow);

  /**
   * Ends the suspicion against a request.
   *
   * @return false when the request is not suspected
   */
  bool ClearSuspicion(const digest& aFingerprint);

  /** @return the record, or null when the request is not suspected */
  const suspect_record* Find(const digest& aFingerprint) const noexcept;

  /** @return all records by fingerprint */
  const std::map<digest, suspect_record>& GetAll() const noexcept { return mSuspects; }

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mSuspects, mCountedCrashes, mLeases);
  }

private:
  /** Right of one holder to run a suspect. */
  struct suspect_lease
  {
    claim_holder mHolder;
    std::int64_t mUntilMilliseconds = 0;

    template<typename Archive>
    void serialize(Archive& aArchive)
    {
      aArchive(mHolder, mUntilMilliseconds);
    }
  };

  std::map<digest, suspect_record> mSuspects;
  std::set<std::pair<server_name, std::string>> mCountedCrashes;
  std::map<digest, suspect_lease> mLeases;
};

} // namespace citronpulley

#endif
