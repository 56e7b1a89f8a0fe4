#include "citronpulley/node/request_failures.h"
#include "citronpulley/node/request_flow.h"

#include <algorithm>
#include <set>
#include <utility>

// Admission of a request: chooses a zone and spends tokens of the workspace and of the zone's
// region.

namespace citronpulley {

void request_flow::Admit(active_request& aRequest,
                         bool aIsRetry,
                         instant aNow,
                         node_actions& aActions)
{
  const zone_verdict verdict = ChooseZone(aRequest, aNow);
  if (verdict != zone_verdict::Chosen) {
    const bool isShed = verdict == zone_verdict::Shed;
    FinishFailed(aRequest.mNumber,
                 MakeFailure(isShed ? error_code::RegionFull : error_code::NoBackendServer,
                             step::Route,
                             "",
                             isShed ? "the steering plan sheds this request"
                                    : "no zone has a backend server of the service",
                             request_outcome::NotRun),
                 aNow,
                 aActions);
    return;
  }
  if (!TrySpend(aRequest, aIsRetry, aNow)) {
    aRequest.mStage = request_stage::WaitsForTokens;
    mWaitingForTokens.insert(aRequest.mNumber);
    mRequests.Schedule(aRequest, aRequest.mTokenDeadline);
    return;
  }
  mWaitingForTokens.erase(aRequest.mNumber);
  if (aRequest.mIdempotencyKey.empty()) {
    Run(aRequest, aNow, aActions);
    return;
  }
  aRequest.mStage = request_stage::WaitsForClaim;
  SendClaim(aRequest, aNow, aActions);
}

zone_verdict request_flow::ChooseZone(active_request& aRequest, instant aNow)
{
  // The load of the own zone comes from its VMs directly, so it stays current while the control
  // group is unreachable.
  zone_query query{ aRequest.mService, 0, 0, aRequest.mTriedZones, mContext.mLink.IsFresh(aNow) };
  const auto count = [&](const homed_server& aServer) {
    if (aServer.mService == aRequest.mService && aServer.mAcceptsRequests) {
      query.mOwnSlots += aServer.mSlots;
      query.mOwnRunning += aServer.mRunning;
    }
  };
  for (const homed_server& server : mContext.mDispatcher.ListServers(aNow)) {
    count(server);
  }
  for (const located_server& located : mContext.mDirectory.ListServers(aRequest.mService, aNow)) {
    count(located.mServer);
  }
  const zone_choice choice = mContext.mRouter.Choose(query, aNow, mRandom());
  if (choice.mZone != nullptr) {
    aRequest.mZone = *choice.mZone;
  }
  return choice.mVerdict;
}

bool request_flow::TrySpend(const active_request& aRequest, bool aIsRetry, instant aNow)
{
  const catalogue& content = *mContext.mLink.GetView().GetCatalogue();
  const region_entry* region = content.FindRegion(mContext.mSelf.mRegion);
  if (region != nullptr && aNow >= mNextShareUpdateAt) {
    mNextShareUpdateAt = aNow + control_link::kPollInterval;
    const auto& vms = mContext.mDirectory.GetVms();
    const auto count = std::count_if(vms.begin(), vms.end(), [&](const auto& aVm) {
      return aVm.second.mRegion == mContext.mSelf.mRegion;
    });
    mAdmission.SetCapacity(
      region->mCapacityPerSecond, std::max<std::size_t>(1, static_cast<std::size_t>(count)), aNow);
  }
  return mAdmission.TrySpend(ComputeCost(aRequest), aIsRetry, mContext.mLink.IsFresh(aNow), aNow);
}

request_cost request_flow::ComputeCost(const active_request& aRequest) const
{
  const catalogue& content = *mContext.mLink.GetView().GetCatalogue();
  request_cost cost;
  if (aRequest.mAttempts == 0) {
    cost.mWorkspace = aRequest.mWorkspace;
  }
  if (const region_entry* region = content.FindRegionOfZone(aRequest.mZone)) {
    cost.mRegion = region->mName;
  }
  cost.mCalls = ComputeCallsPerRequest(content, aRequest.mService);
  return cost;
}

void request_flow::RetryTokens(instant aNow, node_actions& aActions)
{
  std::set<workspace_name> exhaustedWorkspaces;
  const std::set<std::uint64_t> waiting = mWaitingForTokens;
  for (const std::uint64_t number : waiting) {
    active_request* request = mRequests.Find(number);
    if (request == nullptr || request->mStage != request_stage::WaitsForTokens) {
      mWaitingForTokens.erase(number);
      continue;
    }
    // A workspace far above its rate has many waiting requests. Trying each of them would delay the
    // requests of other workspaces.
    if (exhaustedWorkspaces.contains(request->mWorkspace)) {
      mAdmission.AddWaitingDemand(request->mWorkspace);
      continue;
    }
    if (request->mTokenDeadline <= aNow) {
      continue;
    }
    Admit(*request, true, aNow, aActions);
    request = mRequests.Find(number);
    if (request != nullptr && request->mStage == request_stage::WaitsForTokens &&
        mAdmission.IsShortOfRateTokens(ComputeCost(*request), aNow)) {
      exhaustedWorkspaces.insert(request->mWorkspace);
    }
  }
}

void request_flow::RefuseForLackOfTokens(active_request& aRequest,
                                         instant aNow,
                                         node_actions& aActions)
{
  token_refusal refusal =
    mAdmission.MakeRefusal(ComputeCost(aRequest), aRequest.mWorkspace, aRequest.mStartedAt, aNow);
  aRequest.mIsRefusedInsideRate = refusal.mIsInsideRate;
  FinishFailed(
    aRequest.mNumber,
    MakeFailure(
      refusal.mCode, step::Admit, "", std::move(refusal.mMessage), request_outcome::NotRun),
    aNow,
    aActions);
}

} // namespace citronpulley
