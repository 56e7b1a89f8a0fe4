#include "citronpulley/fleet/entry_steering.h"

#include <algorithm>
#include <utility>

namespace citronpulley {

namespace {

/** Timeout of a request when neither the caller nor the route sets one. */
constexpr microseconds kDefaultTimeout{ 30'000'000 };
/**
 * Fraction of the objective for which a request may wait for a slot, regardless of its run time.
 */
constexpr double kMinWaitFraction = 0.3;
/** Run time at a backend server that has not cached the affinity key, in fast run times. */
constexpr int kColdRunFactor = 3;
/** Objective of routes that do not set one. */
constexpr microseconds kDefaultObjective{ 1'000'000 };
/**
 * Retry delay while no leader is reachable: the time of an election and a report. Callers retry
 * only a few times, so a shorter delay would waste their attempts.
 */
constexpr microseconds kControlRetryAfter{ 1'000'000 };
/** Retry delay for a workspace that exceeded its rate: the time after which it has tokens again. */
constexpr microseconds kRateRetryAfter{ 1'000'000 };
/**
 * Failed connections to backend servers from which a request goes to another entry VM. A single
 * failed backend server is common; each further one costs the caller a round trip.
 */
constexpr int kMaxUnreached = 2;
/** Maximum number of crashes kept for the log. */
constexpr std::size_t kMaxFoundCrashes = 200;

} // namespace

std::string_view ToString(refusal_reason aReason) noexcept
{
  switch (aReason) {
    case refusal_reason::NoConfig:
      return "no_config";
    case refusal_reason::UnknownRoute:
      return "unknown_route";
    case refusal_reason::UnknownKey:
      return "unknown_key";
    case refusal_reason::NotFresh:
      return "not_fresh";
    case refusal_reason::RateExceeded:
      return "rate_exceeded";
    case refusal_reason::Quarantined:
      return "quarantined";
    case refusal_reason::NoBackend:
      return "no_backend_server";
    case refusal_reason::Overloaded:
      return "overloaded";
    case refusal_reason::NoTime:
      return "no_time";
    case refusal_reason::Stopping:
      return "stopping";
    case refusal_reason::OutcomeUnknown:
      return "outcome_unknown";
    case refusal_reason::TimedOut:
      return "timed_out";
  }
  return "unknown";
}

std::string_view ToString(next_step aStep) noexcept
{
  switch (aStep) {
    case next_step::ForwardResponse:
      return "pass_on";
    case next_step::Retry:
      return "try_again";
    case next_step::Refuse:
      return "refuse";
    case next_step::Fail:
      return "fail";
  }
  return "unknown";
}

entry_steering::entry_steering(entry_steering_settings aSettings)
  : mSettings(std::move(aSettings))
  , mPool(mSettings.mLocation.mZone, mSettings.mRegions)
  , mRelays(mSettings.mLocation.mRegion)
  , mRetries(mSettings.mRetriesPerRequest, mSettings.mRetryReserve)
{
}

const service_name& entry_steering::PickService(const route_rule& aRoute)
{
  if (aRoute.mServices.size() == 1) {
    return aRoute.mServices.front().mService;
  }
  double sum = 0;
  std::map<service_name, double>& credits = mWeightCredits[aRoute.mName];
  const weighted_service* best = nullptr;
  for (const weighted_service& weighted : aRoute.mServices) {
    sum += weighted.mWeight;
    double& credit = credits[weighted.mService];
    credit += weighted.mWeight;
    if (weighted.mWeight > 0 && (best == nullptr || credit > credits[best->mService])) {
      best = &weighted;
    }
  }
  credits[best->mService] -= sum;
  return best->mService;
}

bool entry_steering::IsQuarantined(const request_info& aRequest,
                                   const workspace_name& aWorkspace,
                                   instant aNow) const
{
  if (mQuarantined.empty()) {
    return false;
  }
  const digest fingerprint = aRequest.mFingerprint(aWorkspace);
  // Other VMs may hold a request responsible that they have seen only on backend servers that
  // crashed.
  return mQuarantined.contains(fingerprint) && !mCrashMonitor.IsAnsweredLately(fingerprint, aNow);
}

std::variant<admission_ticket, refusal> entry_steering::Admit(const request_info& aRequest,
                                                              instant aNow)
{
  const bool isOlder =
    mConfig && aRequest.mRelayed && mConfig->GetConfig().mVersion < aRequest.mRelayed->mConfig;
  if (!mConfig || isOlder) {
    return refusal{ refusal_reason::NoConfig, {}, kControlRetryAfter };
  }
  const route_rule* route = mConfig->FindRoute(aRequest.mHost, aRequest.mPath);
  if (route == nullptr) {
    return refusal{ refusal_reason::UnknownRoute };
  }
  admission_ticket ticket;
  ticket.mConfig = mConfig;
  ticket.mRoute = route;
  ticket.mPriority = route->mPriority;
  ticket.mDeadline = aNow + aRequest.mCallerTimeout.value_or(kDefaultTimeout);
  if (route->mTimeout) {
    ticket.mDeadline = std::min(ticket.mDeadline, aNow + *route->mTimeout);
  }
  const workspace_rule* workspace =
    aRequest.mKey != nullptr ? mConfig->FindWorkspace(*aRequest.mKey) : nullptr;
  const bool needsKey = !route->mIsOpen && !mConfig->GetConfig().mWorkspaces.empty();
  if (needsKey) {
    if (aNow >= mFreshUntil) {
      return refusal{ refusal_reason::NotFresh, {}, kControlRetryAfter };
    }
    if (workspace == nullptr) {
      return refusal{ refusal_reason::UnknownKey };
    }
  }
  ticket.mNeedsKey = needsKey;
  if (workspace != nullptr && aNow < mFreshUntil) {
    ticket.mWorkspace = workspace->mName;
    ticket.mPriority = workspace->mPriority.value_or(route->mPriority);
    ticket.mPlacement.mWorkspaceRegions = workspace->mPermittedRegions;
  }
  if (IsQuarantined(aRequest, ticket.mWorkspace, aNow)) {
    return refusal{ refusal_reason::Quarantined, ticket.mWorkspace };
  }
  const bool isCounted = aRequest.mRelayed && aRequest.mRelayed->mIsMetered;
  if (workspace != nullptr && workspace->mRate > 0 && !ticket.mWorkspace.IsEmpty() && !isCounted) {
    if (!mMeter.TrySpend(workspace->mName, aNow)) {
      return refusal{ refusal_reason::RateExceeded, workspace->mName, kRateRetryAfter };
    }
    ticket.mIsMetered = true;
  }
  ticket.mPlacement.mService = PickService(*route);
  ticket.mPlacement.mRouteRegions = route->mPermittedRegions;
  ticket.mPlacement.mIsIdempotent = route->mIsIdempotent;
  if (aRequest.mAffinityKey != nullptr) {
    ticket.mPlacement.mAffinityKey = *aRequest.mAffinityKey;
  }
  if (aRequest.mRelayed) {
    ticket.mIsRelayed = true;
    ticket.mAttempts = aRequest.mRelayed->mAttempts;
  } else {
    // The first VM counts a request that it sends on, so that it earns one retry only once.
    mRetries.RecordRequest(ticket.mPlacement.mService);
  }
  return ticket;
}

refusal entry_steering::Refuse(admission_ticket& aTicket, refusal_reason aReason)
{
  if (aTicket.mIsMetered && aTicket.mAttempts == 0) {
    mMeter.Refund(aTicket.mWorkspace);
    aTicket.mIsMetered = false;
  }
  refusal refused{ aReason, aTicket.mWorkspace };
  if (aReason == refusal_reason::Stopping) {
    // Other VMs can take the request at once.
    refused.mRetryAfter = microseconds{ 0 };
  }
  return refused;
}

std::variant<placement, relay_target, refusal> entry_steering::Place(admission_ticket& aTicket,
                                                                     instant aNow)
{
  if (aNow >= aTicket.mDeadline) {
    return Refuse(aTicket, refusal_reason::NoTime);
  }
  if (aTicket.mNeedsKey && aNow >= mFreshUntil) {
    return Refuse(aTicket, refusal_reason::NotFresh);
  }
  const bool isCutOff = mReach.GetReach(aTicket.mPlacement.mService) == reach::CutOff;
  if (isCutOff || aTicket.mUnreached >= kMaxUnreached) {
    if (const std::optional<relay_target> relay = ChooseRelay(aTicket, aNow)) {
      return *relay;
    }
  }
  aTicket.mPlacement.mAvoidsUnreachable = isCutOff;
  std::optional<placement> chosen = mPool.Choose(aTicket.mPlacement, aNow);
  if (!chosen) {
    if (mPool.HasUnreachable(aTicket.mPlacement, aNow)) {
      if (const std::optional<relay_target> relay = ChooseRelay(aTicket, aNow)) {
        return *relay;
      }
    }
    refusal refused = Refuse(aTicket, refusal_reason::NoBackend);
    if (const std::optional<instant> end = mPool.FindBackoffEnd(aTicket.mPlacement, aNow)) {
      refused.mRetryAfter = std::max(refused.mRetryAfter, *end - aNow);
    }
    return refused;
  }
  const microseconds waitLimit = ComputeWaitLimit(aTicket, *chosen, aNow);
  if (chosen->mExpectedWait >= waitLimit) {
    refusal refused = Refuse(aTicket, refusal_reason::Overloaded);
    refused.mOverload = overload_inputs{
      *chosen, waitLimit, GetRunTime(aTicket, *chosen), mPool.GetSpill(aTicket.mPlacement.mService)
    };
    return refused;
  }
  return *chosen;
}

microseconds entry_steering::GetLongRunTime(const admission_ticket& aTicket) const
{
  const auto known = mRunTimes.find(aTicket.mRoute->mName);
  const std::optional<microseconds> fast =
    known == mRunTimes.end() ? std::nullopt : known->second.Get();
  return fast ? kColdRunFactor * *fast : aTicket.mRoute->mObjective.value_or(kDefaultObjective);
}

microseconds entry_steering::GetRunTime(const admission_ticket& aTicket,
                                        const placement& aPlacement) const
{
  const auto known = mRunTimes.find(aTicket.mRoute->mName);
  return known == mRunTimes.end() ? aPlacement.mServiceTime
                                  : known->second.Get().value_or(aPlacement.mServiceTime);
}

microseconds entry_steering::ComputeWaitLimit(const admission_ticket& aTicket,
                                              const placement& aPlacement,
                                              instant aNow) const
{
  const microseconds objective = aTicket.mRoute->mObjective.value_or(kDefaultObjective);
  const auto minWait = microseconds(
    static_cast<microseconds::rep>(kMinWaitFraction * static_cast<double>(objective.count())));
  // Requests that wait so long that their response is late occupy slots that other requests need to
  // be in time.
  const microseconds waitInTime = std::max(minWait, objective - GetRunTime(aTicket, aPlacement));
  return std::min(aTicket.mPriority == 0 ? 2 * waitInTime : waitInTime, aTicket.mDeadline - aNow);
}

bool entry_steering::MaySend(const admission_ticket& aTicket,
                             const placement& aPlacement,
                             instant aPlacedAt,
                             instant aNow) const
{
  return MayRelay(aTicket, aPlacedAt, aNow) &&
         mPool.IsAccepting(aPlacement.mBackend, aPlacement.mStartedAtMs, aNow);
}

void entry_steering::RecordSent(const placement& aPlacement, instant aNow)
{
  mPool.RecordSent(aPlacement.mBackend, aNow);
}

next_step entry_steering::HandleAttemptEnd(admission_ticket& aTicket,
                                           const placement& aPlacement,
                                           attempt_outcome aOutcome,
                                           const std::optional<load_report>& aLoad,
                                           microseconds aTook,
                                           instant aNow)
{
  run_time_estimate& runTime = mRunTimes[aTicket.mRoute->mName];
  mPool.RecordEnd(
    aPlacement.mBackend, aOutcome, aLoad, aTook, runTime.GetSlowness(aTook, aLoad), aNow);
  if (aOutcome == attempt_outcome::Answered || aOutcome == attempt_outcome::Failed ||
      aOutcome == attempt_outcome::NotExecuted) {
    mCrashMonitor.ClearSuspicion({ aPlacement.mBackend, aPlacement.mStartedAtMs });
  }
  if (aOutcome == attempt_outcome::Answered) {
    runTime.Record(aTook, aLoad);
    return next_step::ForwardResponse;
  }
  if (aOutcome == attempt_outcome::Abandoned || aOutcome == attempt_outcome::TimedOut) {
    return next_step::Fail;
  }
  if (aOutcome == attempt_outcome::NotSent || aOutcome == attempt_outcome::Lost) {
    RecordUnreached(aTicket, aPlacement, aNow);
  }
  const bool wasSent =
    aOutcome != attempt_outcome::NotSent && aOutcome != attempt_outcome::Withheld;
  const bool hasNotRun = !wasSent || aOutcome == attempt_outcome::NotExecuted ||
                         aOutcome == attempt_outcome::WrongInstance;
  aTicket.mMayHaveRun = aTicket.mMayHaveRun || !hasNotRun;
  aTicket.mPlacement.mExcluded.push_back(aPlacement.mBackend);
  const bool isRepeatable = hasNotRun || aTicket.mPlacement.mIsIdempotent;
  const bool hasAttempts =
    !wasSent || ++aTicket.mAttempts < std::max(1, aTicket.mRoute->mMaxAttempts);
  const bool hasTime = aNow + aPlacement.mServiceTime / 2 < aTicket.mDeadline;
  if (isRepeatable && hasAttempts && hasTime &&
      (!wasSent || mRetries.TrySpend(aTicket.mPlacement.mService))) {
    return next_step::Retry;
  }
  if (aOutcome == attempt_outcome::Failed) {
    return next_step::ForwardResponse;
  }
  return aTicket.mMayHaveRun ? next_step::Fail : next_step::Refuse;
}

void entry_steering::RecordCrash(const backend_crash& aCrash, instant aNow)
{
  mCrashMonitor.ClearSuspicion(aCrash.mStart);
  // A VM that does not reach a service cannot tell a crash from its own lost connections.
  if (mReach.GetReach(aCrash.mService) != reach::Reachable) {
    return;
  }
  for (const digest& fingerprint : aCrash.mRequests) {
    if (!mCrashMonitor.IsAnsweredLately(fingerprint, aNow)) {
      mCrashes.Add({ fingerprint, ToString(aCrash.mStart) }, aNow);
    }
  }
}

void entry_steering::AddFoundCrash(const backend_crash& aCrash, instant aNow)
{
  RecordCrash(aCrash, aNow);
  if (mFoundCrashes.size() < kMaxFoundCrashes) {
    mFoundCrashes.push_back(aCrash);
  }
}

void entry_steering::RecordUnanswered(const admission_ticket& aTicket,
                                      const placement& aPlacement,
                                      const digest& aFingerprint,
                                      instant aNow)
{
  const service_name& service = aTicket.mPlacement.mService;
  if (mReach.GetReach(service) != reach::Reachable) {
    return;
  }
  const backend_start start{ aPlacement.mBackend, aPlacement.mStartedAtMs };
  if (const std::optional<backend_crash> crash =
        mCrashMonitor.RecordUnanswered(start, service, aFingerprint, aNow)) {
    AddFoundCrash(*crash, aNow);
  }
}

} // namespace citronpulley
