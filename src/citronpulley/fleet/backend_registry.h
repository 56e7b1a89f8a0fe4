#ifndef CITRONPULLEY_FLEET_BACKEND_REGISTRY_H
#define CITRONPULLEY_FLEET_BACKEND_REGISTRY_H

#include "citronpulley/base/instant.h"
#include "citronpulley/fleet/fleet_message.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace citronpulley {

/**
 * Backend servers as they announced themselves. Soft state of a control VM; the leader numbers its
 * changes, so that an entry VM gets only what it misses. Pure and not thread-safe.
 */
class backend_registry
{
public:
  /** Silence after which a backend server is forgotten; ten announcements. */
  static constexpr microseconds kExpireAfter{ 15'000'000 };
  /** Time between two searches for busy backend servers; each report asks for them. */
  static constexpr microseconds kBusyInterval{ 50'000 };
  /** Removals that are kept for entry VMs that lag. */
  static constexpr std::size_t kMaxRemovals = 1'000;

  /** @param aEpoch number that no other run of a registry uses */
  explicit backend_registry(std::uint64_t aEpoch) noexcept
    : mEpoch(aEpoch)
  {
  }

  /**
   * Takes an announcement; an older start or a late one of the same start changes nothing.
   *
   * @return true when the backend server is new or its record changed
   */
  bool Update(const backend_record& aRecord, instant aNow);

  /** Removes a start of a backend server that left, and any older one. */
  void Remove(const std::string& aBackend, std::int64_t aStartedAtMs);

  /** Takes a load that an entry VM saw. */
  void UpdateLoad(const backend_load& aLoad, instant aNow);

  /** @return recent loads of backend servers that are nearly or more than full */
  std::vector<backend_load> ListBusy(instant aNow);

  /** Forgets backend servers that are silent for long. */
  void Expire(instant aNow);

  /** Writes what an entry VM at an epoch and revision misses. */
  void FillUpdate(std::uint64_t aEpoch,
                  std::uint64_t aRevision,
                  instant aNow,
                  entry_update& aUpdate) const;

  /** @return records heard since a time, for a new leader */
  std::vector<backend_record> ListSeenSince(instant aSince, instant aNow) const;

  /** @return backend servers that are cold now */
  std::vector<const backend_record*> ListCold(instant aNow);

  /** @return the record of a backend server, or null when it is unknown */
  const backend_record* Find(const std::string& aBackend) const;

  /** @return the start of a backend server, or 0 when it is unknown */
  std::int64_t GetStartedAtMs(const std::string& aBackend) const;

  std::size_t GetCount() const noexcept { return mEntries.size(); }

private:
  struct entry
  {
    backend_record mRecord;
    instant mSeenAt;
    instant mColdUntil;
    std::uint64_t mRevision = 0;
    double mLoad = 0;
    instant mLoadAt;
  };

  struct busy_backend
  {
    std::string mId;
    double mLoad = 0;
    instant mLoadAt;
  };

  static backend_record MakeCurrentRecord(const entry& aEntry, instant aNow);
  bool ResolveAddressConflict(const backend_record& aRecord);
  void RemoveEntry(const std::string& aBackend);

  std::uint64_t mEpoch;
  std::uint64_t mRevision = 0;
  std::map<std::string, entry> mEntries;
  std::map<server_name, std::string> mByAddress;
  /** Backend servers by their last change, so that a report costs only what it misses. */
  std::map<std::uint64_t, std::string> mByRevision;
  /** All that are cold, and some that no longer are. */
  std::set<std::string> mCold;
  std::vector<busy_backend> mBusy;
  instant mNextBusyAt;
  std::deque<std::pair<std::uint64_t, std::string>> mRemovals;
  /** Removals up to this revision are no longer known. */
  std::uint64_t mLastEvictedRemoval = 0;
};

} // namespace citronpulley

#endif
