#include "citronpulley/node/request_flow.h"

#include "citronpulley/base/overloaded.h"
#include "citronpulley/state/claim_table.h"

#include <algorithm>
#include <cassert>
#include <set>
#include <utility>

namespace citronpulley {

namespace {

constexpr microseconds kResendInterval{ 300'000 };

request_failure MakeFailure(error_code aCode,
                            step aStep,
                            std::string aPeer,
                            std::string aMessage,
                            request_outcome aOutcome)
{
  return { static_cast<std::int32_t>(aCode),
           static_cast<std::int32_t>(aStep),
           std::move(aPeer),
           std::move(aMessage),
           aOutcome };
}

error ToError(const request_failure& aFailure)
{
  return MakeError(static_cast<error_code>(aFailure.mCode),
                   static_cast<step>(aFailure.mStep),
                   aFailure.mPeer,
                   aFailure.mMessage);
}

request_failure ToFailure(const error& aError)
{
  return MakeFailure(static_cast<error_code>(aError.mCode.value()),
                     aError.mStep,
                     aError.mPeer,
                     aError.mMessage,
                     request_outcome::NotRun);
}

/** Digest by which a repeated request is recognised, whatever its headers are. */
digest ComputeFingerprint(const active_request& aRequest)
{
  std::string text;
  for (const std::string* part : { &aRequest.mWorkspace.mValue,
                                   &aRequest.mService.mValue,
                                   &aRequest.mRequest.mMethod,
                                   &aRequest.mRequest.mTarget,
                                   &aRequest.mRequest.mBody }) {
    text += std::to_string(part->size()) + ":" + *part;
  }
  return ComputeDigest(text);
}

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

request_failure ToFailure(const claim_reply& aReply)
{
  const auto make = [&](error_code aCode, std::string aMessage, request_outcome aOutcome) {
    return MakeFailure(aCode, step::Claim, aReply.mLeader.mValue, std::move(aMessage), aOutcome);
  };
  switch (aReply.mVerdict) {
    case claim_verdict::InProgress:
      return make(error_code::InProgress,
                  "a request with this idempotency key runs or has an unknown outcome",
                  request_outcome::Unknown);
    case claim_verdict::KeyReused:
      return make(error_code::KeyReused,
                  "the idempotency key was used for another request",
                  request_outcome::NotRun);
    case claim_verdict::OutsideWindow:
      return make(error_code::KeyExpired,
                  "the idempotency key is older than the window or lies in the future",
                  request_outcome::NotRun);
    default:
      return make(
        error_code::Overloaded, "the table of idempotency keys is full", request_outcome::NotRun);
  }
}

} // namespace

request_flow::request_flow(flow_parts aParts, std::uint64_t aSeed)
  : mParts(aParts)
  , mAdmission(aParts.mWallet, aParts.mSelf.mRegion)
  , mRandom(aSeed)
{
}

void request_flow::StartCaller(const http_request_received& aRequest,
                               present_time aNow,
                               node_actions& aActions)
{
  active_request request;
  request.mNumber = ++mLastNumber;
  request.mOrigin = caller_origin{ aRequest.mRequest };
  request.mStartedAt = aNow.mMonotonic;
  request.mDeadline = aNow.mMonotonic;
  result<caller_frame> frame = ReadCallerFrame(aRequest);
  const std::optional<error> refusal =
    frame ? Prepare(frame.Get(), request, aNow.mMonotonic) : frame.GetError();
  if (request.mTrace.mTraceId.empty()) {
    request.mTrace.mTraceId = DrawSpanId() + DrawSpanId();
  }
  request.mSpanId = DrawSpanId();
  const std::uint64_t number = request.mNumber;
  active_request& active = mRequests.emplace(number, std::move(request)).first->second;
  if (refusal) {
    FinishFailed(number, ToFailure(*refusal), aNow.mMonotonic, aActions);
    return;
  }
  Admit(active, false, aNow.mMonotonic, aActions);
}

std::optional<error> request_flow::Prepare(const caller_frame& aFrame,
                                           active_request& aRequest,
                                           instant aNow) const
{
  aRequest.mService = aFrame.mService;
  aRequest.mTrace = aFrame.mTrace;
  const catalogue* content = mParts.mLink.GetView().GetCatalogue();
  if (content == nullptr) {
    return MakeError(
      error_code::NotReady, step::ReadRequest, "", "no configuration has been received yet");
  }
  const service_entry* service = content->FindService(aFrame.mService);
  if (service == nullptr) {
    return MakeError(error_code::UnknownService, step::Route, "", "the service is not configured");
  }
  const service_route* route = FindRoute(*service, aFrame.mRequest.mMethod, aFrame.mPath);
  if (route == nullptr) {
    return MakeError(
      error_code::UnknownRoute, step::Route, "", "no route matches the method and path");
  }
  if (!route->mIsOpen) {
    if (std::optional<error> refusal = Authenticate(aFrame, aRequest, aNow)) {
      return refusal;
    }
  }
  aRequest.mIsIdempotent = route->mIsIdempotent;
  aRequest.mIsUrgent = aFrame.mIsUrgent && route->mAllowsUrgent;
  const std::int64_t milliseconds =
    std::min(route->mDeadlineMilliseconds,
             aFrame.mRemainingMilliseconds.value_or(route->mDeadlineMilliseconds));
  aRequest.mDeadline = aNow + std::chrono::milliseconds(milliseconds);
  aRequest.mTokensBy = std::min(aRequest.mDeadline, aNow + kMaxTokenWait);
  aRequest.mRequest = aFrame.mRequest;
  aRequest.mFingerprint = ComputeFingerprint(aRequest);
  if (!aRequest.mIsIdempotent) {
    if (!ReadIdempotencyKeyTime(aFrame.mIdempotencyKey)) {
      return MakeError(error_code::BadRequest,
                       step::ReadRequest,
                       "",
                       "the route needs an Idempotency-Key header with a UUID of version 7");
    }
    aRequest.mIdempotencyKey = aFrame.mIdempotencyKey;
  }
  const suspect_record* suspect = mParts.mLink.GetView().FindSuspect(aRequest.mFingerprint);
  if (suspect != nullptr && suspect->mIsQuarantined) {
    return MakeError(error_code::Quarantined,
                     step::Admit,
                     "",
                     "the request crashed backend servers; fingerprint " +
                       ToHex(aRequest.mFingerprint));
  }
  aRequest.mRunsAlone = suspect != nullptr;
  return std::nullopt;
}

std::optional<error> request_flow::Authenticate(const caller_frame& aFrame,
                                                active_request& aRequest,
                                                instant aNow) const
{
  if (!aFrame.mKey) {
    return MakeError(error_code::Unauthorized, step::Authenticate, "", "the route needs a key");
  }
  if (!mParts.mLink.IsFresh(aNow)) {
    return MakeError(error_code::NotFresh,
                     step::Authenticate,
                     mParts.mSelf.mVm.mValue,
                     "this VM cannot confirm that the key is still valid");
  }
  const key_record* record = mParts.mLink.GetView().FindKey(aFrame.mKey->mKey);
  // A digest is computed for unknown keys too, so that the time tells nothing about which ids
  // exist.
  const key_digest shown = ComputeKeyDigest(aFrame.mKey->mSecret, mParts.mSecret);
  if (record == nullptr || !(record->mDigest == shown)) {
    return MakeError(error_code::Unauthorized, step::Authenticate, "", "the key is not valid");
  }
  if (mParts.mLink.GetView().GetCatalogue()->FindWorkspace(record->mWorkspace) == nullptr) {
    return MakeError(
      error_code::Unauthorized, step::Authenticate, "", "the key's workspace is not configured");
  }
  aRequest.mWorkspace = record->mWorkspace;
  return std::nullopt;
}

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
    return;
  }
  if (aRequest.mIdempotencyKey.empty()) {
    Run(aRequest, aNow, aActions);
    return;
  }
  aRequest.mStage = request_stage::WaitsForClaim;
  SendClaim(aRequest, aNow, aActions);
}

