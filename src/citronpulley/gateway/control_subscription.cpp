#include "citronpulley/gateway/control_subscription.h"

#include <algorithm>
#include <utility>

namespace citronpulley {

control_subscription::control_subscription(fleet_bus& aBus,
                                           entry_steering& aSteering,
                                           event_log& aLog,
                                           std::vector<vm_name> aControlVms)
  : mBus(aBus)
  , mSteering(aSteering)
  , mLog(aLog)
  , mSeeds(std::move(aControlVms))
  , mControlVms(mSeeds)
{
  if (!mControlVms.empty()) {
    mCurrent = mControlVms.front();
  }
}

void control_subscription::Tick(bool aIsAccepting, instant aNow)
{
  if (mIsWaiting && mSentAt + kReplyTimeout <= aNow) {
    mBus.Disconnect(mCurrent);
    if (std::exchange(mIsConnected, false)) {
      mLog.Write("control_lost",
                 { { "control_vm", mCurrent.mValue },
                   { "silent_us", static_cast<std::int64_t>((aNow - mSentAt).count()) } },
                 aNow);
    }
    SwitchToNext(aNow);
  }
  if (mIsWaiting || aNow < mNextReportAt || mCurrent.IsEmpty()) {
    return;
  }
  mIsWaiting = true;
  mSentAt = aNow;
  mNextReportAt = aNow + entry_steering::kReportInterval;
  mBus.Send(mCurrent, mSteering.MakeReport(aIsAccepting, aNow));
}

void control_subscription::SwitchToNext(instant aNow)
{
  mIsWaiting = false;
  mNextReportAt = aNow + kSearchPause;
  if (!mControlVms.empty()) {
    mCurrent = mControlVms[++mCurrentIndex % mControlVms.size()];
  }
}

void control_subscription::UpdateControlVms(const contact_reply& aContacts)
{
  if (aContacts.mControlVms.empty()) {
    return;
  }
  mControlVms = aContacts.mControlVms;
  for (const vm_name& seed : mSeeds) {
    if (std::ranges::find(mControlVms, seed) == mControlVms.end()) {
      mControlVms.push_back(seed);
    }
  }
}

void control_subscription::Receive(const entry_update& aUpdate, instant aNow)
{
  if (!mIsWaiting) {
    return;
  }
  UpdateControlVms(aUpdate.mContacts);
  mIsWaiting = false;
  if (!aUpdate.mIsConfirmed) {
    mIsConnected = false;
    const vm_name& leader = aUpdate.mContacts.mLeader;
    if (!leader.IsEmpty() && leader != mCurrent) {
      mCurrent = leader;
      mNextReportAt = aNow;
    } else {
      SwitchToNext(aNow);
    }
    return;
  }
  if (!std::exchange(mIsConnected, true)) {
    mLog.Write("control_found",
               { { "control_vm", mCurrent.mValue },
                 { "proof_age_us", aUpdate.mProofAge },
                 { "config", static_cast<std::uint64_t>(aUpdate.mConfig) } },
               aNow);
  }
  if (mSteering.HandleUpdate(aUpdate, mSentAt, aNow)) {
    mLog.Write("config_in_force",
               { { "version", static_cast<std::uint64_t>(aUpdate.mConfig) },
                 { "proof_age_us", aUpdate.mProofAge } },
               aNow);
  }
}

} // namespace citronpulley
