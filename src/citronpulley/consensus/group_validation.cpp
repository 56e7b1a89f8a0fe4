#include "citronpulley/consensus/consensus_group.h"

#include <algorithm>
#include <limits>

namespace citronpulley {

namespace {

/** Highest term and index that a message may name, so that adding to them cannot overflow. */
constexpr std::uint64_t kMaxNumber = std::numeric_limits<std::uint64_t>::max() / 2;

bool IsMembershipReadable(std::string_view aBytes)
{
  const result<group_membership> membership = DecodeMembership(aBytes);
  return membership && membership.Get().CountVoters() > 0;
}

std::string Describe(std::string_view aSubject, std::uint64_t aValue, std::uint64_t aExpected)
{
  return std::string(aSubject) + " is " + std::to_string(aValue) + "; expected " +
         std::to_string(aExpected);
}

} // namespace

std::optional<std::string> consensus_group::FindFault(const vote_request& aRequest)
{
  if (aRequest.mTerm == 0 || aRequest.mTerm > kMaxNumber || aRequest.mLastIndex > kMaxNumber) {
    return "the term or the last index is out of range";
  }
  if (aRequest.mLastTerm >= aRequest.mTerm) {
    return Describe("the term of the last entry", aRequest.mLastTerm, aRequest.mTerm - 1) +
           " or less";
  }
  if (aRequest.mCandidate == member_id{}) {
    return "the candidate has no identity";
  }
  return std::nullopt;
}

std::optional<std::string> consensus_group::FindFault(const vote_reply& aReply)
{
  if (aReply.mTerm > kMaxNumber || aReply.mVoter == member_id{}) {
    return "the term is out of range or the voter has no identity";
  }
  return std::nullopt;
}

std::optional<std::string> consensus_group::FindFault(const append_request& aRequest)
{
  if (aRequest.mTerm == 0 || aRequest.mTerm > kMaxNumber || aRequest.mPreviousIndex > kMaxNumber) {
    return "the term or the previous index is out of range";
  }
  if ((aRequest.mPreviousIndex == 0) != (aRequest.mPreviousTerm == 0)) {
    return "only one of the previous index and term is 0";
  }
  log_index previousIndex = aRequest.mPreviousIndex;
  term_number previousTerm = aRequest.mPreviousTerm;
  for (const log_entry& entry : aRequest.mEntries) {
    if (entry.mIndex != previousIndex + 1) {
      return Describe("the index of an entry", entry.mIndex, previousIndex + 1);
    }
    if (entry.mTerm < previousTerm || entry.mTerm == 0) {
      return Describe("the term of an entry", entry.mTerm, std::max<term_number>(1, previousTerm)) +
             " or more";
    }
    if (entry.mIsMembership && !IsMembershipReadable(entry.mPayload)) {
      return "the membership at index " + std::to_string(entry.mIndex) + " is unreadable";
    }
    previousIndex = entry.mIndex;
    previousTerm = entry.mTerm;
  }
  if (previousTerm > aRequest.mTerm) {
    return Describe("the term of the last entry", previousTerm, aRequest.mTerm) + " or less";
  }
  return std::nullopt;
}

std::optional<std::string> consensus_group::FindFault(const snapshot_chunk& aChunk)
{
  if (aChunk.mTerm == 0 || aChunk.mTerm > kMaxNumber || aChunk.mLastIndex == 0 ||
      aChunk.mLastIndex > kMaxNumber) {
    return "the term or the last index is out of range";
  }
  if (aChunk.mLastTerm == 0 || aChunk.mLastTerm > aChunk.mTerm) {
    return Describe("the term of the last entry", aChunk.mLastTerm, aChunk.mTerm) + " or less";
  }
  if (!IsMembershipReadable(aChunk.mMembership)) {
    return "the membership is unreadable";
  }
  return std::nullopt;
}

std::optional<std::string> consensus_group::FindFault(const append_reply& aReply) const
{
  if (aReply.mTerm > kMaxNumber) {
    return "the term is out of range";
  }
  if (mRole != role::Leader || aReply.mTerm != mVote.mTerm) {
    return std::nullopt;
  }
  if (aReply.mIsAccepted && aReply.mMatchIndex > GetLastIndex()) {
    return Describe("the matching index", aReply.mMatchIndex, GetLastIndex()) + " or less";
  }
  return FindRoundFault(aReply.mRound);
}

std::optional<std::string> consensus_group::FindFault(const snapshot_ack& aAck) const
{
  if (aAck.mTerm > kMaxNumber) {
    return "the term is out of range";
  }
  if (mRole != role::Leader || aAck.mTerm != mVote.mTerm) {
    return std::nullopt;
  }
  if (aAck.mLastIndex > GetLastIndex()) {
    return Describe("the last index", aAck.mLastIndex, GetLastIndex()) + " or less";
  }
  return FindRoundFault(aAck.mRound);
}

std::optional<std::string> consensus_group::FindRoundFault(std::uint64_t aRound) const
{
  if (aRound > mRound) {
    return Describe("the heartbeat round", aRound, mRound) + " or less";
  }
  return std::nullopt;
}

std::optional<std::string> consensus_group::FindFault(const join_request& aRequest)
{
  if (aRequest.mMember == member_id{} || aRequest.mVm.IsEmpty()) {
    return "the member has no identity or no VM";
  }
  return std::nullopt;
}

void consensus_group::RefuseMessage(std::string aReason, group_actions& aActions)
{
  ++mRefusedMessages;
  aActions.emplace_back(message_refused{ mSender, std::move(aReason) });
}

bool consensus_group::IsSecondLeader(term_number aTerm, member_id aLeader) const noexcept
{
  if (aTerm != mVote.mTerm) {
    return false;
  }
  const bool isOtherKnown = !mLeaderVm.IsEmpty() && mLeaderVm != mSender;
  return mRole == role::Leader || aLeader == mSelf || (mRole == role::Follower && isOtherKnown);
}

std::optional<log_index> consensus_group::FindCommittedConflict(
  const append_request& aRequest) const
{
  // What this member verified in this term, or applied, never changes.
  const log_index fixedEnd = std::max(mCommitIndex, mVerifiedIndex);
  for (const log_entry& entry : aRequest.mEntries) {
    if (entry.mIndex <= mBaseIndex) {
      continue;
    }
    if (entry.mIndex > std::min(fixedEnd, GetLastIndex())) {
      break;
    }
    if (GetEntryTerm(entry.mIndex) != entry.mTerm) {
      return entry.mIndex;
    }
  }
  return std::nullopt;
}

} // namespace citronpulley
