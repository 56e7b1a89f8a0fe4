#ifndef CITRONPULLEY_MEMBERSHIP_FLEET_TABLE_H
#define CITRONPULLEY_MEMBERSHIP_FLEET_TABLE_H

#include "citronpulley/base/instant.h"
#include "citronpulley/wire/poll_messages.h"

#include <map>
#include <vector>

namespace citronpulley {

/**
 * Table of the entry VMs of the fleet at a control VM, built from their polls and from the reports
 * of the other control VMs. It is soft state that is not stored: after a restart it fills again
 * within one poll interval.
 */
class fleet_table
{
public:
  /** Time since the last poll after which an entry VM counts as dead. */
  static constexpr microseconds kContactTimeout{ 2'000'000 };
  /** Maximum number of VMs of each other zone in the list for an entry VM. */
  static constexpr std::size_t kVmsPerOtherZone = 8;

  /** Updates the entry of the VM that sent this control VM a poll. */
  void UpdateFromPoll(const poll& aPoll, instant aNow);

  /**
   * Updates the entries of the VMs that poll another control VM, from its report. For each VM the
   * newer of a poll and a report is kept.
   */
  void UpdateFromReport(const fleet_report& aReport, instant aNow);

  /** Removes VMs whose last poll is older than ten times `kContactTimeout`. */
  void Expire(instant aNow);

  /** @return report for the other control VMs: the live VMs that poll this control VM */
  fleet_report MakeReport(instant aNow) const;

  /** @return live VMs in order of their names */
  std::vector<vm_record> ListLiveVms(instant aNow) const;

  /**
   * Lists the live VMs that one entry VM needs: all VMs of its own zone, and up to
   * `kVmsPerOtherZone` of each other zone to forward requests to. The selection in other zones
   * differs by receiver, so that forwarded requests spread over all VMs.
   *
   * @param aReceiver entry VM that the list is for
   * @return live VMs in order of their names
   */
  std::vector<vm_record> ListVmsFor(const vm_record& aReceiver, instant aNow) const;

  /** @return sums of servers, slots and running requests by zone and service, over the live VMs */
  std::vector<zone_summary> SummariseZones(instant aNow) const;

private:
  struct vm_state
  {
    vm_record mRecord;
    instant mPolledAt;
    std::vector<zone_summary> mServerSummaries;
    bool mPollsThisVm = false;
  };

  void UpdateVm(const vm_record& aRecord,
                const std::vector<zone_summary>& aServerSummaries,
                instant aPolledAt,
                bool aPollsThisVm);

  std::map<vm_name, vm_state> mVms;
};

} // namespace citronpulley

#endif
