#include "citronpulley/limits/admission.h"

#include <algorithm>
#include <utility>

namespace citronpulley {

namespace {

/** Levels of dependencies that are followed; a cycle in the configuration ends there. */
constexpr int kMaxDepth = 8;
/** A report that the rate is used up counts until the holder is due to ask again. */
constexpr microseconds kReportMemory{ 100'000 };

std::string GetWorkspaceResource(const workspace_name& aWorkspace)
{
  return "workspace:" + aWorkspace.mValue;
}

std::map<std::string, double> MakeWorkspaceCosts(const request_cost& aCost)
{
  std::map<std::string, double> costs;
  if (!aCost.mWorkspace.IsEmpty()) {
    costs.emplace(GetWorkspaceResource(aCost.mWorkspace), 1);
  }
  return costs;
}

std::map<std::string, double> MakeCosts(const request_cost& aCost)
{
  std::map<std::string, double> costs = MakeWorkspaceCosts(aCost);
  if (!aCost.mRegion.IsEmpty()) {
    costs.emplace("region:" + aCost.mRegion.mValue, aCost.mCalls);
  }
  return costs;
}

double CountCalls(const catalogue& aCatalogue, const service_name& aService, int aDepth)
{
  const service_entry* service = aCatalogue.FindService(aService);
  double calls = 1;
  if (service != nullptr && aDepth < kMaxDepth) {
    for (const service_dependency& dependency : service->mDependencies) {
      calls +=
        dependency.mCallsPerRequest * CountCalls(aCatalogue, dependency.mService, aDepth + 1);
    }
  }
  return calls;
}

} // namespace

double CountCalls(const catalogue& aCatalogue, const service_name& aService)
{
  return CountCalls(aCatalogue, aService, 0);
}

admission::admission(rate_wallet& aWallet, region_name aOwnRegion)
  : mWallet(aWallet)
  , mOwnRegion(std::move(aOwnRegion))
{
}

void admission::Configure(double aCapacityPerSecond, std::size_t aVms, instant aNow)
{
  mMostVms = std::max(mMostVms, aVms);
  mShare.Configure(aCapacityPerSecond, mMostVms, aNow);
}

bool admission::TrySpend(const request_cost& aCost, bool aIsRetry, bool aIsFresh, instant aNow)
{
  if (mWallet.TrySpend(MakeCosts(aCost), aIsRetry, aNow)) {
    return true;
  }
  const bool mayUseShare = aCost.mRegion == mOwnRegion && (!aIsFresh || mWallet.IsCutOff(aNow));
  const std::map<std::string, double> rest = MakeWorkspaceCosts(aCost);
  return mayUseShare && !mWallet.FindShortage(rest, aNow) && mShare.TrySpend(aCost.mCalls, aNow) &&
         mWallet.TrySpend(rest, true, aNow);
}

bool admission::LacksRate(const request_cost& aCost, instant aNow) const
{
  return mWallet.FindShortage(MakeWorkspaceCosts(aCost), aNow).has_value();
}

void admission::AddWaiting(const workspace_name& aWorkspace)
{
  mWallet.AddNeed(GetWorkspaceResource(aWorkspace), 1);
}

token_refusal admission::Explain(const request_cost& aCost,
                                 const workspace_name& aWorkspace,
                                 instant aStartedAt,
                                 instant aNow) const
{
  token_refusal refusal;
  if (LacksRate(aCost, aNow)) {
    refusal.mCode = error_code::RateExceeded;
    refusal.mMessage = "the rate of the workspace is used up";
  } else {
    refusal.mCode = error_code::RegionFull;
    refusal.mMessage = "the capacity of the region " + aCost.mRegion.mValue + " is used up";
  }
  refusal.mIsInsideRate =
    !aWorkspace.IsEmpty() &&
    !mWallet.WasReportedUsedUp(GetWorkspaceResource(aWorkspace), aStartedAt - kReportMemory);
  return refusal;
}

} // namespace citronpulley
