#include "citronpulley/node/claim_coordinator.h"

#include "citronpulley/node/request_failures.h"
#include "citronpulley/state/claim_table.h"

#include <string>
#include <utility>

namespace citronpulley {

namespace {

request_failure MakeRequestFailure(const claim_reply& aReply)
{
  const auto makeFailure = [&](error_code aCode, std::string aMessage, request_outcome aOutcome) {
    return MakeFailure(aCode, step::Claim, aReply.mLeader.mValue, std::move(aMessage), aOutcome);
  };
  switch (aReply.mVerdict) {
    case claim_verdict::Completed:
      return makeFailure(error_code::OutcomeUnknown,
                         "the request has run with status " +
                           std::to_string(aReply.mAnswer.mStatus) +
                           "; its answer was too large to keep",
                         request_outcome::Unknown);
    case claim_verdict::InProgress:
      return makeFailure(error_code::InProgress,
                         "a request with this idempotency key runs or has an unknown outcome",
                         request_outcome::Unknown);
    case claim_verdict::KeyReused:
      return makeFailure(error_code::KeyReused,
                         "the idempotency key was used for another request",
                         request_outcome::NotRun);
    case claim_verdict::OutsideWindow:
      return makeFailure(error_code::KeyExpired,
                         "the idempotency key is older than the window or lies in the future",
                         request_outcome::NotRun);
    default:
      return makeFailure(
        error_code::Overloaded, "the table of idempotency keys is full", request_outcome::NotRun);
  }
}

} // namespace

claim_coordinator::claim_coordinator(const vm_record& aSelf, control_link& aLink)
  : mSelf(aSelf)
  , mLink(aLink)
{
}

void claim_coordinator::SendClaim(const active_request& aRequest, node_actions& aActions) const
{
  aActions.emplace_back(
    send_peer_message{ mLink.GetLeader(),
                       claim_request{ { aRequest.mWorkspace, aRequest.mIdempotencyKey },
                                      MakeHolder(aRequest),
                                      aRequest.mFingerprint } });
}

bool claim_coordinator::IsReplyFor(const claim_reply& aReply, const active_request& aRequest) const
{
  return aRequest.mStage == request_stage::WaitsForClaim && MakeHolder(aRequest) == aReply.mHolder;
}

claim_coordinator::decision claim_coordinator::EvaluateReply(const claim_reply& aReply,
                                                             instant aNow)
{
  if (aReply.mVerdict == claim_verdict::NotLeader) {
    mLink.SetLeader(aReply.mLeader);
    return send_again{ aNow + kResendInterval / 10 };
  }
  if (aReply.mVerdict == claim_verdict::Granted) {
    return granted{};
  }
  if (aReply.mVerdict == claim_verdict::Completed && aReply.mHasWholeAnswer) {
    return aReply.mAnswer;
  }
  return MakeRequestFailure(aReply);
}

void claim_coordinator::RecordOutcome(const active_request& aRequest,
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
  aActions.emplace_back(send_peer_message{ mLink.GetLeader(), outcome });
  const instant resendAt = aNow + kResendInterval;
  mResendTimes.emplace(resendAt, outcome.mHolder);
  mUnrecordedOutcomes.insert_or_assign(outcome.mHolder, unrecorded_outcome{ outcome, resendAt });
}

void claim_coordinator::HandleOutcomeReply(const claim_outcome_reply& aReply)
{
  if (!aReply.mIsRecorded) {
    mLink.SetLeader(aReply.mLeader);
    return;
  }
  const auto found = mUnrecordedOutcomes.find(aReply.mHolder);
  if (found != mUnrecordedOutcomes.end()) {
    mResendTimes.erase({ found->second.mResendAt, found->first });
    mUnrecordedOutcomes.erase(found);
  }
}

void claim_coordinator::Tick(instant aNow, node_actions& aActions)
{
  while (!mResendTimes.empty() && mResendTimes.begin()->first <= aNow) {
    unrecorded_outcome& unrecorded = mUnrecordedOutcomes.at(mResendTimes.begin()->second);
    mResendTimes.erase(mResendTimes.begin());
    unrecorded.mResendAt = aNow + kResendInterval;
    mResendTimes.emplace(unrecorded.mResendAt, unrecorded.mOutcome.mHolder);
    aActions.emplace_back(send_peer_message{ mLink.GetLeader(), unrecorded.mOutcome });
  }
}

claim_holder claim_coordinator::MakeHolder(const active_request& aRequest) const
{
  return { mSelf.mVm, mSelf.mIncarnation, aRequest.mNumber };
}

} // namespace citronpulley
