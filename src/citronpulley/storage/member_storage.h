#ifndef CITRONPULLEY_STORAGE_MEMBER_STORAGE_H
#define CITRONPULLEY_STORAGE_MEMBER_STORAGE_H

#include "citronpulley/storage/durable_log.h"
#include "citronpulley/storage/snapshot_store.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace citronpulley {

/** Latest term that a member has seen and the candidate that has its vote in it. */
struct vote_record
{
  term_number mTerm = 0;
  /** 0 without a vote. */
  member_id mVotedFor;

  friend auto operator<=>(const vote_record&, const vote_record&) = default;
};

/** Changes that a member wants stored, in the order vote, snapshot, log. */
struct storage_batch
{
  std::uint64_t mNumber = 0;
  std::optional<vote_record> mVote;
  /** Replaces the snapshot; the log then holds exactly `mEntries` after it. */
  std::optional<snapshot_record> mSnapshot;
  std::vector<log_entry> mEntries;

  friend auto operator<=>(const storage_batch&, const storage_batch&) = default;
};

/** What a member finds in its data folder. */
struct recovered_member
{
  member_id mMember;
  vote_record mVote;
  std::optional<snapshot_record> mSnapshot;
  /** Entries after the snapshot. */
  std::vector<log_entry> mEntries;

  friend auto operator<=>(const recovered_member&, const recovered_member&) = default;
};

/** Data folder of one member of the control group. */
class member_storage
{
public:
  /**
   * @param aFiles file system; it must outlive the storage
   * @param aFolder data folder
   */
  member_storage(file_system& aFiles, std::string aFolder);

  /**
   * Locks the folder and reads it; a folder without a member gets the new identity.
   *
   * @param aNewMember random identity; not 0
   * @return the content, or `storage_failed` or `storage_damaged`
   */
  result<recovered_member> Open(member_id aNewMember);

  /**
   * Stores batches in order with as few syncs as possible.
   *
   * @return nothing once everything is durable; after a failure every further call fails
   */
  status Store(const std::vector<storage_batch>& aBatches);

private:
  status Create(member_id aNewMember);
  status StoreBatch(const storage_batch& aBatch, bool& aNeedsSync);
  status SaveVote(const vote_record& aVote);
  result<std::pair<std::uint64_t, std::uint64_t>> ReadNumberPair(const std::string& aName) const;

  file_system& mFiles;
  std::string mFolder;
  durable_log mLog;
  snapshot_store mSnapshots;
  bool mIsFailed = false;
};

} // namespace citronpulley

#endif
