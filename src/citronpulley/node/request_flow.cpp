#include "citronpulley/node/request_flow.h"

#include "citronpulley/base/overloaded.h"
#include "citronpulley/node/request_checks.h"
#include "citronpulley/node/request_failures.h"

#include <algorithm>
#include <utility>

namespace citronpulley {

request_flow::request_flow(request_flow_context aContext, std::uint64_t aSeed)
  : mContext(aContext)
  , mAdmission(aContext.mTokenPool, aContext.mSelf.mRegion)
  , mRandom(aSeed)
  , mClaims(aContext.mSelf, aContext.mLink)
  , mSuspects(aContext.mSelf, aContext.mLink)
{
}

void request_flow::StartCallerRequest(const http_request_received& aRequest,
                                      current_time aNow,
                                      node_actions& aActions)
{
  active_request request;
  request.mNumber = ++mLastNumber;
  request.mOrigin = caller_origin{ aRequest.mRequest };
  request.mStartedAt = aNow.mMonotonic;
  request.mDeadline = aNow.mMonotonic;
  result<caller_request> callerRequest = ParseCallerRequest(aRequest);
  const request_check_context checkContext{ mContext.mSelf.mVm, mContext.mSecret, mContext.mLink };
  const std::optional<error> refusal =
    callerRequest ? CheckRequest(checkContext, callerRequest.Get(), request, aNow.mMonotonic)
                  : callerRequest.GetError();
  request.mTokenDeadline = std::min(request.mDeadline, aNow.mMonotonic + kMaxTokenWait);
  if (request.mTrace.mTraceId.empty()) {
    request.mTrace.mTraceId = GenerateSpanId() + GenerateSpanId();
  }
  request.mSpanId = GenerateSpanId();
  active_request& active = mRequests.Add(std::move(request));
  if (refusal) {
    FinishFailed(active.mNumber, MakeRefusal(*refusal), aNow.mMonotonic, aActions);
    return;
  }
  mRetryBudget.RecordRequest(active.mService);
  Admit(active, false, aNow.mMonotonic, aActions);
}

void request_flow::SendClaim(active_request& aRequest, instant aNow, node_actions& aActions)
{
  mClaims.SendClaim(aRequest, aActions);
  mRequests.Schedule(aRequest,
                     std::min(aNow + claim_coordinator::kResendInterval, aRequest.mDeadline));
}

void request_flow::HandleClaimReply(const claim_reply& aReply, instant aNow, node_actions& aActions)
{
  active_request* request = mRequests.Find(aReply.mHolder.mRequestNumber);
  if (request == nullptr || !mClaims.IsReplyFor(aReply, *request)) {
    return;
  }
  const std::uint64_t number = request->mNumber;
  std::visit(overloaded{ [&](const claim_coordinator::granted&) {
                          // If the process was frozen until after the deadline, the request must
                          // not be sent any more.
                          if (request->mDeadline > aNow) {
                            Run(*request, aNow, aActions);
                          }
                        },
                         [&](const claim_coordinator::send_again& aAgain) {
                           mRequests.Schedule(*request, std::min(aAgain.mAt, request->mDeadline));
                         },
                         [&](const http_answer& aAnswer) {
                           request->mIdempotencyKey.clear();
                           FinishAnswered(number, aAnswer, aNow, aActions);
                         },
                         [&](const request_failure& aFailure) {
                           request->mIdempotencyKey.clear();
                           FinishFailed(number, aFailure, aNow, aActions);
                         } },
             mClaims.EvaluateReply(aReply, aNow));
}

void request_flow::SendLeaseRequest(active_request& aRequest, instant aNow, node_actions& aActions)
{
  mSuspects.SendLeaseRequest(aRequest, aNow, aActions);
  mRequests.Schedule(aRequest,
                     std::min(aNow + suspect_coordinator::kResendInterval, aRequest.mDeadline));
}

void request_flow::HandleLeaseReply(const suspect_lease_reply& aReply,
                                    instant aNow,
                                    node_actions& aActions)
{
  active_request* request = mRequests.Find(suspect_coordinator::GetRequestNumber(aReply.mHolder));
  if (request == nullptr || !mSuspects.IsReplyFor(aReply, *request) || request->mDeadline <= aNow) {
    return;
  }
  std::visit(overloaded{ [&](const suspect_coordinator::granted&) {
                          request->mRunsAlone = true;
                          RunInChosenZone(*request, aNow, aActions);
                        },
                         [&](const suspect_coordinator::not_suspected&) {
                           RunInChosenZone(*request, aNow, aActions);
                         },
                         [&](const suspect_coordinator::send_again& aAgain) {
                           mRequests.Schedule(*request, std::min(aAgain.mAt, request->mDeadline));
                         },
                         [&](const request_failure& aFailure) {
                           FinishFailed(request->mNumber, aFailure, aNow, aActions);
                         } },
             mSuspects.EvaluateReply(aReply, aNow));
}

void request_flow::StartForwardedRequest(const vm_name& aSender,
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
  request.mTriedServers = aRequest.mTriedServers;
  request.mZone = mContext.mSelf.mZone;
  request.mRequest = aRequest.mRequest;
  request.mTrace.mTraceId = std::string(FindHeader(aRequest.mRequest.mHeaders, "traceparent"));
  if (request.mTrace.mTraceId.size() >= 52) {
    request.mTrace.mParentSpanId = request.mTrace.mTraceId.substr(36, 16);
    request.mTrace.mTraceId = request.mTrace.mTraceId.substr(3, 32);
  }
  request.mSpanId = GenerateSpanId();
  active_request& active = mRequests.Add(std::move(request));
  if (aRequest.mHopsLeft == 0) {
    RunLocally(active, aNow, aActions);
  } else {
    RunInOwnZone(active, aNow, aActions);
  }
}

void request_flow::HandleResponse(const vm_name& aSender,
                                  const forward_response& aResponse,
                                  instant aNow,
                                  node_actions& aActions)
{
  if (aResponse.mReceiverIncarnation != mContext.mSelf.mIncarnation) {
    return;
  }
  active_request* request = mRequests.FindByAttempt(aResponse.mForwardNumber, aSender);
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

void request_flow::FinishAnswered(std::uint64_t aNumber,
                                  const http_answer& aAnswer,
                                  instant aNow,
                                  node_actions& aActions)
{
  const active_request& request = *mRequests.Find(aNumber);
  mClaims.RecordOutcome(request, &aAnswer, aNow, aActions);
  forward_response response;
  response.mIsAnswered = true;
  response.mAnswer = aAnswer;
  Reply(request, response, aNow, aActions);
  mRequests.Remove(aNumber);
}

void request_flow::FinishFailed(std::uint64_t aNumber,
                                const request_failure& aFailure,
                                instant aNow,
                                node_actions& aActions)
{
  const active_request& request = *mRequests.Find(aNumber);
  forward_response response;
  response.mFailure = aFailure;
  if (request.mMayHaveRun) {
    response.mFailure.mOutcome = request_outcome::Unknown;
  }
  if (response.mFailure.mOutcome == request_outcome::NotRun) {
    mClaims.RecordOutcome(request, nullptr, aNow, aActions);
  }
  Reply(request, response, aNow, aActions);
  mRequests.Remove(aNumber);
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
                 if (!mContext.mLink.IsFresh(aNow)) {
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

void request_flow::CancelCallerRequest(std::uint64_t aRequest, instant aNow, node_actions& aActions)
{
  active_request* request = mRequests.FindCallerRequest(aRequest);
  if (request == nullptr) {
    return;
  }
  request->mIsDetached = true;
  const bool isRunning = request->mStage == request_stage::Runs;
  if (!request->mIsIdempotent && isRunning) {
    // The request goes on, so that a repeat with the same idempotency key gets its answer.
    return;
  }
  AbandonAttempt(*request, aNow, aActions);
  FinishFailed(request->mNumber,
               MakeFailure(error_code::ConnectionLost,
                           step::Answer,
                           "",
                           "the caller has gone",
                           isRunning ? request_outcome::Unknown : request_outcome::NotRun),
               aNow,
               aActions);
}

void request_flow::CancelForwardedRequest(const vm_name& aSender,
                                          const forward_cancel& aCancel,
                                          instant aNow,
                                          node_actions& aActions)
{
  active_request* request =
    mRequests.FindForwardedRequest(aSender, aCancel.mSenderIncarnation, aCancel.mForwardNumber);
  if (request != nullptr) {
    AbandonAttempt(*request, aNow, aActions);
    mRequests.Remove(request->mNumber);
  }
}

void request_flow::AbandonAttempt(active_request& aRequest, instant aNow, node_actions& aActions)
{
  if (aRequest.mStage != request_stage::Runs) {
    return;
  }
  if (aRequest.mAttemptVm != mContext.mSelf.mVm) {
    aActions.emplace_back(
      send_peer_message{ aRequest.mAttemptVm,
                         forward_cancel{ aRequest.mAttemptNumber, mContext.mSelf.mIncarnation } });
    return;
  }
  std::vector<dispatcher_action> dispatcherActions;
  mContext.mDispatcher.Cancel(aRequest.mAttemptNumber, aNow, dispatcherActions);
  ExecuteDispatcherActions(std::move(dispatcherActions), aNow, aActions);
}

void request_flow::HandlePeerDisconnected(const vm_name& aPeer,
                                          instant aNow,
                                          node_actions& aActions)
{
  for (const std::uint64_t number : mRequests.ListAttempts(aPeer)) {
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
  for (const std::uint64_t number : mRequests.DrainDue(aNow)) {
    if (active_request* request = mRequests.Find(number)) {
      HandleDue(*request, aNow, aActions);
    }
  }
  // Tokens of the static share refill with time, without a grant that would trigger the retry.
  RetryTokens(aNow, aActions);
  mClaims.Tick(aNow, aActions);
  mSuspects.Tick(aNow, aActions);
}

void request_flow::HandleDue(active_request& aRequest, instant aNow, node_actions& aActions)
{
  if (aRequest.mDueAt > aNow) {
    return; // Rescheduled while this tick handled another request.
  }
  if (aRequest.mStage == request_stage::WaitsForTokens) {
    mWaitingForTokens.erase(aRequest.mNumber);
    RefuseForLackOfTokens(aRequest, aNow, aActions);
  } else if (aRequest.mDeadline <= aNow) {
    FailAtDeadline(aRequest, aNow, aActions);
  } else if (aRequest.mStage == request_stage::WaitsForClaim) {
    SendClaim(aRequest, aNow, aActions);
  } else if (aRequest.mStage == request_stage::WaitsForLease) {
    SendLeaseRequest(aRequest, aNow, aActions);
  }
}

void request_flow::FailAtDeadline(active_request& aRequest, instant aNow, node_actions& aActions)
{
  const bool mayHaveRun = aRequest.mStage == request_stage::Runs;
  AbandonAttempt(aRequest, aNow, aActions);
  FinishFailed(aRequest.mNumber,
               MakeFailure(error_code::DeadlineExceeded,
                           mayHaveRun ? step::Forward : step::Claim,
                           aRequest.mAttemptVm.mValue,
                           "the deadline of the request is over",
                           mayHaveRun ? request_outcome::Unknown : request_outcome::NotRun),
               aNow,
               aActions);
}

std::string request_flow::GenerateSpanId()
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
