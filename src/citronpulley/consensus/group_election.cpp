#include "citronpulley/consensus/consensus_group.h"

#include <algorithm>
#include <utility>

namespace citronpulley {

void consensus_group::ResetElectionTimer(instant aNow)
{
  std::uniform_int_distribution<microseconds::rep> spread(0, mSettings.mElectionTimeout.count());
  mElectionAt = aNow + mSettings.mElectionTimeout + microseconds(spread(mRandom));
}

bool consensus_group::HasLeaderContact(instant aNow) const noexcept
{
  return mRole == role::Leader ||
         (mWasLeaderSeen && aNow < mLeaderSeenAt + mSettings.mElectionTimeout);
}

void consensus_group::BecomeFollower(term_number aTerm, group_actions& aActions)
{
  const bool wasLeader = mRole == role::Leader;
  mRole = role::Follower;
  if (wasLeader) {
    mConfirmedAt.reset();
    mUnconfirmedRounds.clear();
    mProgress.clear();
    FailReads(aActions);
  }
  if (aTerm > mVote.mTerm) {
    SaveVote(aTerm, {}, aActions);
    mVerifiedIndex = 0;
    mIncomingSnapshot = {};
  }
  if (wasLeader || mVerifiedIndex == 0) {
    mLeaderVm = {};
    mWasLeaderSeen = false;
  }
}

void consensus_group::StartPreVote(instant aNow, group_actions& aActions)
{
  ResetElectionTimer(aNow);
  mLeaderVm = {};
  mWasLeaderSeen = false;
  if (!GetMembership().IsVoter(mSelf)) {
    return;
  }
  mRole = role::PreCandidate;
  mVotes = { mSelf };
  RequestVotes(true, mVote.mTerm + 1, aActions);
  CountVotes(aNow, aActions);
}

void consensus_group::StartElection(instant aNow, group_actions& aActions)
{
  ResetElectionTimer(aNow);
  mRole = role::Candidate;
  mVerifiedIndex = 0;
  mIncomingSnapshot = {};
  SaveVote(mVote.mTerm + 1, mSelf, aActions);
  mVotes = { mSelf };
  RequestVotes(false, mVote.mTerm, aActions);
}

void consensus_group::RequestVotes(bool aIsPreVote, term_number aTerm, group_actions& aActions)
{
  for (const group_member& member : GetMembership().mMembers) {
    if (member.mMember == mSelf || member.mIsLearner) {
      continue;
    }
    // The candidate's vote for itself must be durable before the request leaves, or it could vote
    // for another candidate in the same term after a restart.
    SendDeferred(member.mVm,
                 vote_request{ 0,
                               aTerm,
                               mSelf,
                               GetLastIndex(),
                               GetEntryTerm(GetLastIndex()),
                               aIsPreVote,
                               GetMembership().mGroup,
                               member.mMember },
                 aActions);
  }
}

void consensus_group::CountVotes(instant aNow, group_actions& aActions)
{
  const auto votes = static_cast<std::size_t>(std::ranges::count_if(
    mVotes, [this](member_id aVoter) { return GetMembership().IsVoter(aVoter); }));
  if (votes * 2 <= GetMembership().CountVoters()) {
    return;
  }
  if (mRole == role::PreCandidate) {
    StartElection(aNow, aActions);
  } else if (mRole == role::Candidate && IsTermStored()) {
    BecomeLeader(aNow, aActions);
  }
}

void consensus_group::BecomeLeader(instant aNow, group_actions& aActions)
{
  mRole = role::Leader;
  mLeaderVm = mSettings.mSelf;
  mProgress.clear();
  mUnconfirmedRounds.clear();
  mConfirmedAt.reset();
  mConfirmedRound = mRound;
  for (const group_member& member : GetMembership().mMembers) {
    member_progress& progress = mProgress[member.mMember];
    progress.mNext = GetLastIndex() + 1;
    progress.mLastSeenAt = aNow;
    progress.mAdvancedAt = aNow;
  }
  mTermStartIndex = GetLastIndex() + 1;
  AppendEntries({ { mTermStartIndex, mVote.mTerm, {}, false } }, aActions);
  StartRound(aNow, aActions);
}

bool consensus_group::IsUpToDate(const vote_request& aRequest) const noexcept
{
  return std::pair(aRequest.mLastTerm, aRequest.mLastIndex) >=
         std::pair(GetEntryTerm(GetLastIndex()), GetLastIndex());
}

void consensus_group::HandleMessage(const vote_request& aRequest,
                                    instant aNow,
                                    group_actions& aActions)
{
  const std::uint64_t group = GetMembership().mGroup;
  if (aRequest.mReceiver != mSelf || group == 0 || aRequest.mGroup != group) {
    return;
  }
  if (aRequest.mIsPreVote) {
    const bool isGranted =
      aRequest.mTerm > mVote.mTerm && IsUpToDate(aRequest) && !HasLeaderContact(aNow);
    aActions.emplace_back(send_to_member{
      mSender, vote_reply{ 0, isGranted ? aRequest.mTerm : mVote.mTerm, mSelf, isGranted, true } });
    return;
  }
  // A member in contact with a leader ignores the request, so that a removed or returning member
  // cannot end the leader's term.
  if (aRequest.mTerm > mVote.mTerm && HasLeaderContact(aNow)) {
    return;
  }
  if (aRequest.mTerm > mVote.mTerm) {
    BecomeFollower(aRequest.mTerm, aActions);
  }
  const bool canVoteForCandidate =
    mVote.mVotedFor == member_id{} || mVote.mVotedFor == aRequest.mCandidate;
  const bool isGranted = aRequest.mTerm == mVote.mTerm && mRole == role::Follower &&
                         canVoteForCandidate && mLeaderVm.IsEmpty() && IsUpToDate(aRequest);
  if (isGranted) {
    ResetElectionTimer(aNow);
    if (mVote.mVotedFor != aRequest.mCandidate) {
      SaveVote(mVote.mTerm, aRequest.mCandidate, aActions);
    }
  }
  SendDeferred(mSender, vote_reply{ 0, mVote.mTerm, mSelf, isGranted, false }, aActions);
}

void consensus_group::HandleMessage(const vote_reply& aReply, instant aNow, group_actions& aActions)
{
  if (!aReply.mIsGranted && aReply.mTerm > mVote.mTerm) {
    BecomeFollower(aReply.mTerm, aActions);
    return;
  }
  const bool isExpected = aReply.mIsPreVote
                            ? mRole == role::PreCandidate && aReply.mTerm == mVote.mTerm + 1
                            : mRole == role::Candidate && aReply.mTerm == mVote.mTerm;
  if (aReply.mIsGranted && isExpected) {
    mVotes.insert(aReply.mVoter);
    CountVotes(aNow, aActions);
  }
}

} // namespace citronpulley
