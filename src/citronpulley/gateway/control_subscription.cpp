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
    mPresent = mControlVms.front();
  }
}

void control_subscription::Tick(bool aIsAccepting, instant aNow)
{
  if (mIsWaiting && mSentAt + kAnswerTimeout <= aNow) {
    mBus.Disconnect(mPresent);
    if (std::exchange(mIsConnected, false)) {
      mLog.Write("control_lost",
                 { { "control_vm", mPresent.mValue },
                   { "silent_us", static_cast<std::int64_t>((aNow - mSentAt).count()) } },
                 aNow);
    }
    TurnToNext(aNow);
  }
  if (mIsWaiting || aNow < mNextReportAt || mPresent.IsEmpty()) {
    return;
  }
  mIsWaiting = true;
  mSentAt = aNow;
  mNextReportAt = aNow + entry_steering::kReportInterval;
  mBus.Send(mPresent, mSteering.MakeReport(aIsAccepting, aNow));
}

void control_subscription::TurnToNext(instant aNow)
{
  mIsWaiting = false;
  mNextReportAt = aNow + kSearchPause;
  if (!mControlVms.empty()) {
    mPresent = mControlVms[++mNext % mControlVms.size()];
  }
}

void control_subscription::Learn(const contact_reply& aContacts)
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

void control_subscription::Take(const entry_update& aUpdate, instant aNow)
{
  if (!mIsWaiting) {
    return;
  }
  Learn(aUpdate.mContacts);
  mIsWaiting = false;
  if (!aUpdate.mIsConfirmed) {
    mIsConnected = false;
    const vm_name& leader = aUpdate.mContacts.mLeader;
    if (!leader.IsEmpty() && leader != mPresent) {
      mPresent = leader;
      mNextReportAt = aNow;
    } else {
      TurnToNext(aNow);
    }
    return;
  }
  if (!std::exchange(mIsConnected, true)) {
    mLog.Write("control_found",
               { { "control_vm", mPresent.mValue },
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
