#include "citronpulley/dispatch/backend_server.h"

#include <algorithm>

namespace citronpulley {

namespace {

/** Weight of a new sample in the exponential moving averages of latency and failures. */
constexpr double kSmoothing = 0.2;
constexpr double kOutlierFailureShare = 0.5;
constexpr std::uint32_t kMinOutlierOutcomes = 5;
/** Time in which the weight of a latency falls to zero, so that a recovered server is tried again.
 */
constexpr double kLatencyLifetimeMicroseconds = 10e6;
/** Maximum delay between the measurement of a load report and its arrival. */
constexpr microseconds kReportDelay{ 150'000 };
/** Time for which an abandoned request counts as one of this VM. The peak of the own count covers
 * up to three report delays; after that, load reports show the request as a foreign one. */
constexpr microseconds kAbandonedPeriod = 3 * kReportDelay;
constexpr double kMinLatencyMicroseconds = 1'000;

} // namespace

bool backend_server::HandleAnnouncement(const server_announcement& aAnnouncement,
                                        bool aIsOtherHomePossible,
                                        instant aNow)
{
  const bool isNewRun = mHasAnnouncement && mAnnouncement.mInstance != aAnnouncement.mInstance;
  const bool isNewLease = !mHasAnnouncement || !IsLeaseValid(aNow);
  if (isNewRun) {
    mAbandoned.clear();
    mLatencyMicroseconds = 0;
    mFailureShare = 0;
    mOutcomeCount = 0;
    mEjectedUntil = {};
  }
  if (isNewLease) {
    mAcceptsFrom = aIsOtherHomePossible ? aNow + kHoldPeriod : aNow;
  } else if (mAcceptsFrom > aNow && !aIsOtherHomePossible) {
    mAcceptsFrom = aNow;
  }
  if (isNewRun || (!mHasAnnouncement && !aIsOtherHomePossible)) {
    mSlowStartAt = std::max(mAcceptsFrom, aNow);
  }
  mHasAnnouncement = true;
  mAnnouncement = aAnnouncement;
  mLeaseEndsAt = aNow + kHoldPeriod;
  if (aAnnouncement.mHasRunningCount) {
    mReportedAt = aNow;
    std::erase_if(mAbandoned,
                  [aNow](instant aClosedAt) { return aClosedAt + kAbandonedPeriod <= aNow; });
    const std::uint32_t ownRequests = GetPeak(aNow) + static_cast<std::uint32_t>(mAbandoned.size());
    mForeignRequests = aAnnouncement.mRunning - std::min(aAnnouncement.mRunning, ownRequests);
  }
  return isNewRun;
}

bool backend_server::AcceptsRequests(instant aNow) const noexcept
{
  return IsExpectedToAcceptRequests(aNow) && !mIsSuspected;
}

bool backend_server::IsExpectedToAcceptRequests(instant aNow) const noexcept
{
  return !mAnnouncement.mIsLeaving && IsLeaseValid(aNow) && mAcceptsFrom <= aNow &&
         !IsEjected(aNow);
}

std::uint32_t backend_server::GetSlotLimit(instant aNow) const noexcept
{
  std::uint32_t limit = mAnnouncement.mSlots;
  if (aNow < mSlowStartAt) {
    limit = 1;
  } else if (mSlowStartAt != instant::min() && aNow < mSlowStartAt + kSlowStart) {
    const auto grown = static_cast<std::uint64_t>(limit - 1) *
                       static_cast<std::uint64_t>((aNow - mSlowStartAt).count()) /
                       static_cast<std::uint64_t>(kSlowStart.count());
    limit = 1 + static_cast<std::uint32_t>(grown);
  }
  if (mReportedAt + kReportTimeout <= aNow) {
    limit = std::min(limit, mAnnouncement.mSlots / 2);
  }
  return std::max<std::uint32_t>(limit, 1);
}

std::uint32_t backend_server::GetOccupiedSlots(instant aNow) const noexcept
{
  const std::uint32_t foreignRequests = mReportedAt + kReportValidity > aNow ? mForeignRequests : 0;
  return mRunning + static_cast<std::uint32_t>(mAbandoned.size()) + foreignRequests;
}

bool backend_server::HasFreeSlot(instant aNow) const noexcept
{
  return AcceptsRequests(aNow) && GetOccupiedSlots(aNow) < GetSlotLimit(aNow);
}

void backend_server::RecordStart(instant aNow) noexcept
{
  ++mRunning;
  RecordPeak(aNow);
}

void backend_server::RecordEnd(bool aIsSuccess, microseconds aLatency, instant aNow) noexcept
{
  ReleaseSlot(aIsSuccess, aNow);
  const auto latency = static_cast<double>(aLatency.count());
  mLatencyMicroseconds +=
    (mLatencyMicroseconds == 0 ? 1 : kSmoothing) * (latency - mLatencyMicroseconds);
  mLatencyAt = aNow;
}

void backend_server::RecordAbandoned(instant aNow)
{
  RecordPeak(aNow);
  mRunning -= std::min<std::uint32_t>(mRunning, 1);
  mAbandoned.push_back(aNow);
}

void backend_server::ReleaseSlot(bool aIsSuccess, instant aNow) noexcept
{
  RecordPeak(aNow);
  mRunning -= std::min<std::uint32_t>(mRunning, 1);
  RecordOutcome(aIsSuccess);
}

void backend_server::RecordOutcome(bool aIsSuccess) noexcept
{
  mFailureShare += kSmoothing * ((aIsSuccess ? 0.0 : 1.0) - mFailureShare);
  ++mOutcomeCount;
}

bool backend_server::IsOutlier() const noexcept
{
  return mOutcomeCount >= kMinOutlierOutcomes && mFailureShare > kOutlierFailureShare;
}

void backend_server::Eject(instant aNow) noexcept
{
  mEjectedUntil = aNow + kEjectionTime;
  mFailureShare = 0;
  mOutcomeCount = 0;
}

double backend_server::GetCost(microseconds aTypicalLatency, instant aNow) const noexcept
{
  const auto typical = static_cast<double>(aTypicalLatency.count());
  double latency = typical;
  if (mLatencyMicroseconds > 0) {
    const double age = static_cast<double>((aNow - mLatencyAt).count());
    const double weight = std::max(0.0, 1.0 - age / kLatencyLifetimeMicroseconds);
    latency += weight * (mLatencyMicroseconds - typical);
  }
  return (GetOccupiedSlots(aNow) + 1.0) / GetSlotLimit(aNow) *
         std::max(latency, kMinLatencyMicroseconds);
}

void backend_server::RecordPeak(instant aNow) noexcept
{
  if (mPeakFrom + kReportDelay <= aNow) {
    const bool isRecent = mPeakFrom + 2 * kReportDelay > aNow;
    mPeaks = { 0, isRecent ? mPeaks[0] : 0 };
    mPeakFrom = aNow;
  }
  mPeaks[0] = std::max(mPeaks[0], mRunning);
}

std::uint32_t backend_server::GetPeak(instant aNow) const noexcept
{
  std::uint32_t peak = mRunning;
  if (mPeakFrom + kReportDelay > aNow) {
    peak = std::max({ peak, mPeaks[0], mPeaks[1] });
  } else if (mPeakFrom + 2 * kReportDelay > aNow) {
    peak = std::max(peak, mPeaks[0]);
  }
  return peak;
}

} // namespace citronpulley
