#include "citronpulley/limits/admission.h"

#include <algorithm>
#include <utility>

namespace citronpulley {

namespace {

/** Depth to which dependencies are followed; it also bounds cycles in the configuration. */
constexpr int kMaxDependencyDepth = 8;
/** Time for which a report that the rate is used up is valid: the maximum delay before the holder
 * requests tokens again. */
constexpr microseconds kReportValidity{ 100'000 };

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

double ComputeCallsPerRequest(const catalogue& aCatalogue, const service_name& aService, int aDepth)
{
  const service_entry* service = aCatalogue.FindService(aService);
  double calls = 1;
  if (service != nullptr && aDepth < kMaxDependencyDepth) {
    for (const service_dependency& dependency : service->mDependencies) {
      calls += dependency.mCallsPerRequest *
               ComputeCallsPerRequest(aCatalogue, dependency.mService, aDepth + 1);
    }
  }
  return calls;
}

} // namespace

double ComputeCallsPerRequest(const catalogue& aCatalogue, const service_name& aService)
{
  return ComputeCallsPerRequest(aCatalogue, aService, 0);
}

admission::admission(token_pool& aTokenPool, region_name aOwnRegion)
  : mTokenPool(aTokenPool)
  , mOwnRegion(std::move(aOwnRegion))
{
}

void admission::SetCapacity(double aCapacityPerSecond, std::size_t aVms, instant aNow)
{
  mMaxVms = std::max(mMaxVms, aVms);
  mShare.SetCapacity(aCapacityPerSecond, mMaxVms, aNow);
}

bool admission::TrySpend(const request_cost& aCost,
                         bool aIsRetry,
                         bool aHasControlContact,
                         instant aNow)
{
  if (mTokenPool.TrySpend(MakeCosts(aCost), aIsRetry, aNow)) {
    return true;
  }
  const bool canUseShare =
    aCost.mRegion == mOwnRegion && (!aHasControlContact || mTokenPool.HasLostContact(aNow));
  const std::map<std::string, double> workspaceCosts = MakeWorkspaceCosts(aCost);
  return canUseShare && !mTokenPool.FindShortage(workspaceCosts, aNow) &&
         mShare.TrySpend(aCost.mCalls, aNow) && mTokenPool.TrySpend(workspaceCosts, true, aNow);
}

bool admission::IsShortOfRateTokens(const request_cost& aCost, instant aNow) const
{
  return mTokenPool.FindShortage(MakeWorkspaceCosts(aCost), aNow).has_value();
}

void admission::AddWaitingDemand(const workspace_name& aWorkspace)
{
  mTokenPool.AddNeededTokens(GetWorkspaceResource(aWorkspace), 1);
}

token_refusal admission::MakeRefusal(const request_cost& aCost,
                                     const workspace_name& aWorkspace,
                                     instant aStartedAt,
                                     instant aNow) const
{
  token_refusal refusal;
  if (IsShortOfRateTokens(aCost, aNow)) {
    refusal.mCode = error_code::RateExceeded;
    refusal.mMessage = "the rate of the workspace is used up";
  } else {
    refusal.mCode = error_code::RegionFull;
    refusal.mMessage = "the capacity of the region " + aCost.mRegion.mValue + " is used up";
  }
  refusal.mIsInsideRate =
    !aWorkspace.IsEmpty() &&
    !mTokenPool.WasReportedUsedUp(GetWorkspaceResource(aWorkspace), aStartedAt - kReportValidity);
  return refusal;
}

} // namespace citronpulley
