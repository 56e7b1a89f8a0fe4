#ifndef CITRONPULLEY_FLEET_ENTRY_REGISTRY_H
#define CITRONPULLEY_FLEET_ENTRY_REGISTRY_H

#include "citronpulley/base/instant.h"
#include "citronpulley/fleet/fleet_message.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace citronpulley {

/**
 * Entry VMs as their reports show them. Soft state of the leader. Pure and not thread-safe.
 */
class entry_registry
{
public:
  /** Silence after which callers are no longer sent to an entry VM; five reports. */
  static constexpr microseconds kContactTimeout{ 1'500'000 };

  /** Takes a report. */
  void Update(const entry_report& aReport, instant aNow);

  /** @return entry VMs to which callers may be sent */
  std::vector<entry_location> ListAccepting(instant aNow) const;

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
    entry_location mLocation;
    bool mIsAccepting = false;
    instant mSeenAt;
    /** Hash of the VM's name. */
    std::uint64_t mHash = 0;
  };

  std::map<vm_name, entry> mEntries;
};

} // namespace citronpulley

#endif
