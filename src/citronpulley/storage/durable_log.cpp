#include "citronpulley/storage/durable_log.h"

#include "citronpulley/storage/record_codec.h"

#include <cassert>
#include <utility>

namespace citronpulley {

namespace {

error MakeDamageError(const std::string& aPath, std::size_t aOffset)
{
  return MakeError(error_code::StorageDamaged,
                   step::Recover,
                   aPath,
                   "a record is damaged at offset " + std::to_string(aOffset));
}

} // namespace

durable_log::durable_log(file_system& aFiles, std::string aFolder)
  : mFiles(aFiles)
  , mFolder(std::move(aFolder))
  , mPath(mFolder + "/" + kFileName)
{
}

result<durable_log::content> durable_log::Recover()
{
  mIsFailed = false;
  const result<std::string> file = mFiles.Read(mPath);
  if (!file) {
    return file.GetError();
  }
  const std::string& bytes = file.Get();
  const std::optional<file_record> start = ReadRecord(bytes, 0);
  // The first record is written by an atomic replacement of the file, so a crash cannot leave it
  // incomplete.
  if (!start || start->mKind != record_kind::LogStart) {
    return MakeDamageError(mPath, 0);
  }
  content found{ start->mIndex, start->mTerm, {} };
  mStartIndex = start->mIndex;
  mOffsets.clear();
  std::size_t offset = kRecordHeaderSize;
  term_number term = start->mTerm;
  while (offset < bytes.size()) {
    const std::optional<file_record> record = ReadRecord(bytes, offset);
    if (!record) {
      if (IsDamage(bytes, offset)) {
        return MakeDamageError(mPath, offset);
      }
      break;
    }
    if (record->mIndex != GetLastIndex() + 1 || record->mTerm < term) {
      return MakeDamageError(mPath, offset);
    }
    term = record->mTerm;
    found.mEntries.push_back({ record->mIndex,
                               record->mTerm,
                               std::string(record->mPayload),
                               record->mKind == record_kind::Membership });
    mOffsets.push_back(offset);
    offset += kRecordHeaderSize + record->mPayload.size();
  }
  mSize = offset;
  if (offset < bytes.size()) {
    if (status truncated = RecordStatus(mFiles.Truncate(mPath, offset)); !truncated) {
      return truncated.GetError();
    }
  }
  // Entries that were written but not synced before the process ended are kept, so they are made
  // durable now.
  if (status synced = Sync(); !synced) {
    return synced.GetError();
  }
  return found;
}

status durable_log::Reset(log_index aStartIndex,
                          term_number aStartTerm,
                          const std::vector<log_entry>& aEntries)
{
  if (mIsFailed) {
    return RecordStatus(std::monostate{});
  }
  std::string bytes;
  AppendRecord({ record_kind::LogStart, aStartIndex, aStartTerm, {} }, 0, bytes);
  mOffsets.clear();
  for (const log_entry& entry : aEntries) {
    mOffsets.push_back(bytes.size());
    // The file is replaced atomically, so no write before it is unsynced.
    bytes += EncodeEntry(entry, bytes.size(), {});
  }
  mStartIndex = aStartIndex;
  mSize = bytes.size();
  mDurableSize = mSize;
  return RecordStatus(ReplaceFile(mFiles, mFolder, kFileName, bytes));
}

status durable_log::Append(const std::vector<log_entry>& aEntries)
{
  if (mIsFailed || aEntries.empty()) {
    return RecordStatus(std::monostate{});
  }
  const log_index first = aEntries.front().mIndex;
  assert(first > mStartIndex && first <= GetLastIndex() + 1);
  if (first <= GetLastIndex()) {
    mOffsets.resize(first - mStartIndex);
    mSize = mOffsets.back();
    mOffsets.pop_back();
    if (status truncated = RecordStatus(mFiles.Truncate(mPath, mSize)); !truncated) {
      return truncated;
    }
    // Without this sync, a crash could leave the new records followed by removed ones.
    if (status synced = Sync(); !synced) {
      return synced;
    }
  }
  const byte_range unsynced{ mDurableSize, mSize };
  std::string bytes;
  for (const log_entry& entry : aEntries) {
    mOffsets.push_back(mSize + bytes.size());
    bytes += EncodeEntry(entry, mSize + bytes.size(), unsynced);
  }
  mSize += bytes.size();
  return RecordStatus(mFiles.Append(mPath, bytes));
}

status durable_log::Sync()
{
  if (mIsFailed) {
    return RecordStatus(std::monostate{});
  }
  status synced = RecordStatus(mFiles.SyncFile(mPath));
  if (synced) {
    mDurableSize = mSize;
  }
  return synced;
}

std::string durable_log::EncodeEntry(const log_entry& aEntry,
                                     std::uint64_t aOffset,
                                     const byte_range& aUnsynced)
{
  std::string bytes;
  AppendRecord({ aEntry.mIsMembership ? record_kind::Membership : record_kind::Command,
                 aEntry.mIndex,
                 aEntry.mTerm,
                 aEntry.mPayload,
                 aUnsynced },
               aOffset,
               bytes);
  return bytes;
}

status durable_log::RecordStatus(status aStatus)
{
  if (!aStatus) {
    mIsFailed = true;
    return aStatus;
  }
  if (mIsFailed) {
    return MakeError(
      error_code::StorageFailed, step::Store, mPath, "an earlier write or sync of the file failed");
  }
  return aStatus;
}

} // namespace citronpulley
