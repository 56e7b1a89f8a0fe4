#include "citronpulley/gateway/clock.h"
#include "citronpulley/gateway/entry_gateway.h"

namespace citronpulley {

void entry_gateway::StartStopping()
{
  const instant now = GetBootTime();
  mStop.emplace(now, mSettings.mGracePeriod);
  mLog.Write(
    "stopping", { { "open_requests", static_cast<std::uint64_t>(mExchanges.size()) } }, now);
  mCallerListener.StartStopping();
  mRelayListener.StartStopping();
  mSubscription.ScheduleReportNow();
}

bool entry_gateway::MayTake(const admission_ticket& aTicket, instant aNow) const
{
  return !mStop ||
         mStop->MayTake(aTicket.mDeadline, aNow + mSteering.GetLongRunTime(aTicket), aNow);
}

void entry_gateway::AnswerAll(instant aNow)
{
  const std::set<exchange_ptr> open = mExchanges;
  for (const exchange_ptr& exchange : open) {
    const bool mayHaveRun = exchange->mIsAttemptRunning || exchange->mTicket.mMayHaveRun;
    EndAttempt(*exchange, attempt_outcome::Abandoned, aNow);
    RefuseExchange(exchange,
                   mayHaveRun ? refusal_reason::OutcomeUnknown : refusal_reason::Stopping);
  }
}

void entry_gateway::CheckStop(instant aNow)
{
  if (!mStop) {
    return;
  }
  if (mStop->MustAnswerAll(aNow)) {
    AnswerAll(aNow);
  }
  if (mStop->IsOver(mExchanges.empty() && mCallerListener.CountBusySessions() == 0 &&
                      mRelayListener.CountBusySessions() == 0,
                    aNow)) {
    mIo.stop();
  }
}

} // namespace citronpulley
