#ifndef CITRONPULLEY_MEMBERSHIP_FLEET_TABLE_H
#define CITRONPULLEY_MEMBERSHIP_FLEET_TABLE_H

#include "citronpulley/base/instant.h"
#include "citronpulley/wire/poll_messages.h"

#include <map>
#include <vector>

namespace citronpulley {

/**
 * Entry VMs of the fleet as a control VM knows them, from their polls and from the reports of the
 * other control VMs. Soft state: it fills again within one poll interval after a restart.
 */
class fleet_table
{
public:
  /** Age of the last poll from which an entry VM counts as dead. */
  static constexpr microseconds kContactTimeout{ 2'000'000 };
  /** VMs of each other zone that an entry VM is told of. */
  static constexpr std::size_t kVmsPerOtherZone = 8;

  /** Takes a poll that this VM received. */
  void UpdateFromPoll(const poll& aPoll, instant aNow);

  /** Takes the report of another control VM. */
  void UpdateFromReport(const fleet_report& aReport, instant aNow);

  /** Forgets VMs that have been silent for long. */
  void Expire(instant aNow);

  /** @return VMs that poll this control VM, for the other control VMs */
  fleet_report MakeReport(instant aNow) const;

  /** @return live VMs in order of their names */
  std::vector<vm_record> ListLiveVms(instant aNow) const;

  /**
   * Lists the VMs that one entry VM needs: all of its zone, and a few of each other zone for
   * forwarding. Which ones of another zone differs by receiver, so that the load of forwarding
   * spreads.
   *
   * @param aReceiver VM that gets the list
   * @return live VMs in order of their names
   */
  std::vector<vm_record> ListVmsFor(const vm_record& aReceiver, instant aNow) const;

  /** @return slots and running requests by zone and service, summed over the live VMs */
  std::vector<zone_summary> SummariseZones(instant aNow) const;

private:
  struct vm_state
  {
    vm_record mRecord;
    instant mPolledAt;
    std::vector<zone_summary> mHomedServers;
    bool mPollsThisVm = false;
  };

  void UpdateVm(const vm_record& aRecord,
                const std::vector<zone_summary>& aHomedServers,
                instant aPolledAt,
                bool aPollsThisVm);

  std::map<vm_name, vm_state> mVms;
};

} // namespace citronpulley

#endif