void request_flow::SendClaim(active_request& aRequest, instant aNow, node_actions& aActions)
{
  aRequest.mClaimAgainAt = aNow + kResendInterval;
  aActions.emplace_back(
    send_peer_message{ mParts.mLink.GetLeader(),
                       claim_request{ { aRequest.mWorkspace, aRequest.mIdempotencyKey },
                                      MakeHolder(aRequest),
                                      aRequest.mFingerprint } });
}

void request_flow::AcceptClaim(const claim_reply& aReply, instant aNow, node_actions& aActions)
{
  const auto found = mRequests.find(aReply.mHolder.mRequestNumber);
  if (found == mRequests.end() || found->second.mStage != request_stage::WaitsForClaim ||
      MakeHolder(found->second) != aReply.mHolder) {
    return;
  }
  active_request& request = found->second;
  if (aReply.mVerdict == claim_verdict::NotLeader) {
    mParts.mLink.SetLeader(aReply.mLeader);
    request.mClaimAgainAt = std::min(request.mClaimAgainAt, aNow + kResendInterval / 10);
    return;
  }
  if (aReply.mVerdict == claim_verdict::Granted) {
    // A process that was frozen meanwhile finds its deadline over and does not send the request.
    if (request.mDeadline > aNow) {
      Run(request, aNow, aActions);
    }
    return;
  }
  request.mIdempotencyKey.clear();
  if (aReply.mVerdict == claim_verdict::Completed && aReply.mHasWholeAnswer) {
    FinishAnswered(request.mNumber, aReply.mAnswer, aNow, aActions);
    return;
  }
  if (aReply.mVerdict == claim_verdict::Completed) {
    FinishFailed(request.mNumber,
                 MakeFailure(error_code::OutcomeUnknown,
                             step::Claim,
                             aReply.mLeader.mValue,
                             "the request has run with status " +
                               std::to_string(aReply.mAnswer.mStatus) +
                               "; its answer was too large to keep",
                             request_outcome::Unknown),
                 aNow,
                 aActions);
    return;
  }
  FinishFailed(request.mNumber, ToFailure(aReply), aNow, aActions);
}

