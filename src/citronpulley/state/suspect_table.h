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
 * After a crash of a server, all requests that ran on it are suspects. A suspect then runs alone on
 * a server, so that a further crash shows which request causes it. A suspect that is answered is
 * cleared.
 */
class suspect_table
{
public:
  /** Number of crashes while running alone at which a request is quarantined. */
  static constexpr std::uint32_t kLoneCrashLimit = 2;
  /** Total number of crashes at which a request is quarantined if at least one of them happened
   * while it ran alone. */
  static constexpr std::uint32_t kCrashLimit = 3;
  /**
   * Time for which a lease lasts beyond the deadline of the suspect's request. It covers the time
   * until a crash is detected, so that the crash report arrives before another holder gets the
   * lease.
   */
  static constexpr std::int64_t kLeaseMarginMilliseconds = 5'000;

  /**
   * Applies a crash report: counts a crash of all requests that ran on the server, or clears
   * suspects that were answered, except quarantined ones. The crash of each instance of a server
   * counts once. An unconfirmed report changes nothing.
   *
   * @return fingerprints whose records changed
   */
  std::vector<digest> ApplyReport(const crash_report& aReport);

  /**
   * Grants or returns the lease to run a suspect; only one holder has it at a time. A report that
   * the suspect was answered ends the lease. A crash report does not, because it may be about an
   * earlier run.
   *
   * @param aRequest request for a lease, or the return of one
   * @param aNow time of the command
   * @return the verdict for the holder
   */
  suspect_lease_reply ApplyLeaseRequest(const suspect_lease_request& aRequest, unix_time aNow);

  /**
   * Removes a suspect or quarantined request and its lease.
   *
   * @return false if the request was not suspected
   */
  bool ClearSuspicion(const digest& aFingerprint);

  /** @return the record, or null if the request is not suspected */
  const suspect_record* Find(const digest& aFingerprint) const noexcept;

  /** @return all records by fingerprint */
  const std::map<digest, suspect_record>& GetAll() const noexcept { return mSuspects; }

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mSuspects, mCountedCrashes, mLeases);
  }

private:
  /** Exclusive right of a holder to run a suspect. */
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
