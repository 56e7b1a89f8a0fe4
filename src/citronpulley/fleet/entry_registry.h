#ifndef CITRONPULLEY_FLEET_ENTRY_REGISTRY_H
#define CITRONPULLEY_FLEET_ENTRY_REGISTRY_H

#include "citronpulley/base/instant.h"
#include "citronpulley/fleet/fleet_message.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace citronpulley {

/**
 * Registry of the entry VMs that send reports. Soft state of the leader. Does no input or output.
 * Not thread-safe.
 */
class entry_registry
{
public:
  /**
   * Time without a report after which callers are no longer directed to an entry VM; five report
   * intervals.
   */
  static constexpr microseconds kContactTimeout{ 1'500'000 };

  /** Records a report of an entry VM, and removes entry VMs whose contact timeout has passed. */
  void Update(const entry_report& aReport, instant aNow);

  /**
   * Time for which entry VMs that a former leader listed count as reachable without a report. It
   * covers the time until they find the new leader.
   */
  static constexpr microseconds kAdoptionTimeout{ 3'000'000 };

  /**
   * Adds the entry VMs that a former leader listed, unless they are known. Otherwise a new leader
   * would direct all callers to the few entry VMs that found it first.
   */
  void Adopt(const std::vector<entry_location>& aEntries, instant aNow);

  /**
   * Lists the entry VMs that callers are directed to: the reachable ones that accept requests.
   * Leaves out those that reach no service, while kMinWholeVms others of their region do.
   *
   * @param aServiceCount number of services in the configuration
   */
  std::vector<entry_location> ListAccepting(std::size_t aServiceCount, instant aNow) const;

  /** Entry VMs of a region, at least, that callers are directed to. */
  static constexpr int kMinWholeVms = 2;

  /**
   * Computes the rate at which an entry VM may send to a cold backend server. Only a few entry VMs
   * of its zone may, and every leader chooses the same ones.
   *
   * @param aRate requests per second that the backend server can handle while it is cold
   * @return requests per second for this VM, or nothing when it may not send any
   */
  std::optional<double> FindWarmupRate(const vm_name& aVm,
                                       const backend_record& aBackend,
                                       double aRate,
                                       instant aNow) const;

  /**
   * Fills in the entry VMs that a VM may send requests to when it does not reach backend servers,
   * unless its report names the same list. They are drawn by a hash, so that each one helps about
   * as many others and the list of a VM changes little. Computed again only after a change in the
   * fleet.
   */
  void FillRelays(const entry_report& aReport, instant aNow, entry_update& aUpdate);

private:
  struct entry
  {
    entry_location mLocation;
    bool mIsAccepting = false;
    /** Services whose backend servers the VM does not reach. */
    std::vector<service_name> mCutOff;
    /** VMs for relays, their digest, and the version of the fleet from which they follow. */
    std::vector<relay_vm> mRelays;
    std::uint64_t mRelayDigest = 0;
    std::uint64_t mRelayVersion = 0;
    /** Time from which the VM counts as unreachable without a further report. */
    instant mReachableUntil;
    /** Hash of the VM's name. */
    std::uint64_t mHash = 0;
  };

  entry& FindOrAdd(const entry_location& aLocation);
  static bool ReachesNothing(const entry& aEntry, std::size_t aServiceCount);
  std::vector<relay_vm> ComputeRelays(const entry& aEntry, instant aNow) const;

  /** Rises with each change that concerns the lists of VMs for relays. */
  std::uint64_t mVersion = 1;
  std::map<vm_name, entry> mEntries;
};

} // namespace citronpulley

#endif