void request_flow::AcceptRecorded(const claim_outcome_reply& aReply)
{
  if (aReply.mIsRecorded) {
    mOutcomes.erase(aReply.mHolder);
  } else {
    mParts.mLink.SetLeader(aReply.mLeader);
  }
}

void request_flow::StartForwarded(const vm_name& aSender,
                                  const forward_request& aRequest,
                                  instant aNow,
                                  node_actions& aActions)
{
  active_request request;
  request.mNumber = ++mLastNumber;
  request.mOrigin = peer_origin{
    aSender, aRequest.mSenderIncarnation, aRequest.mForwardNumber, aRequest.mHopsLeft
  };
  request.mService = aRequest.mService;
  request.mWorkspace = aRequest.mWorkspace;
  request.mStartedAt = aNow;
  request.mDeadline = aNow + microseconds(aRequest.mRemainingMicroseconds);
  request.mIsUrgent = aRequest.mIsUrgent;
  request.mRunsAlone = aRequest.mRunsAlone;
  request.mFingerprint = aRequest.mFingerprint;
  request.mZone = mParts.mSelf.mZone;
  request.mRequest = aRequest.mRequest;
  request.mTrace.mTraceId = std::string(FindHeader(aRequest.mRequest.mHeaders, "traceparent"));
  if (request.mTrace.mTraceId.size() >= 52) {
    request.mTrace.mParentSpanId = request.mTrace.mTraceId.substr(36, 16);
    request.mTrace.mTraceId = request.mTrace.mTraceId.substr(3, 32);
  }
  request.mSpanId = DrawSpanId();
  active_request& active = mRequests.emplace(request.mNumber, std::move(request)).first->second;
  if (aRequest.mHopsLeft == 0) {
    RunHere(active, aNow, aActions);
  } else {
    RunInZone(active, aNow, aActions);
  }
}

