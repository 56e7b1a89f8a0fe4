#include "citronpulley/limits/demand_table.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

namespace citronpulley {

namespace {

/** Difference up to which two holders count as equally served. */
constexpr double kEqualReceived = 0.25;
/** With more holders a division holds for an interval, since its cost grows with their number. */
constexpr std::size_t kMaxDividedEachTime = 64;
constexpr microseconds kDivideInterval{ 5'000 };

} // namespace

void demand_table::Note(const vm_name& aHolder, double aWanted, instant aNow)
{
  while (!mByTime.empty() && mByTime.front().first + kMemory <= aNow) {
    const auto old = mDemands.find(mByTime.front().second);
    if (old != mDemands.end() && old->second.mAt == mByTime.front().first) {
      mSum -= old->second.mWanted;
      mDemands.erase(old);
    }
    mByTime.pop_front();
  }
  if (mDemands.empty()) {
    mSum = 0;
  }
  demand& present = mDemands[aHolder];
  mSum += aWanted - present.mWanted;
  present = { aWanted, GetReceived(present, aNow), aNow };
  mByTime.emplace_back(aNow, aHolder);
}

void demand_table::NoteReceived(const vm_name& aHolder, double aTokens, instant aNow)
{
  demand& present = mDemands[aHolder];
  mSum -= std::min(aTokens, present.mWanted);
  present = { std::max(0.0, present.mWanted - aTokens),
              GetReceived(present, aNow) + aTokens,
              aNow };
}

double demand_table::GetFairLimit(const vm_name& aHolder, double aAvailable, instant aNow)
{
  if (mSum <= aAvailable) {
    return std::numeric_limits<double>::infinity();
  }
  if (mDemands.size() <= kMaxDividedEachTime || aNow >= mDivideAgainAt) {
    Divide(aAvailable, aNow);
    mDivideAgainAt = aNow + kDivideInterval;
  }
  const double own = GetReceived(mDemands.at(aHolder), aNow);
  // Shares below one token are of use to no holder, so the least served one gets a whole token.
  return std::max(own <= mLeastReceived + kEqualReceived ? 1.0 : 0.0, mShare - own);
}

void demand_table::Divide(double aAvailable, instant aNow)
{
  std::vector<double> wants;
  wants.reserve(mDemands.size());
  double left = aAvailable;
  mLeastReceived = std::numeric_limits<double>::infinity();
  for (const auto& [holder, present] : mDemands) {
    const double received = GetReceived(present, aNow);
    left += received;
    if (present.mWanted > 0) {
      mLeastReceived = std::min(mLeastReceived, received);
    }
    wants.push_back(received + present.mWanted);
  }
  std::sort(wants.begin(), wants.end());
  mShare = std::numeric_limits<double>::infinity();
  for (std::size_t index = 0; index < wants.size(); ++index) {
    const double share = left / static_cast<double>(wants.size() - index);
    if (wants[index] >= share) {
      mShare = share;
      return;
    }
    left -= wants[index];
  }
}

double demand_table::GetReceived(const demand& aDemand, instant aNow)
{
  const auto age = static_cast<double>((aNow - aDemand.mAt).count());
  return aDemand.mReceived * std::exp(-age / static_cast<double>(kMemory.count()));
}

} // namespace citronpulley
