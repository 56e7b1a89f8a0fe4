#ifndef CITRONPULLEY_STORAGE_SNAPSHOT_STORE_H
#define CITRONPULLEY_STORAGE_SNAPSHOT_STORE_H

#include "citronpulley/base/result.h"
#include "citronpulley/storage/file_system.h"
#include "citronpulley/wire/consensus_messages.h"

#include <compare>
#include <optional>
#include <string>

namespace citronpulley {

/** Encoded state after entry `mLastIndex` was applied, with the membership in force at that entry.
 */
struct snapshot_record
{
  log_index mLastIndex = 0;
  term_number mLastTerm = 0;
  std::string mMembership;
  std::string mState;

  friend auto operator<=>(const snapshot_record&, const snapshot_record&) = default;
};

/** Stores the latest snapshot in one file that is replaced atomically. */
class snapshot_store
{
public:
  static constexpr const char* kFileName = "snapshot";

  /**
   * @param aFiles file system; it must outlive the store
   * @param aFolder data folder
   */
  snapshot_store(file_system& aFiles, std::string aFolder);

  /** @return the snapshot, nothing if there is none, or `storage_damaged` */
  result<std::optional<snapshot_record>> Recover();

  /** Replaces the snapshot atomically and durably. */
  status Save(const snapshot_record& aSnapshot);

private:
  file_system& mFiles;
  std::string mFolder;
};

} // namespace citronpulley

#endif
