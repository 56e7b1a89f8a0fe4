#include "citronpulley/storage/member_storage.h"

#include "citronpulley/storage/record_codec.h"

#include <algorithm>
#include <utility>

namespace citronpulley {

namespace {

constexpr const char* kMemberFile = "member";
constexpr const char* kVoteFile = "vote";
constexpr const char* kLockFile = "lock";

std::string EncodeNumberPair(record_kind aKind, std::uint64_t aIndex, std::uint64_t aTerm)
{
  std::string bytes;
  AppendRecord({ aKind, aIndex, aTerm, {} }, 0, bytes);
  return bytes;
}

} // namespace

member_storage::member_storage(file_system& aFiles, std::string aFolder)
  : mFiles(aFiles)
  , mFolder(std::move(aFolder))
  , mLog(aFiles, mFolder)
  , mSnapshots(aFiles, mFolder)
{
}

result<recovered_member> member_storage::Open(member_id aNewMember)
{
  const result<std::vector<std::string>> names = mFiles.List(mFolder);
  if (!names) {
    return names.GetError();
  }
  if (status locked = mFiles.Lock(mFolder + "/" + kLockFile); !locked) {
    return locked.GetError();
  }
  if (std::ranges::find(names.Get(), kMemberFile) == names.Get().end()) {
    if (status created = Create(aNewMember); !created) {
      return created.GetError();
    }
  }
  return Recover();
}

result<recovered_member> member_storage::Reopen()
{
  result<recovered_member> found = Recover();
  if (!found) {
    return found;
  }
  const std::optional<snapshot_record>& snapshot = found.Get().mSnapshot;
  const status reset = mLog.Reset(
    snapshot ? snapshot->mLastIndex : 0, snapshot ? snapshot->mLastTerm : 0, found.Get().mEntries);
  if (!reset) {
    return reset.GetError();
  }
  mIsFailed = false;
  return found;
}

result<recovered_member> member_storage::Recover()
{
  const auto member = ReadNumberPair(kMemberFile);
  const auto vote = ReadNumberPair(kVoteFile);
  result<std::optional<snapshot_record>> snapshot = mSnapshots.Recover();
  result<durable_log::content> log = mLog.Recover();
  if (!member) {
    return member.GetError();
  }
  if (!vote) {
    return vote.GetError();
  }
  if (!snapshot) {
    return snapshot.GetError();
  }
  if (!log) {
    return log.GetError();
  }
  recovered_member found;
  found.mMember = member_id{ member.Get().first };
  found.mVote = { vote.Get().second, member_id{ vote.Get().first } };
  found.mSnapshot = std::move(snapshot.Get());
  const log_index covered = found.mSnapshot ? found.mSnapshot->mLastIndex : 0;
  if (log.Get().mStartIndex > covered) {
    return MakeError(error_code::StorageDamaged,
                     step::Recover,
                     mFolder + "/" + snapshot_store::kFileName,
                     "the log starts after index " + std::to_string(log.Get().mStartIndex) +
                       (found.mSnapshot
                          ? ", but the snapshot ends at index " + std::to_string(covered)
                          : ", but the snapshot is missing"));
  }
  std::vector<log_entry>& entries = log.Get().mEntries;
  if (log.Get().mStartIndex == covered) {
    found.mEntries = std::move(entries);
    return found;
  }
  // The process ended after it replaced the snapshot and before it replaced the log.
  const auto last = std::ranges::find(entries, covered, &log_entry::mIndex);
  if (last != entries.end() && last->mTerm == found.mSnapshot->mLastTerm) {
    found.mEntries.assign(std::next(last), entries.end());
  }
  if (status reset = mLog.Reset(covered, found.mSnapshot->mLastTerm, found.mEntries); !reset) {
    return reset.GetError();
  }
  return found;
}

status member_storage::Create(member_id aNewMember)
{
  if (status saved = SaveVote({}); !saved) {
    return saved;
  }
  if (status reset = mLog.Reset(0, 0, {}); !reset) {
    return reset;
  }
  if (status removed = mFiles.Remove(mFolder + "/" + snapshot_store::kFileName); !removed) {
    return removed;
  }
  // The identity is written last, so a folder that has one also has all other files.
  return ReplaceFile(
    mFiles, mFolder, kMemberFile, EncodeNumberPair(record_kind::Member, aNewMember.mValue, 0));
}

status member_storage::Store(const std::vector<storage_batch>& aBatches)
{
  bool needsSync = false;
  status done = std::monostate{};
  if (mIsFailed) {
    return MakeError(
      error_code::StorageFailed, step::Store, mFolder, "an earlier write or sync failed");
  }
  for (const storage_batch& batch : aBatches) {
    done = StoreBatch(batch, needsSync);
    if (!done) {
      break;
    }
  }
  if (done && needsSync) {
    done = mLog.Sync();
  }
  mIsFailed = !done;
  return done;
}

status member_storage::StoreBatch(const storage_batch& aBatch, bool& aNeedsSync)
{
  if (aBatch.mVote) {
    if (status saved = SaveVote(*aBatch.mVote); !saved) {
      return saved;
    }
  }
  if (aBatch.mSnapshot) {
    if (status saved = mSnapshots.Save(*aBatch.mSnapshot); !saved) {
      return saved;
    }
    return mLog.Reset(aBatch.mSnapshot->mLastIndex, aBatch.mSnapshot->mLastTerm, aBatch.mEntries);
  }
  aNeedsSync = aNeedsSync || !aBatch.mEntries.empty();
  return mLog.Append(aBatch.mEntries);
}

status member_storage::SaveVote(const vote_record& aVote)
{
  return ReplaceFile(mFiles,
                     mFolder,
                     kVoteFile,
                     EncodeNumberPair(record_kind::Vote, aVote.mVotedFor.mValue, aVote.mTerm));
}

result<std::pair<std::uint64_t, std::uint64_t>> member_storage::ReadNumberPair(
  const std::string& aName) const
{
  const std::string path = mFolder + "/" + aName;
  const result<std::string> file = mFiles.Read(path);
  const std::optional<file_record> record =
    file ? ReadRecord(file.Get(), 0) : std::optional<file_record>();
  if (!record) {
    return MakeError(error_code::StorageDamaged,
                     step::Recover,
                     path,
                     file ? "the record is damaged at offset 0; the file has " +
                              std::to_string(file.Get().size()) + " bytes"
                          : "cannot read the file: " + file.GetError().mMessage);
  }
  return std::pair(record->mIndex, record->mTerm);
}

} // namespace citronpulley
