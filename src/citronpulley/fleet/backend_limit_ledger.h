#ifndef CITRONPULLEY_FLEET_BACKEND_LIMIT_LEDGER_H
#define CITRONPULLEY_FLEET_BACKEND_LIMIT_LEDGER_H

#include "citronpulley/base/instant.h"
#include "citronpulley/fleet/fleet_message.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace citronpulley {

/**
 * Divides the rate that a backend server takes from all VMs together among the entry VMs that have
 * requests for it. A share is raised only by what no other VM holds, and a VM that is silent keeps
 * its share until its lease ends, so the shares never add up to more than the limit. A low rate
 * goes to few VMs: each holder may save up one request. Soft state of the leader; a new leader
 * learns the shares from the reports. Does no input or output. Not thread-safe.
 */
class backend_limit_ledger
{
public:
  /** Time without a report after which an entry VM no longer uses its share. */
  static constexpr microseconds kShareLease{ 3'000'000 };
  /** Time without news and without a holder after which a limit is removed. */
  static constexpr microseconds kForgetAfter{ 300'000'000 };
  /** Time after the first report to a new leader in which it raises no share. */
  static constexpr microseconds kLearningTime{ 600'000 };

  /** Makes the ledger learn the shares from the reports, because this VM leads from now on. */
  void StartLearning() noexcept { mHasReports = false; }

  /**
   * Records what an entry VM heard and how much it would send, and renews its shares.
   *
   * @return true when a limit began, changed or ended
   */
  bool HandleReport(const entry_report& aReport, instant aNow);

  /** @return the shares of the VM for the backend servers that its report names */
  std::vector<limit_share> ListShares(const entry_report& aReport) const;

  /** @return the limits that are in force */
  std::vector<backend_limit> ListLimits() const;

  /**
   * Removes the limits of backend servers that have been started again, and those of which nothing
   * has been heard for kForgetAfter.
   *
   * @param aGetStartedAtMs start of a backend server in Unix milliseconds, 0 when it is not known
   */
  void RemoveOutdated(const std::function<std::int64_t(const std::string&)>& aGetStartedAtMs,
                      instant aNow);

private:
  struct holder
  {
    double mDemand = 0;
    /** Share that the VM was told last. */
    double mShare = 0;
    /** Share that it may use: a lower one counts when its report confirms it. */
    double mUsable = 0;
    instant mSeenAt;
  };

  struct limit
  {
    backend_limit mLimit;
    /** Time of the latest response that decided the limit. */
    instant mHeardAt;
    /** False once a later response stated no limit. */
    bool mIsInForce = false;
    std::map<vm_name, holder> mHolders;
  };

  bool RecordNotice(const limit_report& aReport, instant aNow);
  void RenewShare(limit& aLimit, const vm_name& aVm, const limit_report& aReport, instant aNow);
  static double ComputeTarget(const limit& aLimit, const vm_name& aVm);

  /** By the identity of the backend server. */
  std::map<std::string, limit> mLimits;
  instant mLearningUntil;
  bool mHasReports = false;
};

} // namespace citronpulley

#endif
