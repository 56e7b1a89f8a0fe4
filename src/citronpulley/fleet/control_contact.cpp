#include "citronpulley/fleet/control_contact.h"

#include "citronpulley/fleet/fleet_message.h"

#include <algorithm>
#include <utility>

namespace citronpulley {

control_contact::control_contact(std::vector<vm_name> aSeeds)
  : mSeeds(std::move(aSeeds))
  , mControlVms(mSeeds)
{
  if (!mControlVms.empty()) {
    mCurrent = mControlVms.front();
  }
}

control_contact::decision control_contact::Tick(const get_link& aGetLink, instant aNow)
{
  decision decision;
  CloseOverdueReports(aNow, decision);
  if (mWaitingSince) {
    const link_state link = aGetLink(mCurrent);
    const instant lastSign = std::max(*mWaitingSince, link.mLastReceivedAt);
    const bool isSilent = lastSign + kReplyTimeout <= aNow;
    if (!link.mIsUsable || isSilent || !HasOpenReport(mCurrent)) {
      decision.mGivenUp = mCurrent;
      decision.mReason = link.mIsUsable ? "silent" : "unreachable";
      if (!link.mIsUsable) {
        CloseReportsTo(mCurrent);
      }
      decision.mIsLost = std::exchange(mIsConnected, false);
      ++mGivenUpCount;
      SwitchToNext(aNow);
    }
  }
  if (!mWaitingSince && mNextReportAt <= aNow && !mCurrent.IsEmpty()) {
    decision.mReportTo = mCurrent;
  }
  return decision;
}

void control_contact::CloseOverdueReports(instant aNow, decision& aDecision)
{
  std::erase_if(mOpenReports, [&](const auto& aEntry) {
    if (aNow < aEntry.second.mGiveUpAt) {
      return false;
    }
    aDecision.mDisconnect.push_back(aEntry.second.mVm);
    mGiveUpTime = std::min(2 * mGiveUpTime, kMaxGiveUpTime);
    return true;
  });
}

void control_contact::RecordReport(std::uint64_t aNumber, instant aNow)
{
  mOpenReports[aNumber] = { mCurrent, aNow, aNow + mGiveUpTime };
  mWaitingSince = aNow;
  mNextReportAt = aNow + kReportInterval;
}

std::optional<microseconds> control_contact::Receive(const entry_update& aUpdate, instant aNow)
{
  auto report = mOpenReports.extract(aUpdate.mNumber);
  if (report.empty()) {
    return std::nullopt;
  }
  const open_report answered = std::move(report.mapped());
  UpdateControlVms(aUpdate.mContacts.mControlVms);
  if (aUpdate.mIsConfirmed) {
    mCurrent = answered.mVm;
    mIsConnected = true;
    mWaitingSince.reset();
    mGiveUpTime = kMinGiveUpTime;
    mGivenUpCount = 0;
  } else if (answered.mVm == mCurrent) {
    mIsConnected = false;
    mWaitingSince.reset();
    FollowLeader(aUpdate.mContacts.mLeader, aNow);
  }
  return aNow - answered.mSentAt;
}

void control_contact::FollowLeader(const vm_name& aLeader, instant aNow)
{
  if (aLeader.IsEmpty() || aLeader == mCurrent) {
    SwitchToNext(aNow);
    return;
  }
  mCurrent = aLeader;
  mNextReportAt = aNow;
  if (HasOpenReport(aLeader)) {
    mWaitingSince = aNow;
  }
}

void control_contact::CloseReportsTo(const vm_name& aVm)
{
  std::erase_if(mOpenReports, [&aVm](const auto& aEntry) { return aEntry.second.mVm == aVm; });
}

bool control_contact::HasOpenReport(const vm_name& aVm) const
{
  return std::ranges::any_of(mOpenReports,
                             [&aVm](const auto& aEntry) { return aEntry.second.mVm == aVm; });
}

void control_contact::SwitchToNext(instant aNow)
{
  mWaitingSince.reset();
  mNextReportAt = aNow + kSearchPause;
  if (!mControlVms.empty()) {
    mCurrent = mControlVms[++mCurrentIndex % mControlVms.size()];
  }
}

void control_contact::UpdateControlVms(const std::vector<vm_name>& aControlVms)
{
  if (aControlVms.empty()) {
    return;
  }
  mControlVms = aControlVms;
  for (const vm_name& seed : mSeeds) {
    if (std::ranges::find(mControlVms, seed) == mControlVms.end()) {
      mControlVms.push_back(seed);
    }
  }
}

} // namespace citronpulley
