#include "citronpulley/storage/snapshot_store.h"

#include "citronpulley/storage/record_codec.h"

#include <utility>

namespace citronpulley {

snapshot_store::snapshot_store(file_system& aFiles, std::string aFolder)
  : mFiles(aFiles)
  , mFolder(std::move(aFolder))
{
}

result<std::optional<snapshot_record>> snapshot_store::Recover()
{
  const std::string path = mFolder + "/" + kFileName;
  const result<std::string> file = mFiles.Read(path);
  if (!file) {
    if (file.GetError().mCode == make_error_code(error_code::NotFound)) {
      return std::optional<snapshot_record>();
    }
    return file.GetError();
  }
  const std::optional<file_record> record = ReadRecord(file.Get(), 0);
  constexpr std::size_t kNumberSize = sizeof(std::uint64_t);
  if (!record || record->mKind != record_kind::Snapshot || record->mPayload.size() < kNumberSize ||
      record->mPayload.size() - kNumberSize < ReadNumber(record->mPayload, kNumberSize)) {
    return MakeError(error_code::StorageDamaged,
                     step::Recover,
                     path,
                     "the snapshot is damaged at offset 0; the file has " +
                       std::to_string(file.Get().size()) + " bytes");
  }
  const std::uint64_t length = ReadNumber(record->mPayload, kNumberSize);
  return std::optional<snapshot_record>(
    snapshot_record{ record->mIndex,
                     record->mTerm,
                     std::string(record->mPayload.substr(kNumberSize, length)),
                     std::string(record->mPayload.substr(kNumberSize + length)) });
}

status snapshot_store::Save(const snapshot_record& aSnapshot)
{
  std::string payload;
  AppendNumber(aSnapshot.mMembership.size(), sizeof(std::uint64_t), payload);
  payload += aSnapshot.mMembership;
  payload += aSnapshot.mState;
  std::string bytes;
  AppendRecord(
    { record_kind::Snapshot, aSnapshot.mLastIndex, aSnapshot.mLastTerm, payload }, 0, bytes);
  return ReplaceFile(mFiles, mFolder, kFileName, bytes);
}

} // namespace citronpulley
