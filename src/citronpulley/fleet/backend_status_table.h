#ifndef CITRONPULLEY_FLEET_BACKEND_STATUS_TABLE_H
#define CITRONPULLEY_FLEET_BACKEND_STATUS_TABLE_H

#include "citronpulley/base/instant.h"
#include "citronpulley/fleet/backend_status.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace citronpulley {

struct backend_health;
struct backend_limit;
struct backend_load;
struct entry_update;

/**
 * Loads and health of the backend servers that are busy, fail or are slow, for entry VMs. Each
 * change gets a revision number, so that an entry VM is sent only the changes that it does not
 * have, and small changes are not sent: when hundreds of backend servers fail, lists of all of them
 * in each answer use up the leader's processor. Soft state of the leader. Does no input or output.
 * Not thread-safe.
 */
class backend_status_table
{
public:
  /** Time between two updates of the table. */
  static constexpr microseconds kInterval{ 100'000 };
  /** Time for which a backend server that returned to the default is kept for late entry VMs. */
  static constexpr microseconds kKeepDefault{ 10'000'000 };

  /**
   * Updates the table with the present lists; backend servers in none of them return to the
   * default.
   */
  void Update(const std::vector<backend_load>& aBusy,
              const std::vector<backend_health>& aHealth,
              const std::vector<backend_limit>& aLimits,
              instant aNow);

  /**
   * Fills the statuses in an update for an entry VM: the changes since a revision, or all of them
   * if the revision is too old. Encoded once for all VMs that have the same revision.
   *
   * @param aRevision revision that the entry VM has from this leader; 0 for none
   */
  void FillUpdate(std::uint64_t aRevision, entry_update& aUpdate);

  std::uint64_t GetRevision() const noexcept { return mRevision; }

private:
  struct entry
  {
    backend_status mStatus;
    std::uint64_t mRevision = 0;
    instant mChangedAt;
  };

  void Publish(const backend_status& aStatus, instant aNow);
  void EvictDefaults(instant aNow);
  const std::string& GetEncodedChanges(std::uint64_t aSince);

  std::uint64_t mRevision = 0;
  std::map<std::uint64_t, entry> mEntries;
  /** Backend servers by the revision of their last change. */
  std::map<std::uint64_t, std::uint64_t> mByRevision;
  /** Highest revision of an evicted entry. */
  std::uint64_t mLastEvicted = 0;
  /** Encoded changes at the present revision, by the revision since which they are. */
  std::map<std::uint64_t, std::string> mEncoded;
};

} // namespace citronpulley

#endif
