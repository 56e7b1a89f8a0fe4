#include "citronpulley/limits/demand_table.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

namespace citronpulley {

namespace {

/** Difference in received tokens up to which two holders count as equally served. */
constexpr double kEqualReceivedTolerance = 0.25;
/** With more holders the share is reused for kDivideInterval, as its cost grows with their number.
 */
constexpr std::size_t kMaxHoldersDividedEachTime = 64;
constexpr microseconds kDivideInterval{ 5'000 };

} // namespace

void demand_table::RecordDemand(const vm_name& aHolder, double aWanted, instant aNow)
{
  while (!mByTime.empty() && mByTime.front().first + kDemandLifetime <= aNow) {
    const auto old = mDemands.find(mByTime.front().second);
    if (old != mDemands.end() && old->second.mAt == mByTime.front().first) {
      mTotalWanted -= old->second.mWanted;
      mDemands.erase(old);
    }
    mByTime.pop_front();
  }
  if (mDemands.empty()) {
    mTotalWanted = 0;
  }
  demand& current = mDemands[aHolder];
  mTotalWanted += aWanted - current.mWanted;
  current = { aWanted, GetReceived(current, aNow), aNow };
  mByTime.emplace_back(aNow, aHolder);
}

void demand_table::RecordGranted(const vm_name& aHolder, double aTokens, instant aNow)
{
  demand& current = mDemands[aHolder];
  mTotalWanted -= std::min(aTokens, current.mWanted);
  current = { std::max(0.0, current.mWanted - aTokens),
              GetReceived(current, aNow) + aTokens,
              aNow };
}

double demand_table::ComputeFairLimit(const vm_name& aHolder, double aAvailable, instant aNow)
{
  if (mTotalWanted <= aAvailable) {
    return std::numeric_limits<double>::infinity();
  }
  if (mDemands.size() <= kMaxHoldersDividedEachTime || aNow >= mNextDivisionAt) {
    ComputeFairShare(aAvailable, aNow);
    mNextDivisionAt = aNow + kDivideInterval;
  }
  const double own = GetReceived(mDemands.at(aHolder), aNow);
  // A share below one token is useless to its holder, so the least served ones get a whole token.
  return std::max(own <= mMinReceived + kEqualReceivedTolerance ? 1.0 : 0.0, mFairShare - own);
}

void demand_table::ComputeFairShare(double aAvailable, instant aNow)
{
  std::vector<double> totals;
  totals.reserve(mDemands.size());
  double left = aAvailable;
  mMinReceived = std::numeric_limits<double>::infinity();
  for (const auto& [holder, current] : mDemands) {
    const double received = GetReceived(current, aNow);
    left += received;
    if (current.mWanted > 0) {
      mMinReceived = std::min(mMinReceived, received);
    }
    totals.push_back(received + current.mWanted);
  }
  std::sort(totals.begin(), totals.end());
  mFairShare = std::numeric_limits<double>::infinity();
  for (std::size_t index = 0; index < totals.size(); ++index) {
    const double share = left / static_cast<double>(totals.size() - index);
    if (totals[index] >= share) {
      mFairShare = share;
      return;
    }
    left -= totals[index];
  }
}

double demand_table::GetReceived(const demand& aDemand, instant aNow)
{
  const auto age = static_cast<double>((aNow - aDemand.mAt).count());
  return aDemand.mReceived * std::exp(-age / static_cast<double>(kDemandLifetime.count()));
}

} // namespace citronpulley