void request_flow::Run(active_request& aRequest, instant aNow, node_actions& aActions)
{
  if (aRequest.mZone == mParts.mSelf.mZone) {
    RunInZone(aRequest, aNow, aActions);
    return;
  }
  const std::vector<vm_name> gateways = mParts.mDirectory.ListVms(aRequest.mZone);
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

void request_flow::RunInZone(active_request& aRequest, instant aNow, node_actions& aActions)
{
  std::vector<located_server> servers = mParts.mDirectory.ListServers(aRequest.mService, aNow);
  for (const homed_server& server : mParts.mDispatcher.ListServers(aNow)) {
    if (server.mService == aRequest.mService && server.mTakesWork) {
      servers.push_back({ mParts.mSelf.mVm, server });
    }
  }
  std::erase_if(servers, [](const located_server& aServer) { return aServer.mServer.mSlots == 0; });
  if (servers.empty()) {
    RunHere(aRequest, aNow, aActions);
    return;
  }
  std::vector<server_candidate> candidates;
  for (std::uint32_t index = 0; index < servers.size(); ++index) {
    const homed_server& server = servers[index].mServer;
    candidates.push_back({ index, server.mSlots, server.mRunning, 0, 1 });
  }
  const located_server& chosen = servers[mParts.mRouter.ChooseServer(candidates, mRandom())];
  if (chosen.mHome == mParts.mSelf.mVm) {
    RunHere(aRequest, aNow, aActions);
  } else {
    Forward(aRequest, chosen.mHome, 0, aNow, aActions);
  }
}

void request_flow::RunHere(active_request& aRequest, instant aNow, node_actions& aActions)
{
  aRequest.mStage = request_stage::Runs;
  aRequest.mAttemptVm = mParts.mSelf.mVm;
  aRequest.mAttemptNumber = ++mLastAttempt;
  ++aRequest.mAttempts;
  mByAttempt.emplace(aRequest.mAttemptNumber, aRequest.mNumber);
  dispatch_job job;
  job.mJob = aRequest.mAttemptNumber;
  job.mService = aRequest.mService;
  job.mWorkspace = aRequest.mWorkspace;
  job.mDeadline = aRequest.mDeadline;
  job.mIsUrgent = aRequest.mIsUrgent;
  job.mRunsAlone = aRequest.mRunsAlone;
  job.mFingerprint = aRequest.mFingerprint;
  job.mRequest = aRequest.mRequest;
  std::vector<http_header>& headers = job.mRequest.mHeaders;
  SetHeader(
    headers, "traceparent", "00-" + aRequest.mTrace.mTraceId + "-" + aRequest.mSpanId + "-01");
  if (!aRequest.mWorkspace.IsEmpty()) {
    SetHeader(headers, "Citronpulley-Workspace", aRequest.mWorkspace.mValue);
  }
  std::vector<dispatcher_action> wanted;
  mParts.mDispatcher.Submit(std::move(job), aNow, wanted);
  HandleDispatcher(std::move(wanted), aNow, aActions);
}

void request_flow::Forward(active_request& aRequest,
                           const vm_name& aReceiver,
                           std::uint8_t aHops,
                           instant aNow,
                           node_actions& aActions)
{
  aRequest.mStage = request_stage::Runs;
  aRequest.mAttemptVm = aReceiver;
  aRequest.mAttemptNumber = ++mLastAttempt;
  ++aRequest.mAttempts;
  mByAttempt.emplace(aRequest.mAttemptNumber, aRequest.mNumber);
  forward_request forward;
  forward.mForwardNumber = aRequest.mAttemptNumber;
  forward.mSenderIncarnation = mParts.mSelf.mIncarnation;
  forward.mService = aRequest.mService;
  forward.mWorkspace = aRequest.mWorkspace;
  forward.mRemainingMicroseconds = (aRequest.mDeadline - aNow).count();
  forward.mIsUrgent = aRequest.mIsUrgent;
  forward.mRunsAlone = aRequest.mRunsAlone;
  forward.mHopsLeft = aHops;
  forward.mFingerprint = aRequest.mFingerprint;
  forward.mRequest = aRequest.mRequest;
  SetHeader(forward.mRequest.mHeaders,
            "traceparent",
            "00-" + aRequest.mTrace.mTraceId + "-" + aRequest.mSpanId + "-01");
  aActions.emplace_back(send_peer_message{ aReceiver, std::move(forward) });
}

zone_verdict request_flow::ChooseZone(active_request& aRequest, instant aNow)
{
  // The own zone is known at first hand, which also holds when the control group is out of reach.
  zone_query query{ aRequest.mService, 0, 0, aRequest.mTriedZones, mParts.mLink.IsFresh(aNow) };
  const auto count = [&](const homed_server& aServer) {
    if (aServer.mService == aRequest.mService && aServer.mTakesWork) {
      query.mOwnSlots += aServer.mSlots;
      query.mOwnRunning += aServer.mRunning;
    }
  };
  for (const homed_server& server : mParts.mDispatcher.ListServers(aNow)) {
    count(server);
  }
  for (const located_server& located : mParts.mDirectory.ListServers(aRequest.mService, aNow)) {
    count(located.mServer);
  }
  const zone_choice choice = mParts.mRouter.Choose(query, aNow, mRandom());
  if (choice.mZone != nullptr) {
    aRequest.mZone = *choice.mZone;
  }
  return choice.mVerdict;
}

bool request_flow::TrySpend(const active_request& aRequest, bool aIsRetry, instant aNow)
{
  const catalogue& content = *mParts.mLink.GetView().GetCatalogue();
  const region_entry* region = content.FindRegion(mParts.mSelf.mRegion);
  if (region != nullptr && aNow >= mNextShareUpdateAt) {
    mNextShareUpdateAt = aNow + control_link::kPollInterval;
    const auto& vms = mParts.mDirectory.GetVms();
    const auto count = std::count_if(vms.begin(), vms.end(), [&](const auto& aVm) {
      return aVm.second.mRegion == mParts.mSelf.mRegion;
    });
    mAdmission.Configure(
      region->mCapacityPerSecond, std::max<std::size_t>(1, static_cast<std::size_t>(count)), aNow);
  }
  return mAdmission.TrySpend(GetCost(aRequest), aIsRetry, mParts.mLink.IsFresh(aNow), aNow);
}

request_cost request_flow::GetCost(const active_request& aRequest) const
{
  const catalogue& content = *mParts.mLink.GetView().GetCatalogue();
  request_cost cost;
  if (aRequest.mAttempts == 0) {
    cost.mWorkspace = aRequest.mWorkspace;
  }
  if (const region_entry* region = content.FindRegionOfZone(aRequest.mZone)) {
    cost.mRegion = region->mName;
  }
  cost.mCalls = CountCalls(content, aRequest.mService);
  return cost;
}

void request_flow::RetryForTokens(std::uint64_t aNumber,
                                  std::set<workspace_name>& aShortWorkspaces,
                                  instant aNow,
                                  node_actions& aActions)
{
  const workspace_name workspace = mRequests.at(aNumber).mWorkspace;
  // A workspace far above its rate has many waiting requests; trying each would delay the others.
  if (aShortWorkspaces.contains(workspace)) {
    mAdmission.AddWaiting(workspace);
  } else {
    Admit(mRequests.at(aNumber), true, aNow, aActions);
  }
  const auto found = mRequests.find(aNumber);
  if (found == mRequests.end() || found->second.mStage != request_stage::WaitsForTokens) {
    return;
  }
  if (mAdmission.LacksRate(GetCost(found->second), aNow)) {
    aShortWorkspaces.insert(workspace);
  }
  if (found->second.mTokensBy <= aNow) {
    RefuseForTokens(found->second, aNow, aActions);
  }
}

void request_flow::RefuseForTokens(active_request& aRequest, instant aNow, node_actions& aActions)
{
  token_refusal refusal =
    mAdmission.Explain(GetCost(aRequest), aRequest.mWorkspace, aRequest.mStartedAt, aNow);
  aRequest.mIsRefusedInsideRate = refusal.mIsInsideRate;
  FinishFailed(
    aRequest.mNumber,
    MakeFailure(
      refusal.mCode, step::Admit, "", std::move(refusal.mMessage), request_outcome::NotRun),
    aNow,
    aActions);
}

void request_flow::AcceptResponse(const vm_name& aSender,
                                  const forward_response& aResponse,
                                  instant aNow,
                                  node_actions& aActions)
{
  if (aResponse.mReceiverIncarnation != mParts.mSelf.mIncarnation) {
    return;
  }
  active_request* request = FindAttempt(aResponse.mForwardNumber, aSender);
  if (request == nullptr) {
    return;
  }
  request->mServer = aResponse.mServer;
  if (aResponse.mIsAnswered) {
    FinishAnswered(request->mNumber, aResponse.mAnswer, aNow, aActions);
  } else {
    FailAttempt(request->mNumber, aResponse.mFailure, aNow, aActions);
  }
}

void request_flow::HandleDispatcher(std::vector<dispatcher_action> aWanted,
                                    instant aNow,
                                    node_actions& aActions)
{
  for (dispatcher_action& wanted : aWanted) {
    std::visit(
      overloaded{
        [&](send_to_backend& aSend) { aActions.emplace_back(std::move(aSend)); },
        [&](cancel_backend& aCancel) { aActions.emplace_back(aCancel); },
        [&](crash_report& aReport) {
          aActions.emplace_back(send_peer_message{ mParts.mLink.GetLeader(), std::move(aReport) });
        },
        [&](job_done& aDone) {
          active_request* request = FindAttempt(aDone.mJob, mParts.mSelf.mVm);
          if (request == nullptr) {
            return;
          }
          request->mServer = aDone.mServer;
          const std::uint64_t number = request->mNumber;
          if (const auto* answer = std::get_if<http_answer>(&aDone.mOutcome)) {
            FinishAnswered(number, *answer, aNow, aActions);
          } else {
            FailAttempt(number, std::get<request_failure>(aDone.mOutcome), aNow, aActions);
          }
        } },
      wanted);
  }
}

void request_flow::FailAttempt(std::uint64_t aNumber,
                               const request_failure& aFailure,
                               instant aNow,
                               node_actions& aActions)
{
  active_request& request = mRequests.at(aNumber);
  const bool isCaller = std::holds_alternative<caller_origin>(request.mOrigin);
  const bool isSafe = request.mIsIdempotent || aFailure.mOutcome == request_outcome::NotRun;
  if (!isCaller || !isSafe || request.mAttempts >= kMaxAttempts || request.mDeadline <= aNow ||
      request.mIsDetached) {
    FinishFailed(aNumber, aFailure, aNow, aActions);
    return;
  }
  mByAttempt.erase(request.mAttemptNumber);
  request.mAttemptNumber = 0;
  request.mMayHaveRun = request.mMayHaveRun || aFailure.mOutcome == request_outcome::Unknown;
  if (aFailure.mOutcome == request_outcome::NotRun) {
    request.mTriedZones.insert(request.mZone);
  }
  if (ChooseZone(request, aNow) != zone_verdict::Chosen) {
    FinishFailed(aNumber, aFailure, aNow, aActions);
    return;
  }
  if (!TrySpend(request, false, aNow)) {
    FinishFailed(aNumber, aFailure, aNow, aActions);
    return;
  }
  Run(request, aNow, aActions);
}

void request_flow::FinishAnswered(std::uint64_t aNumber,
                                  const http_answer& aAnswer,
                                  instant aNow,
                                  node_actions& aActions)
{
  const active_request& request = mRequests.at(aNumber);
  RecordOutcome(request, &aAnswer, aNow, aActions);
  forward_response response;
  response.mIsAnswered = true;
  response.mAnswer = aAnswer;
  Reply(request, response, aNow, aActions);
  mByAttempt.erase(request.mAttemptNumber);
  mRequests.erase(aNumber);
}

void request_flow::FinishFailed(std::uint64_t aNumber,
                                const request_failure& aFailure,
                                instant aNow,
                                node_actions& aActions)
{
  const active_request& request = mRequests.at(aNumber);
  forward_response response;
  response.mFailure = aFailure;
  if (request.mMayHaveRun) {
    response.mFailure.mOutcome = request_outcome::Unknown;
  }
  if (response.mFailure.mOutcome == request_outcome::NotRun) {
    RecordOutcome(request, nullptr, aNow, aActions);
  }
  Reply(request, response, aNow, aActions);
  mByAttempt.erase(request.mAttemptNumber);
  mRequests.erase(aNumber);
}

void request_flow::Reply(const active_request& aRequest,
                         const forward_response& aResponse,
                         instant aNow,
                         node_actions& aActions)
{
  http_answer answer = aResponse.mIsAnswered ? aResponse.mAnswer
                                             : MakeErrorAnswer(ToError(aResponse.mFailure),
                                                               aResponse.mFailure.mOutcome);
  record_request record;
  record.mTraceId = aRequest.mTrace.mTraceId;
  record.mParentSpanId = aRequest.mTrace.mParentSpanId;
  record.mSpanId = aRequest.mSpanId;
  record.mService = aRequest.mService;
  record.mWorkspace = aRequest.mWorkspace;
  record.mServer = aRequest.mServer;
  record.mStatus = answer.mStatus;
  record.mCode = aResponse.mIsAnswered
                   ? "ok"
                   : std::string(ToString(static_cast<error_code>(aResponse.mFailure.mCode)));
  record.mStartedAt = aRequest.mStartedAt;
  record.mEndedAt = aNow;
  record.mAttempts = aRequest.mAttempts;
  record.mIsRefusedInsideRate = aRequest.mIsRefusedInsideRate;
  std::visit(
    overloaded{ [&](const caller_origin& aOrigin) {
                 record.mHop = "entry";
                 if (!mParts.mLink.IsFresh(aNow)) {
                   answer.mHeaders.push_back({ "Citronpulley-State", "stale" });
                 }
                 if (!aRequest.mIsDetached) {
                   aActions.emplace_back(reply_to_client{ aOrigin.mRequest, std::move(answer) });
                 }
               },
                [&](const peer_origin& aOrigin) {
                  record.mHop = aOrigin.mHopsLeft > 0 ? "gateway" : "home";
                  forward_response response = aResponse;
                  response.mForwardNumber = aOrigin.mForwardNumber;
                  response.mReceiverIncarnation = aOrigin.mIncarnation;
                  response.mServer = aRequest.mServer;
                  aActions.emplace_back(send_peer_message{ aOrigin.mVm, std::move(response) });
                } },
    aRequest.mOrigin);
  aActions.emplace_back(std::move(record));
}

void request_flow::RecordOutcome(const active_request& aRequest,
                                 const http_answer* aAnswer,
                                 instant aNow,
                                 node_actions& aActions)
{
  const bool isClaimed = !aRequest.mIdempotencyKey.empty() &&
                         std::holds_alternative<caller_origin>(aRequest.mOrigin) &&
                         aRequest.mStage != request_stage::WaitsForTokens;
  if (!isClaimed) {
    return;
  }
  claim_outcome outcome;
  outcome.mKey = { aRequest.mWorkspace, aRequest.mIdempotencyKey };
  outcome.mHolder = MakeHolder(aRequest);
  outcome.mIsReleased = aAnswer == nullptr;
  if (aAnswer != nullptr) {
    outcome.mHasWholeAnswer = aAnswer->mBody.size() <= claim_table::kMaxKeptAnswerBytes;
    outcome.mAnswer.mStatus = aAnswer->mStatus;
    if (outcome.mHasWholeAnswer) {
      outcome.mAnswer = *aAnswer;
    }
  }
  aActions.emplace_back(send_peer_message{ mParts.mLink.GetLeader(), outcome });
  mOutcomes.insert_or_assign(outcome.mHolder,
                             unrecorded_outcome{ outcome, aNow + kResendInterval });
}

void request_flow::CancelCaller(std::uint64_t aRequest, instant aNow, node_actions& aActions)
{
  const auto found = std::find_if(mRequests.begin(), mRequests.end(), [&](const auto& aEntry) {
    const auto* origin = std::get_if<caller_origin>(&aEntry.second.mOrigin);
    return origin != nullptr && origin->mRequest == aRequest;
  });
  if (found == mRequests.end()) {
    return;
  }
  active_request& request = found->second;
  request.mIsDetached = true;
  if (!request.mIsIdempotent && request.mStage == request_stage::Runs) {
    // It goes on, so that a repeat with the same idempotency key gets its answer.
    return;
  }
  const std::uint64_t number = request.mNumber;
  Abandon(request, aActions);
  FinishFailed(number,
               MakeFailure(error_code::ConnectionLost,
                           step::Answer,
                           "",
                           "the caller has gone",
                           request.mStage == request_stage::Runs ? request_outcome::Unknown
                                                                 : request_outcome::NotRun),
               aNow,
               aActions);
}

void request_flow::CancelForwarded(const vm_name& aSender,
                                   const forward_cancel& aCancel,
                                   node_actions& aActions)
{
  for (auto entry = mRequests.begin(); entry != mRequests.end(); ++entry) {
    const auto* origin = std::get_if<peer_origin>(&entry->second.mOrigin);
    if (origin != nullptr && origin->mVm == aSender &&
        origin->mIncarnation == aCancel.mSenderIncarnation &&
        origin->mForwardNumber == aCancel.mForwardNumber) {
      Abandon(entry->second, aActions);
      mByAttempt.erase(entry->second.mAttemptNumber);
      mRequests.erase(entry);
      return;
    }
  }
}

void request_flow::Abandon(active_request& aRequest, node_actions& aActions)
{
  if (aRequest.mStage != request_stage::Runs) {
    return;
  }
  if (aRequest.mAttemptVm != mParts.mSelf.mVm) {
    aActions.emplace_back(send_peer_message{
      aRequest.mAttemptVm, forward_cancel{ aRequest.mAttemptNumber, mParts.mSelf.mIncarnation } });
    return;
  }
  std::vector<dispatcher_action> wanted;
  mParts.mDispatcher.Cancel(aRequest.mAttemptNumber, wanted);
  for (dispatcher_action& action : wanted) {
    if (auto* cancel = std::get_if<cancel_backend>(&action)) {
      aActions.emplace_back(*cancel);
    }
  }
}

void request_flow::LosePeer(const vm_name& aPeer, instant aNow, node_actions& aActions)
{
  std::vector<std::uint64_t> lost;
  for (const auto& [number, request] : mRequests) {
    if (request.mStage == request_stage::Runs && request.mAttemptVm == aPeer) {
      lost.push_back(number);
    }
  }
  for (const std::uint64_t number : lost) {
    FailAttempt(number,
                MakeFailure(error_code::ConnectionLost,
                            step::Forward,
                            aPeer.mValue,
                            "the connection to the VM was lost",
                            request_outcome::Unknown),
                aNow,
                aActions);
  }
}

void request_flow::Tick(instant aNow, node_actions& aActions)
{
  std::set<workspace_name> shortWorkspaces;
  std::vector<std::uint64_t> numbers;
  for (const auto& [number, request] : mRequests) {
    numbers.push_back(number);
  }
  for (const std::uint64_t number : numbers) {
    const auto found = mRequests.find(number);
    if (found == mRequests.end()) {
      continue;
    }
    active_request& request = found->second;
    if (request.mStage == request_stage::WaitsForTokens) {
      RetryForTokens(number, shortWorkspaces, aNow, aActions);
      continue;
    }
    if (request.mDeadline <= aNow) {
      const bool mayHaveRun = request.mStage == request_stage::Runs;
      Abandon(request, aActions);
      FinishFailed(number,
                   MakeFailure(error_code::DeadlineExceeded,
                               mayHaveRun ? step::Forward : step::Claim,
                               request.mAttemptVm.mValue,
                               "the deadline of the request is over",
                               mayHaveRun ? request_outcome::Unknown : request_outcome::NotRun),
                   aNow,
                   aActions);
      continue;
    }
    if (request.mStage == request_stage::WaitsForClaim && request.mClaimAgainAt <= aNow) {
      SendClaim(request, aNow, aActions);
    }
  }
  for (auto& [holder, unrecorded] : mOutcomes) {
    if (unrecorded.mSendAgainAt <= aNow) {
      unrecorded.mSendAgainAt = aNow + kResendInterval;
      aActions.emplace_back(send_peer_message{ mParts.mLink.GetLeader(), unrecorded.mOutcome });
    }
  }
}

active_request* request_flow::FindAttempt(std::uint64_t aAttempt, const vm_name& aVm) noexcept
{
  const auto attempt = mByAttempt.find(aAttempt);
  if (attempt == mByAttempt.end()) {
    return nullptr;
  }
  active_request& request = mRequests.at(attempt->second);
  return request.mAttemptVm == aVm ? &request : nullptr;
}

claim_holder request_flow::MakeHolder(const active_request& aRequest) const
{
  return { mParts.mSelf.mVm, mParts.mSelf.mIncarnation, aRequest.mNumber };
}

std::string request_flow::DrawSpanId()
{
  constexpr char kDigits[] = "0123456789abcdef";
  std::uint64_t value = mRandom() | 1U;
  std::string text(16, '0');
  for (char& digit : text) {
    digit = kDigits[value & 15U];
    value >>= 4U;
  }
  return text;
}

} // namespace citronpulley
