#include "citronpulley/fleet/backend_limit_ledger.h"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

namespace citronpulley {

namespace {

/**
 * Holders of a share beside one for each request per second. A holder may save up one request or
 * those of one second, so a burst of all holders and four seconds of the limit stay below one and a
 * half times the limit and five requests.
 */
constexpr std::size_t kExtraHolders = 3;
/** Demand that counts as none, in requests per second. */
constexpr double kNegligibleDemand = 0.02;

} // namespace

bool backend_limit_ledger::RecordNotice(const limit_report& aReport, instant aNow)
{
  if (!aReport.mHasNotice) {
    return false;
  }
  const instant heardAt = aNow - microseconds(aReport.mAge);
  const auto [position, isNew] = mLimits.try_emplace(aReport.mBackend);
  limit& limit = position->second;
  const bool isOtherStart = limit.mLimit.mStartedAtMs != aReport.mStartedAtMs;
  const bool isOld =
    isOtherStart ? aReport.mStartedAtMs < limit.mLimit.mStartedAtMs : heardAt < limit.mHeardAt;
  if (!isNew && isOld) {
    return false;
  }
  const backend_limit before = limit.mLimit;
  const bool wasInForce = !isNew && limit.mIsInForce;
  if (isOtherStart) {
    limit.mHolders.clear();
  }
  limit.mLimit = { aReport.mBackend, aReport.mStartedAtMs, std::max(0.0, aReport.mRate) };
  limit.mIsInForce = aReport.mRate >= 0;
  limit.mHeardAt = heardAt;
  return wasInForce != limit.mIsInForce || (limit.mIsInForce && before != limit.mLimit);
}

double backend_limit_ledger::ComputeTarget(const limit& aLimit, const vm_name& aVm)
{
  // Holders go first, because a share that changes hands is not used meanwhile.
  std::vector<std::tuple<bool, double, const vm_name*>> candidates;
  for (const auto& [vm, holder] : aLimit.mHolders) {
    if (holder.mDemand >= kNegligibleDemand) {
      candidates.emplace_back(holder.mShare > 0, holder.mDemand, &vm);
    }
  }
  const double rate = aLimit.mLimit.mRate;
  const std::size_t count =
    std::min(candidates.size(), static_cast<std::size_t>(rate) + kExtraHolders);
  std::ranges::partial_sort(
    candidates, candidates.begin() + static_cast<std::ptrdiff_t>(count), std::greater{});
  candidates.resize(count);
  double demands = 0;
  double own = 0;
  for (const auto& [isHolder, demand, vm] : candidates) {
    demands += demand;
    own = *vm == aVm ? demand : own;
  }
  return own > 0 ? rate * own / demands : 0;
}

void backend_limit_ledger::RenewShare(limit& aLimit,
                                      const vm_name& aVm,
                                      const limit_report& aReport,
                                      instant aNow)
{
  std::erase_if(aLimit.mHolders,
                [aNow](const auto& aEntry) { return aEntry.second.mSeenAt + kShareLease <= aNow; });
  holder& own = aLimit.mHolders[aVm];
  own.mDemand = aReport.mDemand;
  own.mSeenAt = aNow;
  double others = 0;
  for (const auto& [vm, holder] : aLimit.mHolders) {
    others += vm == aVm ? 0 : holder.mUsable;
  }
  const double available = std::max(0.0, aLimit.mLimit.mRate - others);
  const double highest = aNow < mLearningUntil ? std::min(aReport.mShare, available) : available;
  own.mShare = std::min(ComputeTarget(aLimit, aVm), highest);
  own.mUsable = std::max(own.mShare, aReport.mShare);
}

bool backend_limit_ledger::HandleReport(const entry_report& aReport, instant aNow)
{
  if (!std::exchange(mHasReports, true)) {
    mLearningUntil = aNow + kLearningTime;
  }
  bool isChanged = false;
  for (const limit_report& report : aReport.mLimits) {
    isChanged = RecordNotice(report, aNow) || isChanged;
    const auto found = mLimits.find(report.mBackend);
    if (found != mLimits.end() && found->second.mIsInForce &&
        found->second.mLimit.mStartedAtMs == report.mStartedAtMs) {
      RenewShare(found->second, aReport.mLocation.mVm, report, aNow);
    }
  }
  return isChanged;
}

std::vector<limit_share> backend_limit_ledger::ListShares(const entry_report& aReport) const
{
  std::vector<limit_share> shares;
  for (const limit_report& report : aReport.mLimits) {
    const auto found = mLimits.find(report.mBackend);
    if (found == mLimits.end() || !found->second.mIsInForce) {
      continue;
    }
    const auto own = found->second.mHolders.find(aReport.mLocation.mVm);
    if (own != found->second.mHolders.end()) {
      shares.push_back({ report.mBackend, report.mStartedAtMs, own->second.mShare });
    }
  }
  return shares;
}

std::vector<backend_limit> backend_limit_ledger::ListLimits() const
{
  std::vector<backend_limit> limits;
  for (const auto& [id, limit] : mLimits) {
    if (limit.mIsInForce) {
      limits.push_back(limit.mLimit);
    }
  }
  return limits;
}

void backend_limit_ledger::RemoveOutdated(
  const std::function<std::int64_t(const std::string&)>& aGetStartedAtMs,
  instant aNow)
{
  std::erase_if(mLimits, [&](const auto& aEntry) {
    const limit& limit = aEntry.second;
    const std::int64_t startedAt = aGetStartedAtMs(aEntry.first);
    const bool isOtherStart = startedAt != 0 && startedAt != limit.mLimit.mStartedAtMs;
    return isOtherStart || (limit.mHolders.empty() && limit.mHeardAt + kForgetAfter <= aNow);
  });
}

} // namespace citronpulley
