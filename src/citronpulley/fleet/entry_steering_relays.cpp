#include "citronpulley/fleet/entry_steering.h"

#include <algorithm>

namespace citronpulley {

namespace {

/** Entry VMs to which one request is sent on at most; each may cost a failed connection. */
constexpr std::size_t kMaxRelays = 3;

} // namespace

std::string_view ToString(relay_outcome aOutcome) noexcept
{
  switch (aOutcome) {
    case relay_outcome::Answered:
      return "answered";
    case relay_outcome::Refused:
      return "refused";
    case relay_outcome::Declined:
      return "declined";
    case relay_outcome::Failed:
      return "failed";
    case relay_outcome::NotSent:
      return "not_sent";
    case relay_outcome::Lost:
      return "lost";
    case relay_outcome::Abandoned:
      return "abandoned";
  }
  return "unknown";
}

std::optional<relay_target> entry_steering::ChooseRelay(const admission_ticket& aTicket,
                                                        instant aNow)
{
  if (aTicket.mIsRelayed || mRelayToken == 0 || aTicket.mRelays.size() >= kMaxRelays) {
    return std::nullopt;
  }
  const std::optional<vm_name> vm = mRelays.Choose(aTicket.mPlacement, aTicket.mRelays, aNow);
  return vm ? std::optional(relay_target{ *vm }) : std::nullopt;
}

bool entry_steering::MayRelay(const admission_ticket& aTicket,
                              instant aPlacedAt,
                              instant aNow) const
{
  const bool isFresh = !aTicket.mNeedsKey || aNow < mFreshUntil;
  return isFresh && aNow < aTicket.mDeadline && aNow < aPlacedAt + kMaxSendDelay;
}

void entry_steering::RecordRelayed(admission_ticket& aTicket, const relay_target& aTarget)
{
  aTicket.mRelays.push_back(aTarget.mVm);
  mRelays.RecordSent(aTarget.mVm);
}

next_step entry_steering::HandleRelayEnd(admission_ticket& aTicket,
                                         const relay_target& aTarget,
                                         relay_outcome aOutcome,
                                         instant aNow)
{
  const bool isUnreachable = aOutcome == relay_outcome::NotSent || aOutcome == relay_outcome::Lost;
  mRelays.RecordEnd(aTarget.mVm, !isUnreachable, aNow);
  switch (aOutcome) {
    case relay_outcome::Answered:
      return next_step::ForwardResponse;
    case relay_outcome::Refused:
      // Refunds the rate token.
      static_cast<void>(Refuse(aTicket, refusal_reason::Overloaded));
      return aTicket.mMayHaveRun ? next_step::Fail : next_step::ForwardResponse;
    case relay_outcome::Abandoned:
    case relay_outcome::Failed:
      return next_step::Fail;
    case relay_outcome::Declined:
    case relay_outcome::NotSent:
      return aNow < aTicket.mDeadline ? next_step::Retry
             : aTicket.mMayHaveRun    ? next_step::Fail
                                      : next_step::Refuse;
    case relay_outcome::Lost:
      break;
  }
  aTicket.mMayHaveRun = true;
  const bool hasAttempts = ++aTicket.mAttempts < std::max(1, aTicket.mRoute->mMaxAttempts);
  const bool mayRetry = aTicket.mPlacement.mIsIdempotent && hasAttempts &&
                        aNow < aTicket.mDeadline && mRetries.TrySpend(aTicket.mPlacement.mService);
  return mayRetry ? next_step::Retry : next_step::Fail;
}

void entry_steering::RecordUnreached(admission_ticket& aTicket,
                                     const placement& aPlacement,
                                     instant aNow)
{
  ++aTicket.mUnreached;
  mReach.RecordFailure(aTicket.mPlacement.mService, aPlacement.mBackend, aNow);
}

std::vector<reach_probe> entry_steering::StartProbes(instant aNow)
{
  std::vector<reach_probe> probes;
  for (const service_name& service : mReach.ListWatched()) {
    for (const std::string& backend :
         mReach.StartProbes(service, mPool.ListAccepting(service), aNow)) {
      if (const backend_record* record = mPool.FindRecord(backend)) {
        probes.push_back({ service, backend, record->mAddress });
      }
    }
  }
  return probes;
}

} // namespace citronpulley
