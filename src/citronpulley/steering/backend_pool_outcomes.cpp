#include "citronpulley/steering/backend_pool.h"
#include "citronpulley/steering/run_time_estimate.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace citronpulley {

namespace {

/** Minimum slowness that is recorded; lower values come from errors of the estimate. */
constexpr double kMinSlowness = 0.5;
/** Weight of one response in the moving averages of the service time. */
constexpr double kMeanWeight = 0.1;
/** Weight of one outcome in the moving average of the failure rate. */
constexpr double kFailureWeight = 0.15;
/**
 * Ejection time after a failed connection; it doubles with each further one in a row, at most
 * kMaxEjectionDoublings times.
 */
constexpr microseconds kFirstEjection{ 400'000 };
constexpr int kMaxEjectionDoublings = 3;

} // namespace

void backend_pool::RecordSent(const std::string& aBackend, instant aNow)
{
  const auto found = mBackends.find(aBackend);
  if (found == mBackends.end()) {
    return;
  }
  backend& backend = found->second;
  backend.mOwnRequests += 1;
  if (backend.mShare) {
    backend.mShare->Spend(aNow);
  }
  mServices[backend.mRecord.mService].mHasTraffic = true;
  backend.mIsProbing = backend.mConsecutiveFailures > 0;
  const auto rate = mWarmupRates.find(aBackend);
  if (aNow < backend.mColdUntil && rate != mWarmupRates.end() && rate->second > 0) {
    backend.mNextWarmupAt =
      aNow + microseconds(static_cast<microseconds::rep>(1'000'000 / rate->second));
  }
}

void backend_pool::RecordEnd(const std::string& aBackend,
                             attempt_outcome aOutcome,
                             const std::optional<load_report>& aLoad,
                             microseconds aTook,
                             double aSlowness,
                             instant aNow)
{
  const auto found = mBackends.find(aBackend);
  if (found == mBackends.end()) {
    return;
  }
  backend& backend = found->second;
  backend.mOwnRequests = std::max(0.0, backend.mOwnRequests - 1);
  backend.mIsProbing = false;
  if (aLoad) {
    backend.mLoad = *aLoad;
    backend.mOwnRequestsAtReport = backend.mOwnRequests;
    backend.mReportedAt = aNow;
    backend.mHasReport = true;
    backend.mHasUnsentReport = true;
  }
  if (aOutcome == attempt_outcome::Abandoned || aOutcome == attempt_outcome::Withheld) {
    return;
  }
  if (aOutcome == attempt_outcome::WrongInstance) {
    backend.mRecord.mIsLeaving = true;
    return;
  }
  if (aOutcome == attempt_outcome::NotSent) {
    ++backend.mTally.mFailures;
    const int doublings = std::min(backend.mConsecutiveFailures++, kMaxEjectionDoublings);
    backend.mEjectedUntil = aNow + kFirstEjection * (1 << doublings);
    return;
  }
  if (aOutcome != attempt_outcome::Lost && aOutcome != attempt_outcome::TimedOut) {
    backend.mConsecutiveFailures = 0;
  }
  const bool isFull = aOutcome == attempt_outcome::NotExecuted && aLoad &&
                      aLoad->mRunning + aLoad->mWaiting >= aLoad->mSlots;
  const double failure = aOutcome == attempt_outcome::Answered || isFull ? 0 : 1;
  backend.mFailureRate =
    GetFailureRate(backend, aNow) * (1 - kFailureWeight) + failure * kFailureWeight;
  backend.mFailureRateAt = aNow;
  if (failure > 0) {
    ++backend.mTally.mFailures;
  } else if (!isFull) {
    ++backend.mTally.mAnswers;
    backend.mTally.mLogSlownessSum += std::log(std::max(kMinSlowness, aSlowness));
  }
  if (aOutcome == attempt_outcome::Answered || aOutcome == attempt_outcome::TimedOut) {
    service& service = mServices[backend.mRecord.mService];
    const double took = ComputeRunTimeUs(aTook, aLoad);
    const auto updateMean = [took](double& aMean, double aFirst) {
      aMean = aMean == 0 ? aFirst : aMean * (1 - kMeanWeight) + took * kMeanWeight;
    };
    updateMean(service.mServiceTimeUs, took);
    updateMean(backend.mServiceTimeUs, service.mServiceTimeUs);
  }
}

void backend_pool::UpdateLoad(const observed_load& aLoad)
{
  const auto found = mBackends.find(aLoad.mBackend);
  if (found == mBackends.end() ||
      (found->second.mHasReport && found->second.mReportedAt >= aLoad.mSeenAt)) {
    return;
  }
  backend& backend = found->second;
  backend.mLoad = { aLoad.mRequests, 0, static_cast<double>(backend.mRecord.mSlots) };
  backend.mOwnRequestsAtReport = backend.mOwnRequests;
  backend.mReportedAt = aLoad.mSeenAt;
  backend.mHasReport = true;
}

std::vector<backend_pool::observation> backend_pool::DrainObservations()
{
  std::vector<observation> list;
  for (auto& [id, backend] : mBackends) {
    const bool hasLoad = std::exchange(backend.mHasUnsentReport, false);
    if (!hasLoad && backend.mTally.IsEmpty()) {
      continue;
    }
    observation seen{ id, std::nullopt, std::exchange(backend.mTally, {}) };
    if (hasLoad) {
      seen.mLoad =
        observed_load{ id, backend.mLoad.mRunning + backend.mLoad.mWaiting, backend.mReportedAt };
    }
    list.push_back(std::move(seen));
  }
  return list;
}

void backend_pool::SetSharedHealth(const std::map<std::string, shared_health>& aHealth)
{
  for (auto& [id, backend] : mBackends) {
    const auto health = aHealth.find(id);
    backend.mShared = health == aHealth.end() ? shared_health{} : health->second;
  }
}

} // namespace citronpulley
