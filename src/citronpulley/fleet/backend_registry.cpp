#include "citronpulley/fleet/backend_registry.h"

#include <algorithm>
#include <tuple>

namespace citronpulley {

namespace {

/**
 * Change of the end of the warm-up that counts as a change of the record. Each announcement reports
 * a shorter remaining time, which alone is no change.
 */
constexpr microseconds kWarmupTolerance{ 500'000 };

/** Utilisation of the slots from which a load is sent to all entry VMs. */
constexpr double kBusyUtilisation = 0.8;
/** Maximum age of a load that is sent to entry VMs. */
constexpr microseconds kMaxLoadAge{ 1'500'000 };

bool IsSameExceptTiming(const backend_record& aLeft, const backend_record& aRight)
{
  return std::tie(aLeft.mService,
                  aLeft.mAddress,
                  aLeft.mZone,
                  aLeft.mSlots,
                  aLeft.mIsLeaving,
                  aLeft.mStartedAtMs) == std::tie(aRight.mService,
                                                  aRight.mAddress,
                                                  aRight.mZone,
                                                  aRight.mSlots,
                                                  aRight.mIsLeaving,
                                                  aRight.mStartedAtMs);
}

} // namespace

bool backend_registry::Update(const backend_record& aRecord, instant aNow)
{
  const auto known = mEntries.find(aRecord.mId);
  if (known != mEntries.end()) {
    const backend_record& current = known->second.mRecord;
    if (std::pair(aRecord.mStartedAtMs, aRecord.mSequence) <=
        std::pair(current.mStartedAtMs, current.mSequence)) {
      return false;
    }
  }
  if (ResolveAddressConflict(aRecord)) {
    return false;
  }
  const instant coldUntil = aNow + microseconds(aRecord.mColdForMs * 1'000);
  const bool isChanged =
    known == mEntries.end() || !IsSameExceptTiming(known->second.mRecord, aRecord) ||
    (coldUntil > aNow || known->second.mColdUntil > aNow
       ? std::chrono::abs(coldUntil - known->second.mColdUntil) > kWarmupTolerance
       : false);
  entry& entry = mEntries[aRecord.mId];
  entry.mRecord = aRecord;
  entry.mSeenAt = aNow;
  mByAddress[aRecord.mAddress] = aRecord.mId;
  if (isChanged) {
    entry.mColdUntil = coldUntil;
    mByRevision.erase(entry.mRevision);
    entry.mRevision = ++mRevision;
    mByRevision.emplace(mRevision, aRecord.mId);
    if (coldUntil > aNow) {
      mCold.insert(aRecord.mId);
    }
  }
  return isChanged;
}

bool backend_registry::ResolveAddressConflict(const backend_record& aRecord)
{
  const auto position = mByAddress.find(aRecord.mAddress);
  if (position == mByAddress.end() || position->second == aRecord.mId) {
    return false;
  }
  const auto other = mEntries.find(position->second);
  if (other == mEntries.end() || other->second.mRecord.mAddress != aRecord.mAddress) {
    return false;
  }
  if (other->second.mRecord.mStartedAtMs > aRecord.mStartedAtMs) {
    return true;
  }
  RemoveEntry(std::string(position->second));
  return false;
}

void backend_registry::RemoveEntry(const std::string& aBackend)
{
  const auto found = mEntries.find(aBackend);
  if (found == mEntries.end()) {
    return;
  }
  const auto position = mByAddress.find(found->second.mRecord.mAddress);
  if (position != mByAddress.end() && position->second == aBackend) {
    mByAddress.erase(position);
  }
  mByRevision.erase(found->second.mRevision);
  mEntries.erase(found);
  AddRemoval(aBackend, std::nullopt);
}

void backend_registry::AddRemoval(const std::string& aBackend,
                                  std::optional<std::int64_t> aStartedAtMs)
{
  mRemovals.push_back({ ++mRevision, aBackend, aStartedAtMs });
  if (mRemovals.size() > kMaxRemovals) {
    mLastEvictedRemoval = mRemovals.front().mRevision;
    mRemovals.pop_front();
  }
}

void backend_registry::Remove(const std::string& aBackend, std::int64_t aStartedAtMs)
{
  const auto found = mEntries.find(aBackend);
  if (found == mEntries.end()) {
    AddRemoval(aBackend, aStartedAtMs);
  } else if (found->second.mRecord.mStartedAtMs <= aStartedAtMs) {
    RemoveEntry(aBackend);
  }
}

void backend_registry::RemoveAnyStart(const std::string& aBackend)
{
  if (mEntries.contains(aBackend)) {
    RemoveEntry(aBackend);
  } else {
    AddRemoval(aBackend, std::nullopt);
  }
}

void backend_registry::UpdateLoad(const backend_load& aLoad, instant aNow)
{
  const auto found = mEntries.find(aLoad.mBackend);
  const instant at = aNow - microseconds(aLoad.mAge);
  if (found != mEntries.end() && at > found->second.mLoadAt) {
    found->second.mLoad = aLoad.mRequests;
    found->second.mLoadAt = at;
  }
}

std::vector<backend_load> backend_registry::ListBusy(instant aNow) const
{
  std::vector<backend_load> list;
  for (const auto& [id, entry] : mEntries) {
    if (entry.mLoadAt + kMaxLoadAge > aNow &&
        entry.mLoad >= kBusyUtilisation * entry.mRecord.mSlots) {
      list.push_back({ id, entry.mLoad, (aNow - entry.mLoadAt).count() });
    }
  }
  return list;
}

template<typename Predicate>
void backend_registry::RemoveEntriesIf(const Predicate& aPredicate)
{
  std::vector<std::string> removed;
  for (const auto& [id, entry] : mEntries) {
    if (aPredicate(entry)) {
      removed.push_back(id);
    }
  }
  for (const std::string& id : removed) {
    RemoveEntry(id);
  }
}

void backend_registry::Expire(instant aNow)
{
  RemoveEntriesIf([aNow](const entry& aEntry) { return aEntry.mSeenAt + kExpireAfter <= aNow; });
}

void backend_registry::RemoveIf(const std::function<bool(const backend_record&)>& aIsGone)
{
  RemoveEntriesIf([&aIsGone](const entry& aEntry) { return aIsGone(aEntry.mRecord); });
}

backend_record backend_registry::MakeCurrentRecord(const entry& aEntry, instant aNow)
{
  backend_record record = aEntry.mRecord;
  record.mColdForMs =
    std::max<std::int64_t>(0, (aEntry.mColdUntil - aNow + microseconds(999)).count() / 1'000);
  return record;
}

void backend_registry::RefreshSnapshot(instant aNow)
{
  const bool isUsable = mSnapshot.mIsValid && aNow < mSnapshot.mMadeAt + kSnapshotLifetime &&
                        mSnapshot.mRevision >= mLastEvictedRemoval;
  if (isUsable) {
    return;
  }
  std::vector<backend_record> list;
  list.reserve(mEntries.size());
  for (const auto& [id, entry] : mEntries) {
    list.push_back(MakeCurrentRecord(entry, aNow));
  }
  mSnapshot = { EncodeBackendList(list), mRevision, aNow, true };
}

void backend_registry::FillUpdate(std::uint64_t aEpoch,
                                  std::uint64_t aRevision,
                                  instant aNow,
                                  entry_update& aUpdate)
{
  const bool isFullList =
    aEpoch != mEpoch || aRevision < mLastEvictedRemoval || aRevision > mRevision;
  aUpdate.mListEpoch = mEpoch;
  aUpdate.mListRevision = mRevision;
  aUpdate.mIsWholeList = isFullList;
  std::uint64_t since = aRevision;
  if (isFullList) {
    RefreshSnapshot(aNow);
    aUpdate.mListSnapshot = mSnapshot.mEncoded;
    aUpdate.mListSnapshotAge = (aNow - mSnapshot.mMadeAt).count();
    since = mSnapshot.mRevision;
  }
  for (auto position = mByRevision.upper_bound(since); position != mByRevision.end(); ++position) {
    aUpdate.mBackends.push_back(MakeCurrentRecord(mEntries.at(position->second), aNow));
  }
  for (const removal& removal : mRemovals) {
    if (removal.mRevision <= since || mEntries.contains(removal.mBackend)) {
      continue;
    }
    if (removal.mStartedAtMs) {
      aUpdate.mDepartures.push_back({ removal.mBackend, *removal.mStartedAtMs });
    } else {
      aUpdate.mRemoved.push_back(removal.mBackend);
    }
  }
}

std::set<std::string> backend_registry::ListSeenSince(instant aSince) const
{
  std::set<std::string> list;
  for (const auto& [id, entry] : mEntries) {
    if (entry.mSeenAt >= aSince) {
      list.insert(id);
    }
  }
  return list;
}

std::optional<backend_record> backend_registry::FindSeenSince(const std::string& aBackend,
                                                              instant aSince,
                                                              instant aNow) const
{
  const auto found = mEntries.find(aBackend);
  if (found == mEntries.end() || found->second.mSeenAt < aSince) {
    return std::nullopt;
  }
  return MakeCurrentRecord(found->second, aNow);
}

const backend_record* backend_registry::Find(const std::string& aBackend) const
{
  const auto found = mEntries.find(aBackend);
  return found == mEntries.end() ? nullptr : &found->second.mRecord;
}

std::int64_t backend_registry::GetStartedAtMs(const std::string& aBackend) const
{
  const backend_record* record = Find(aBackend);
  return record == nullptr ? 0 : record->mStartedAtMs;
}

std::vector<const backend_record*> backend_registry::ListCold(instant aNow)
{
  std::vector<const backend_record*> list;
  for (auto position = mCold.begin(); position != mCold.end();) {
    const auto found = mEntries.find(*position);
    if (found == mEntries.end() || found->second.mColdUntil <= aNow) {
      position = mCold.erase(position);
      continue;
    }
    list.push_back(&found->second.mRecord);
    ++position;
  }
  return list;
}

} // namespace citronpulley
