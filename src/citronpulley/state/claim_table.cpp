#include "citronpulley/state/claim_table.h"

#include <algorithm>

namespace citronpulley {

namespace {

constexpr std::size_t kUuidLength = 36;
constexpr std::size_t kVersionPosition = 14;
constexpr std::size_t kVariantPosition = 19;

bool IsDashPosition(std::size_t aPosition) noexcept
{
  return aPosition == 8 || aPosition == 13 || aPosition == 18 || aPosition == 23;
}

int ParseHexDigit(char aCharacter) noexcept
{
  if (aCharacter >= '0' && aCharacter <= '9') {
    return aCharacter - '0';
  }
  if (aCharacter >= 'a' && aCharacter <= 'f') {
    return aCharacter - 'a' + 10;
  }
  return -1;
}

claim_reply MakeReply(const claim_request& aRequest, claim_verdict aVerdict)
{
  claim_reply reply;
  reply.mKey = aRequest.mKey;
  reply.mHolder = aRequest.mHolder;
  reply.mVerdict = aVerdict;
  return reply;
}

bool IsAlreadyReleased(const claim_record& aRecord, const claim_holder& aHolder)
{
  const auto released = aRecord.mReleasedBy.find(aHolder.mVm);
  return released != aRecord.mReleasedBy.end() &&
         std::pair(aHolder.mIncarnation, aHolder.mRequestNumber) <= released->second;
}

/** Marks a claim and all earlier claims of the holder's VM as released, even those that have not
 * arrived yet. */
void MarkReleased(claim_record& aRecord, const claim_holder& aHolder)
{
  auto& last = aRecord.mReleasedBy[aHolder.mVm];
  last = std::max(last, std::pair(aHolder.mIncarnation, aHolder.mRequestNumber));
  if (aRecord.mHolder == aHolder && aRecord.mStage == claim_stage::Claimed) {
    aRecord.mStage = claim_stage::Released;
  }
}

} // namespace

std::optional<unix_time> ParseIdempotencyKeyTime(std::string_view aKey) noexcept
{
  constexpr std::size_t kTimeDigits = 12;
  if (aKey.size() != kUuidLength || aKey[kVersionPosition] != '7' ||
      std::string_view("89ab").find(aKey[kVariantPosition]) == std::string_view::npos) {
    return std::nullopt;
  }
  std::int64_t milliseconds = 0;
  std::size_t digits = 0;
  for (std::size_t position = 0; position < aKey.size(); ++position) {
    if (IsDashPosition(position)) {
      if (aKey[position] != '-') {
        return std::nullopt;
      }
      continue;
    }
    const int digit = ParseHexDigit(aKey[position]);
    if (digit < 0) {
      return std::nullopt;
    }
    if (digits++ < kTimeDigits) {
      milliseconds = milliseconds * 16 + digit;
    }
  }
  return unix_time{ milliseconds };
}

claim_reply claim_table::Claim(const claim_request& aRequest, unix_time aNow)
{
  const std::optional<unix_time> issued = ParseIdempotencyKeyTime(aRequest.mKey.mIdempotencyKey);
  if (!issued || issued->mMilliseconds > aNow.mMilliseconds + kMaxFutureMilliseconds ||
      issued->mMilliseconds <= mRefusedUntil) {
    return MakeReply(aRequest, claim_verdict::OutsideWindow);
  }
  const auto found = mClaims.find(aRequest.mKey);
  if (found == mClaims.end()) {
    claim_record* record = Insert(aRequest.mKey, *issued);
    if (record == nullptr) {
      return MakeReply(aRequest, claim_verdict::TableFull);
    }
    record->mHolder = aRequest.mHolder;
    record->mRequestDigest = aRequest.mRequestDigest;
    return MakeReply(aRequest, claim_verdict::Granted);
  }
  claim_record& record = found->second;
  if (record.mRequestDigest == digest{}) {
    // The record was created by a release that arrived before its claim.
    record.mRequestDigest = aRequest.mRequestDigest;
  }
  if (record.mRequestDigest != aRequest.mRequestDigest) {
    return MakeReply(aRequest, claim_verdict::KeyReused);
  }
  if (record.mStage == claim_stage::Released) {
    if (IsAlreadyReleased(record, aRequest.mHolder)) {
      return MakeReply(aRequest, claim_verdict::InProgress);
    }
    record.mHolder = aRequest.mHolder;
    record.mStage = claim_stage::Claimed;
    return MakeReply(aRequest, claim_verdict::Granted);
  }
  if (record.mStage == claim_stage::Claimed) {
    // A holder sends its claim again if the reply was lost.
    const bool isResend = record.mHolder == aRequest.mHolder;
    return MakeReply(aRequest, isResend ? claim_verdict::Granted : claim_verdict::InProgress);
  }
  claim_reply reply = MakeReply(aRequest, claim_verdict::Completed);
  reply.mHasWholeAnswer = record.mHasWholeAnswer;
  reply.mAnswer = record.mAnswer;
  return reply;
}

claim_outcome_reply claim_table::RecordOutcome(const claim_outcome& aOutcome)
{
  claim_outcome_reply reply{ aOutcome.mKey, aOutcome.mHolder, true, {} };
  const auto found = mClaims.find(aOutcome.mKey);
  if (aOutcome.mIsReleased) {
    const std::optional<unix_time> issued = ParseIdempotencyKeyTime(aOutcome.mKey.mIdempotencyKey);
    const bool isRefused = !issued || issued->mMilliseconds <= mRefusedUntil;
    if (found != mClaims.end()) {
      MarkReleased(found->second, aOutcome.mHolder);
    } else if (claim_record* record = isRefused ? nullptr : Insert(aOutcome.mKey, *issued)) {
      record->mStage = claim_stage::Released;
      MarkReleased(*record, aOutcome.mHolder);
    }
    return reply;
  }
  if (found == mClaims.end() || found->second.mHolder != aOutcome.mHolder ||
      found->second.mStage != claim_stage::Claimed) {
    return reply;
  }
  claim_record& record = found->second;
  record.mStage = claim_stage::Completed;
  record.mHasWholeAnswer =
    aOutcome.mHasWholeAnswer && aOutcome.mAnswer.mBody.size() <= kMaxKeptAnswerBytes;
  record.mAnswer.mStatus = aOutcome.mAnswer.mStatus;
  if (record.mHasWholeAnswer) {
    record.mAnswer = aOutcome.mAnswer;
  }
  return reply;
}

claim_record* claim_table::Insert(const claim_key& aKey, unix_time aIssued)
{
  if (mClaims.size() >= kMaxClaims) {
    return nullptr;
  }
  mKeysByTime.emplace(aIssued.mMilliseconds, aKey);
  return &mClaims[aKey];
}

void claim_table::Expire(unix_time aNow, std::int64_t aWindowMilliseconds)
{
  mRefusedUntil = std::max(mRefusedUntil, aNow.mMilliseconds - aWindowMilliseconds);
  while (!mKeysByTime.empty() && mKeysByTime.begin()->first <= mRefusedUntil) {
    mClaims.erase(mKeysByTime.begin()->second);
    mKeysByTime.erase(mKeysByTime.begin());
  }
}

} // namespace citronpulley
