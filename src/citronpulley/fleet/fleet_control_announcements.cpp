#include "citronpulley/fleet/fleet_control.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace citronpulley {

void fleet_control::HandleAnnouncement(const backend_record& aRecord, instant aNow)
{
  if (mState.HasDeparted(aRecord.mId, aRecord.mStartedAtMs) ||
      mDepartedUntil.contains(aRecord.mId)) {
    return;
  }
  if (mBackends.Update(aRecord, aNow) || !mGroup.IsLeader()) {
    mBackendsToForward.insert(aRecord.mId);
  }
}

std::int64_t fleet_control::FindDepartingStartMs(const std::string& aBackend, instant aNow) const
{
  if (!mGroup.IsLeader() || aNow < mLeadsSince + kStartsKnownAfter) {
    return 0;
  }
  return std::max(mBackends.GetStartedAtMs(aBackend), mState.GetDepartedStartMs(aBackend));
}

void fleet_control::HandleDeparture(const record_departure& aDeparture, instant aNow)
{
  if (aDeparture.mStartedAtMs != 0) {
    mBackends.Remove(aDeparture.mBackend, aDeparture.mStartedAtMs);
    return;
  }
  // The leader that proposed this did not know the latest start. Other VMs may, and forward
  // announcements that they received earlier.
  mBackends.RemoveAnyStart(aDeparture.mBackend);
  mDepartedUntil[aDeparture.mBackend] = aNow + kLateAnnouncementTime;
}

void fleet_control::RemoveDepartedBackends()
{
  mBackends.RemoveIf([this](const backend_record& aRecord) {
    return mState.HasDeparted(aRecord.mId, aRecord.mStartedAtMs);
  });
}

void fleet_control::ForwardAnnouncements(instant aNow, fleet_actions& aActions)
{
  if (mGroup.IsLeader()) {
    mBackendsToForward.clear();
  }
  const vm_name& leader = GetLeader(aNow);
  if (mBackendsToForward.empty() || aNow < mNextForwardAt || leader.IsEmpty()) {
    return;
  }
  mNextForwardAt = aNow + kForwardInterval;
  announcement_batch batch;
  for (const std::string& id : std::exchange(mBackendsToForward, {})) {
    std::optional<backend_record> record = mBackends.FindSeenSince(id, aNow - kMaxForwardAge, aNow);
    if (record) {
      batch.mAnnouncements.push_back(std::move(*record));
    }
  }
  if (!batch.mAnnouncements.empty()) {
    aActions.emplace_back(send_fleet_message{ leader, std::move(batch) });
  }
}

} // namespace citronpulley
