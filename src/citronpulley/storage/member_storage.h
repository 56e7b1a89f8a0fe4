#ifndef CITRONPULLEY_STORAGE_MEMBER_STORAGE_H
#define CITRONPULLEY_STORAGE_MEMBER_STORAGE_H

#include "citronpulley/storage/durable_log.h"
#include "citronpulley/storage/snapshot_store.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace citronpulley {

/** Latest term that a member has seen, and the candidate that it voted for in this term. */
struct vote_record
{
  term_number mTerm = 0;
  /** 0 if the member has not voted in this term. */
  member_id mVotedFor;

  friend auto operator<=>(const vote_record&, const vote_record&) = default;
};

/** Changes to be stored together; they are written in the order vote, snapshot, log. */
struct storage_batch
{
  std::uint64_t mNumber = 0;
  std::optional<vote_record> mVote;
  /** Replaces the snapshot; the log is then replaced by `mEntries`, which follow the snapshot. */
  std::optional<snapshot_record> mSnapshot;
  std::vector<log_entry> mEntries;

  friend auto operator<=>(const storage_batch&, const storage_batch&) = default;
};

/** Identity, vote, snapshot and log read from a member's data folder. */
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
   * Locks the folder and reads it. If it holds no member, a new one is created first.
   *
   * @param aNewMember random identity for a new member; not 0
   * @return the content, or `storage_failed` or `storage_damaged`
   */
  result<recovered_member> Open(member_id aNewMember);

  /**
   * Reads the folder again after a failed write or sync, and writes the log anew: after a failed
   * sync, the system may take bytes for durable that are not. Store() works again after a success.
   *
   * @return the content, or `storage_failed` or `storage_damaged`
   */
  result<recovered_member> Reopen();

  /**
   * Stores batches in order. Log entries of several batches share one sync.
   *
   * @return success once all batches are durable; after a failure all calls before Reopen() fail
   */
  status Store(const std::vector<storage_batch>& aBatches);

private:
  status Create(member_id aNewMember);
  /** Reads all files of a folder that holds a member. */
  result<recovered_member> Recover();
  /** @param aNeedsSync set to true if the batch appended log entries that are not synced yet */
  status StoreBatch(const storage_batch& aBatch, bool& aNeedsSync);
  status SaveVote(const vote_record& aVote);
  /** @return index and term of a file with one record */
  result<std::pair<std::uint64_t, std::uint64_t>> ReadNumberPair(const std::string& aName) const;

  file_system& mFiles;
  std::string mFolder;
  durable_log mLog;
  snapshot_store mSnapshots;
  bool mIsFailed = false;
};

} // namespace citronpulley

#endif
