#include "citronpulley/gateway/control_subscription.h"

#include <utility>

namespace citronpulley {

control_subscription::control_subscription(fleet_bus& aBus,
                                           entry_steering& aSteering,
                                           event_log& aLog,
                                           std::vector<vm_name> aControlVms)
  : mBus(aBus)
  , mSteering(aSteering)
  , mLog(aLog)
  , mContact(std::move(aControlVms))
{
}

void control_subscription::Tick(bool aIsAccepting, instant aNow)
{
  const control_contact::decision decision =
    mContact.Tick([this](const vm_name& aVm) { return mBus.GetLinkState(aVm); }, aNow);
  LogDecision(decision, aNow);
  for (const vm_name& vm : decision.mDisconnect) {
    mBus.Disconnect(vm);
  }
  if (decision.mReportTo) {
    const entry_report report = mSteering.MakeReport(aIsAccepting, aNow);
    mContact.RecordReport(report.mNumber, aNow);
    mBus.Send(*decision.mReportTo, report);
  }
}

void control_subscription::LogDecision(const control_contact::decision& aDecision, instant aNow)
{
  if (aDecision.mIsLost) {
    mLog.Write("control_lost",
               { { "control_vm", aDecision.mGivenUp.mValue }, { "reason", aDecision.mReason } },
               aNow);
  } else if (!aDecision.mGivenUp.IsEmpty() && mNextSearchLogAt <= aNow) {
    mNextSearchLogAt = aNow + kSearchLogInterval;
    mLog.Write("control_search",
               { { "control_vm", aDecision.mGivenUp.mValue },
                 { "reason", aDecision.mReason },
                 { "given_up", mContact.CountGivenUp() } },
               aNow);
  }
}

void control_subscription::Receive(const entry_update& aUpdate, instant aNow)
{
  const bool wasConnected = mContact.IsConnected();
  const std::optional<microseconds> took = mContact.Receive(aUpdate, aNow);
  if (!took || !aUpdate.mIsConfirmed) {
    return;
  }
  if (!wasConnected) {
    mLog.Write("control_found",
               { { "control_vm", mContact.GetCurrent().mValue },
                 { "took_us", static_cast<std::int64_t>(took->count()) },
                 { "proof_age_us", aUpdate.mProofAge },
                 { "config", static_cast<std::uint64_t>(aUpdate.mConfig) } },
               aNow);
  }
  const result<bool> isNewConfig = mSteering.HandleUpdate(aUpdate, aNow);
  if (!isNewConfig) {
    mLog.Write("update_not_applied",
               { { "config", static_cast<std::uint64_t>(aUpdate.mConfig) },
                 { "reason", isNewConfig.GetError().mMessage } },
               aNow);
    return;
  }
  if (isNewConfig.Get()) {
    mLog.Write("config_in_force",
               { { "version", static_cast<std::uint64_t>(aUpdate.mConfig) },
                 { "took_us", static_cast<std::int64_t>(took->count()) },
                 { "proof_age_us", aUpdate.mProofAge } },
               aNow);
  }
}

} // namespace citronpulley
