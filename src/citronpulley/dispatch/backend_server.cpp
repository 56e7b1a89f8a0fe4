#include "citronpulley/dispatch/backend_server.h"

#include <algorithm>

namespace citronpulley {

namespace {

constexpr double kSmoothing = 0.2;
constexpr double kOutlierShare = 0.5;
constexpr std::uint32_t kOutlierOutcomes = 5;
/** Time in which an old latency counts less and less, so that a recovered server is tried again. */
constexpr double kLatencyMemoryMicroseconds = 10e6;
/** Longest delay between the moment that a load report shows and its arrival. */
constexpr microseconds kReportDelay{ 150'000 };
/** An abandoned request counts until it has left the peak of the own count, which covers up to
 * three report delays; a report shows it as a leftover from then on. */
constexpr microseconds kAbandonedFor = 3 * kReportDelay;
constexpr double kLeastLatencyMicroseconds = 1'000;

} // namespace

bool backend_server::Announce(const server_announcement& aAnnouncement,
                              bool aMayHaveOtherHome,
                              instant aNow)
{
  const bool isOtherRun = mIsKnown && mAnnouncement.mInstance != aAnnouncement.mInstance;
  const bool isTaken = !mIsKnown || !IsHeld(aNow);
  if (isOtherRun) {
    mAbandoned.clear();
    mLatencyMicroseconds = 0;
    mFailureShare = 0;
    mOutcomes = 0;
    mEjectedUntil = {};
  }
  if (isTaken) {
    mWorkFrom = aMayHaveOtherHome ? aNow + kHoldPeriod : aNow;
  } else if (mWorkFrom > aNow && !aMayHaveOtherHome) {
    mWorkFrom = aNow;
  }
  if (isOtherRun || (!mIsKnown && !aMayHaveOtherHome)) {
    mColdFrom = std::max(mWorkFrom, aNow);
  }
  mIsKnown = true;
  mAnnouncement = aAnnouncement;
  mHoldsUntil = aNow + kHoldPeriod;
  if (aAnnouncement.mHasReport) {
    mReportedAt = aNow;
    std::erase_if(mAbandoned,
                  [aNow](instant aClosedAt) { return aClosedAt + kAbandonedFor <= aNow; });
    const std::uint32_t own = GetPeak(aNow) + static_cast<std::uint32_t>(mAbandoned.size());
    mForeign = aAnnouncement.mRunning - std::min(aAnnouncement.mRunning, own);
  }
  return isOtherRun;
}

bool backend_server::TakesWork(instant aNow) const noexcept
{
  return IsExpectedToTakeWork(aNow) && !mIsDoubted;
}

bool backend_server::IsExpectedToTakeWork(instant aNow) const noexcept
{
  return !mAnnouncement.mIsLeaving && IsHeld(aNow) && mWorkFrom <= aNow && !IsEjected(aNow);
}

std::uint32_t backend_server::GetLimit(instant aNow) const noexcept
{
  std::uint32_t limit = mAnnouncement.mSlots;
  if (aNow < mColdFrom) {
    limit = 1;
  } else if (mColdFrom != instant::min() && aNow < mColdFrom + kSlowStart) {
    const auto grown = static_cast<std::uint64_t>(limit - 1) *
                       static_cast<std::uint64_t>((aNow - mColdFrom).count()) /
                       static_cast<std::uint64_t>(kSlowStart.count());
    limit = 1 + static_cast<std::uint32_t>(grown);
  }
  if (mReportedAt + kReportLost <= aNow) {
    limit = std::min(limit, mAnnouncement.mSlots / 2);
  }
  return std::max<std::uint32_t>(limit, 1);
}

std::uint32_t backend_server::GetOccupied(instant aNow) const noexcept
{
  const std::uint32_t foreign = mReportedAt + kReportTrusted > aNow ? mForeign : 0;
  return mRunning + static_cast<std::uint32_t>(mAbandoned.size()) + foreign;
}

bool backend_server::HasFreeSlot(instant aNow) const noexcept
{
  return TakesWork(aNow) && GetOccupied(aNow) < GetLimit(aNow);
}

void backend_server::Start(instant aNow) noexcept
{
  ++mRunning;
  NotePeak(aNow);
}

void backend_server::End(bool aIsGood, microseconds aLatency, instant aNow) noexcept
{
  Return(aIsGood, aNow);
  const auto latency = static_cast<double>(aLatency.count());
  mLatencyMicroseconds +=
    (mLatencyMicroseconds == 0 ? 1 : kSmoothing) * (latency - mLatencyMicroseconds);
  mLatencyAt = aNow;
}

void backend_server::Abandon(instant aNow)
{
  NotePeak(aNow);
  mRunning -= std::min<std::uint32_t>(mRunning, 1);
  mAbandoned.push_back(aNow);
}

void backend_server::Return(bool aIsGood, instant aNow) noexcept
{
  NotePeak(aNow);
  mRunning -= std::min<std::uint32_t>(mRunning, 1);
  CountOutcome(aIsGood);
}

void backend_server::CountOutcome(bool aIsGood) noexcept
{
  mFailureShare += kSmoothing * ((aIsGood ? 0.0 : 1.0) - mFailureShare);
  ++mOutcomes;
}

bool backend_server::IsOutlier() const noexcept
{
  return mOutcomes >= kOutlierOutcomes && mFailureShare > kOutlierShare;
}

void backend_server::Eject(instant aNow) noexcept
{
  mEjectedUntil = aNow + kEjection;
  mFailureShare = 0;
  mOutcomes = 0;
}

double backend_server::GetCost(microseconds aTypicalLatency, instant aNow) const noexcept
{
  const auto typical = static_cast<double>(aTypicalLatency.count());
  double latency = typical;
  if (mLatencyMicroseconds > 0) {
    const double age = static_cast<double>((aNow - mLatencyAt).count());
    const double weight = std::max(0.0, 1.0 - age / kLatencyMemoryMicroseconds);
    latency += weight * (mLatencyMicroseconds - typical);
  }
  return (GetOccupied(aNow) + 1.0) / GetLimit(aNow) * std::max(latency, kLeastLatencyMicroseconds);
}

void backend_server::NotePeak(instant aNow) noexcept
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
