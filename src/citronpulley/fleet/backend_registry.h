#ifndef CITRONPULLEY_FLEET_BACKEND_REGISTRY_H
#define CITRONPULLEY_FLEET_BACKEND_REGISTRY_H

#include "citronpulley/base/instant.h"
#include "citronpulley/fleet/fleet_message.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace citronpulley {

/**
 * Registry of the announced backend servers. Soft state of a control VM. Each change gets a
 * revision number, so that an entry VM is sent only the changes that it does not have. Does no
 * input or output. Not thread-safe.
 */
class backend_registry
{
public:
  /**
   * Time without an announcement after which a backend server is removed; ten announcement
   * intervals.
   */
  static constexpr microseconds kExpireAfter{ 15'000'000 };
  /** Maximum number of removals kept for entry VMs that have not received them yet. */
  static constexpr std::size_t kMaxRemovals = 1'000;
  /** Time for which the encoded full list is used again. */
  static constexpr microseconds kSnapshotLifetime{ 1'000'000 };

  /** @param aEpoch number that is unique to this instance of the registry */
  explicit backend_registry(std::uint64_t aEpoch) noexcept
    : mEpoch(aEpoch)
  {
  }

  /**
   * Handles an announcement. An announcement of an earlier process start, or an out-of-order one of
   * the same start, is ignored. So is one with the address of a backend server that started later.
   *
   * @return true when the backend server is new or its record changed
   */
  bool Update(const backend_record& aRecord, instant aNow);

  /**
   * Removes a backend server that left, if its process started at or before `aStartedAtMs` (Unix
   * milliseconds). Entry VMs are told even if it is not registered here, because they may know it
   * from a former leader.
   */
  void Remove(const std::string& aBackend, std::int64_t aStartedAtMs);

  /** Removes a backend server that left, whatever its process start, and tells all entry VMs. */
  void RemoveAnyStart(const std::string& aBackend);

  /** Removes the backend servers for which `aIsGone` returns true. */
  void RemoveIf(const std::function<bool(const backend_record&)>& aIsGone);

  /** Updates the load of a backend server, unless a newer one is known. */
  void UpdateLoad(const backend_load& aLoad, instant aNow);

  /** @return recent loads of backend servers that are nearly full or overloaded */
  std::vector<backend_load> ListBusy(instant aNow) const;

  /** Removes backend servers whose announcements have stopped. */
  void Expire(instant aNow);

  /**
   * Fills the list of backend servers in an update for an entry VM: the changes since a revision,
   * or the full list if the epoch differs or the revision is too old. The full list is a snapshot
   * that is encoded once for many VMs, and the changes after it: after a change of the leader all
   * VMs ask for it at once.
   *
   * @param aEpoch epoch of the list that the entry VM has
   * @param aRevision revision of that list
   */
  void FillUpdate(std::uint64_t aEpoch,
                  std::uint64_t aRevision,
                  instant aNow,
                  entry_update& aUpdate);

  /** @return backend servers announced since a time */
  std::set<std::string> ListSeenSince(instant aSince) const;

  /** @return the record at `aNow` of a backend server that was announced since a time */
  std::optional<backend_record> FindSeenSince(const std::string& aBackend,
                                              instant aSince,
                                              instant aNow) const;

  /** @return backend servers that are warming up */
  std::vector<const backend_record*> ListCold(instant aNow);

  /** @return the record of a backend server, or null when it is not registered */
  const backend_record* Find(const std::string& aBackend) const;

  /**
   * @return process start of a backend server in Unix milliseconds, or 0 when it is not registered
   */
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

  /** End of the use of a backend server, for entry VMs that were not told yet. */
  struct removal
  {
    std::uint64_t mRevision = 0;
    std::string mBackend;
    /**
     * Latest process start that left, in Unix milliseconds. Set for a backend server that was not
     * registered: entry VMs may know a later start. Otherwise no start is in use.
     */
    std::optional<std::int64_t> mStartedAtMs;
  };

  /** Full list at one revision, encoded for updates. */
  struct list_snapshot
  {
    std::string mEncoded;
    std::uint64_t mRevision = 0;
    instant mMadeAt;
    bool mIsValid = false;
  };

  void RefreshSnapshot(instant aNow);
  /** @return the record with the remaining warm-up time at `aNow` */
  static backend_record MakeCurrentRecord(const entry& aEntry, instant aNow);
  /**
   * Removes another backend server at the record's address if it started earlier.
   *
   * @return true when the other one started later, so that the record is to be ignored
   */
  bool ResolveAddressConflict(const backend_record& aRecord);
  void RemoveEntry(const std::string& aBackend);
  template<typename Predicate>
  void RemoveEntriesIf(const Predicate& aPredicate);
  void AddRemoval(const std::string& aBackend, std::optional<std::int64_t> aStartedAtMs);

  std::uint64_t mEpoch;
  std::uint64_t mRevision = 0;
  std::map<std::string, entry> mEntries;
  std::map<server_name, std::string> mByAddress;
  /**
   * Backend servers by the revision of their last change, so that the cost of an update depends
   * only on the number of changes.
   */
  std::map<std::uint64_t, std::string> mByRevision;
  /** Backend servers that are warming up; may include some whose warm-up has ended. */
  std::set<std::string> mCold;
  /** Oldest first. */
  std::deque<removal> mRemovals;
  /** Highest revision whose removal is no longer kept. */
  std::uint64_t mLastEvictedRemoval = 0;
  list_snapshot mSnapshot;
};

} // namespace citronpulley

#endif
