#include "citronpulley/base/overloaded.h"
#include "citronpulley/node/request_failures.h"
#include "citronpulley/node/request_flow.h"

#include <algorithm>
#include <utility>

// Attempts of a request: sends it, handles the outcome and retries.

namespace citronpulley {

namespace {

void SetHeader(std::vector<http_header>& aHeaders, const std::string& aName, std::string aValue)
{
  for (http_header& header : aHeaders) {
    if (header.mName == aName) {
      header.mValue = std::move(aValue);
      return;
    }
  }
  aHeaders.push_back({ aName, std::move(aValue) });
}

} // namespace

void request_flow::Run(active_request& aRequest, instant aNow, node_actions& aActions)
{
  if (mSuspects.IsSuspect(aRequest.mFingerprint, aNow)) {
    aRequest.mStage = request_stage::WaitsForLease;
    SendLeaseRequest(aRequest, aNow, aActions);
    return;
  }
  RunInChosenZone(aRequest, aNow, aActions);
}

void request_flow::RunInChosenZone(active_request& aRequest, instant aNow, node_actions& aActions)
{
  if (aRequest.mZone == mContext.mSelf.mZone) {
    RunInOwnZone(aRequest, aNow, aActions);
    return;
  }
  const std::vector<vm_name> gateways = mContext.mDirectory.ListVms(aRequest.mZone);
  if (gateways.empty()) {
    FailAttempt(aRequest.mNumber,
                MakeFailure(error_code::NoBackendServer,
                            step::Route,
                            aRequest.mZone.mValue,
                            "no entry VM of the zone is known",
                            request_outcome::NotRun),
                aNow,
                aActions);
    return;
  }
  Forward(aRequest, gateways[mRandom() % gateways.size()], 1, aNow, aActions);
}

void request_flow::RunInOwnZone(active_request& aRequest, instant aNow, node_actions& aActions)
{
  std::vector<located_server> servers = mContext.mDirectory.ListServers(aRequest.mService, aNow);
  for (const homed_server& server : mContext.mDispatcher.ListServers(aNow)) {
    if (server.mService == aRequest.mService && server.mAcceptsRequests) {
      servers.push_back({ mContext.mSelf.mVm, server });
    }
  }
  std::erase_if(servers, [](const located_server& aServer) { return aServer.mServer.mSlots == 0; });
  const auto isTried = [&](const located_server& aServer) {
    return std::count(aRequest.mTriedServers.begin(),
                      aRequest.mTriedServers.end(),
                      aServer.mServer.mServer) > 0;
  };
  if (!std::all_of(servers.begin(), servers.end(), isTried)) {
    std::erase_if(servers, isTried);
  }
  if (servers.empty()) {
    RunLocally(aRequest, aNow, aActions);
    return;
  }
  std::vector<server_candidate> candidates;
  for (std::uint32_t index = 0; index < servers.size(); ++index) {
    const homed_server& server = servers[index].mServer;
    candidates.push_back({ index, server.mSlots, server.mRunning, 0, 1 });
  }
  const located_server& chosen = servers[mContext.mRouter.ChooseServer(candidates, mRandom())];
  if (chosen.mHome == mContext.mSelf.mVm) {
    RunLocally(aRequest, aNow, aActions);
  } else {
    Forward(aRequest, chosen.mHome, 0, aNow, aActions);
  }
}

void request_flow::RunLocally(active_request& aRequest, instant aNow, node_actions& aActions)
{
  mRequests.StartAttempt(aRequest, mContext.mSelf.mVm);
  dispatch_job job;
  job.mJob = aRequest.mAttemptNumber;
  job.mService = aRequest.mService;
  job.mWorkspace = aRequest.mWorkspace;
  job.mDeadline = aRequest.mDeadline;
  job.mIsUrgent = aRequest.mIsUrgent;
  job.mRunsAlone = aRequest.mRunsAlone;
  job.mFingerprint = aRequest.mFingerprint;
  job.mTriedServers = aRequest.mTriedServers;
  job.mRequest = aRequest.mRequest;
  std::vector<http_header>& headers = job.mRequest.mHeaders;
  SetHeader(
    headers, "traceparent", "00-" + aRequest.mTrace.mTraceId + "-" + aRequest.mSpanId + "-01");
  if (!aRequest.mWorkspace.IsEmpty()) {
    SetHeader(headers, "Citronpulley-Workspace", aRequest.mWorkspace.mValue);
  }
  std::vector<dispatcher_action> dispatcherActions;
  mContext.mDispatcher.Submit(std::move(job), aNow, dispatcherActions);
  ExecuteDispatcherActions(std::move(dispatcherActions), aNow, aActions);
}

void request_flow::Forward(active_request& aRequest,
                           const vm_name& aReceiver,
                           std::uint8_t aHopsLeft,
                           instant aNow,
                           node_actions& aActions)
{
  mRequests.StartAttempt(aRequest, aReceiver);
  forward_request forward;
  forward.mForwardNumber = aRequest.mAttemptNumber;
  forward.mSenderIncarnation = mContext.mSelf.mIncarnation;
  forward.mService = aRequest.mService;
  forward.mWorkspace = aRequest.mWorkspace;
  forward.mRemainingMicroseconds = (aRequest.mDeadline - aNow).count();
  forward.mIsUrgent = aRequest.mIsUrgent;
  forward.mRunsAlone = aRequest.mRunsAlone;
  forward.mHopsLeft = aHopsLeft;
  forward.mFingerprint = aRequest.mFingerprint;
  forward.mTriedServers = aRequest.mTriedServers;
  forward.mRequest = aRequest.mRequest;
  SetHeader(forward.mRequest.mHeaders,
            "traceparent",
            "00-" + aRequest.mTrace.mTraceId + "-" + aRequest.mSpanId + "-01");
  aActions.emplace_back(send_peer_message{ aReceiver, std::move(forward) });
}

void request_flow::ExecuteDispatcherActions(std::vector<dispatcher_action> aDispatcherActions,
                                            instant aNow,
                                            node_actions& aActions)
{
  for (dispatcher_action& action : aDispatcherActions) {
    std::visit(overloaded{ [&](send_to_backend& aSend) { aActions.emplace_back(std::move(aSend)); },
                           [&](cancel_backend_request& aCancel) { aActions.emplace_back(aCancel); },
                           [&](const crash_report& aReport) {
                             std::vector<vm_name> otherVms;
                             for (const auto& [name, vm] : mContext.mDirectory.GetVms()) {
                               if (name != mContext.mSelf.mVm) {
                                 otherVms.push_back(name);
                               }
                             }
                             mSuspects.SendReport(aReport, otherVms, aNow, aActions);
                           },
                           [&](job_done& aDone) {
                             active_request* request =
                               mRequests.FindByAttempt(aDone.mJob, mContext.mSelf.mVm);
                             if (request == nullptr) {
                               return;
                             }
                             request->mServer = aDone.mServer;
                             const std::uint64_t number = request->mNumber;
                             if (const auto* answer = std::get_if<http_answer>(&aDone.mOutcome)) {
                               FinishAnswered(number, *answer, aNow, aActions);
                             } else {
                               FailAttempt(
                                 number, std::get<request_failure>(aDone.mOutcome), aNow, aActions);
                             }
                           } },
               action);
  }
}

bool request_flow::CanRetry(const active_request& aRequest,
                            const request_failure& aFailure,
                            instant aNow)
{
  const bool isCaller = std::holds_alternative<caller_origin>(aRequest.mOrigin);
  const bool isSafeToRetry = aRequest.mIsIdempotent || aFailure.mOutcome == request_outcome::NotRun;
  return isCaller && isSafeToRetry && aRequest.mAttempts < kMaxAttempts &&
         aRequest.mDeadline > aNow && !aRequest.mIsDetached &&
         mRetryBudget.TrySpend(aRequest.mService);
}

void request_flow::FailAttempt(std::uint64_t aNumber,
                               const request_failure& aFailure,
                               instant aNow,
                               node_actions& aActions)
{
  active_request& request = *mRequests.Find(aNumber);
  mRequests.EndAttempt(request);
  if (request.mRunsAlone && aFailure.mOutcome == request_outcome::NotRun &&
      std::holds_alternative<caller_origin>(request.mOrigin)) {
    mSuspects.ReturnLease(request, aActions);
  }
  request.mRunsAlone = false;
  request.mMayHaveRun = request.mMayHaveRun || aFailure.mOutcome == request_outcome::Unknown;
  if (!CanRetry(request, aFailure, aNow)) {
    FinishFailed(aNumber, aFailure, aNow, aActions);
    return;
  }
  request.mTriedZones.insert(request.mZone);
  if (!request.mServer.IsEmpty()) {
    request.mTriedServers.push_back(request.mServer);
  }
  bool hasZone = ChooseZone(request, aNow) == zone_verdict::Chosen;
  if (!hasZone) {
    request.mTriedZones.clear();
    hasZone = ChooseZone(request, aNow) == zone_verdict::Chosen;
  }
  if (!hasZone || !TrySpend(request, false, aNow)) {
    FinishFailed(aNumber, aFailure, aNow, aActions);
    return;
  }
  Run(request, aNow, aActions);
}

} // namespace citronpulley
