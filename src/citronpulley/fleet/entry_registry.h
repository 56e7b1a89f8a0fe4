#ifndef CITRONPULLEY_FLEET_ENTRY_REGISTRY_H
#define CITRONPULLEY_FLEET_ENTRY_REGISTRY_H

#include "citronpulley/base/instant.h"
#include "citronpulley/fleet/fleet_message.h"
#include "citronpulley/steering/traffic_config.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace citronpulley {

/**
 * Entry VMs as their reports show them, and the part of each workspace's rate that each may use.
 * Soft state of the leader. Pure and not thread-safe.
 *
 * Parts follow the demand that the entry VMs report, so that a request never waits for a grant. The
 * part of a silent entry VM stays reserved until its lease has ended.
 */
class entry_registry
{
public:
  /** Silence after which callers are no longer sent to an entry VM; five reports. */
  static constexpr microseconds kListedFor{ 1'500'000 };
  /** Part of a rate that is divided evenly, so that a VM without demand can serve a first burst. */
  static constexpr double kEvenPart = 0.15;
  /** Time between two divisions of the rates. */
  static constexpr microseconds kDivideInterval{ 200'000 };

  /**
   * @param aLease time from a report for which the entry VM uses its part
   */
  explicit entry_registry(microseconds aLease) noexcept
    : mLease(aLease)
  {
  }

  /** Takes a report; `aWorkspaces` are those of the configuration in force. */
  void Take(const entry_report& aReport,
            const std::vector<workspace_rule>& aWorkspaces,
            instant aNow);

  /** @return parts that the entry VM does not know yet */
  std::vector<workspace_share> TakeShares(const vm_name& aVm);

  /** @return entry VMs to which callers may be sent */
  std::vector<entry_place> ListAccepting(instant aNow) const;

  /**
   * Chooses the entry VMs that may send to a cold backend server: a few of its zone, the same ones
   * at each leader.
   *
   * @return rate for this VM, or nothing
   */
  std::optional<double> FindWarmupRate(const vm_name& aVm,
                                       const backend_record& aBackend,
                                       double aRate,
                                       instant aNow) const;

private:
  struct entry
  {
    entry_place mPlace;
    bool mIsAccepting = false;
    std::uint64_t mNumber = 0;
    instant mHeardAt;
    std::map<workspace_name, double> mDemands;
    std::map<workspace_name, workspace_share> mShares;
    std::map<workspace_name, workspace_share> mKnownShares;
  };

  void Divide(const std::vector<workspace_rule>& aWorkspaces, instant aNow);
  void DivideOne(const workspace_rule& aWorkspace, instant aNow);

  microseconds mLease;
  std::map<vm_name, entry> mEntries;
  instant mNextDivisionAt;
};

} // namespace citronpulley

#endif
