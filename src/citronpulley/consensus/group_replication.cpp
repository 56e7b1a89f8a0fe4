#include "citronpulley/consensus/consensus_group.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace citronpulley {

namespace {

/** Maximum number of messages with entries in flight to a member. */
constexpr std::size_t kMaxMessagesInFlight = 8;

} // namespace

void consensus_group::StartRound(instant aNow, group_actions& aActions)
{
  ++mRound;
  mUnconfirmedRounds.emplace_back(mRound, aNow);
  mNextHeartbeatAt = aNow + mSettings.mHeartbeatInterval;
  for (pending_read& read : mPendingReads) {
    if (read.mRound == 0) {
      read.mRound = mRound;
      // The first entry of this term follows all entries that earlier leaders committed.
      read.mIndex = std::max(mCommitIndex, mTermStartIndex);
    }
  }
  for (auto& [member, progress] : mProgress) {
    const bool hasEntriesInFlight = !progress.mIsProbing && progress.mMatch + 1 < progress.mNext;
    if (!hasEntriesInFlight) {
      progress.mAdvancedAt = aNow;
    } else if (progress.mAdvancedAt + mSettings.mResendAfter <= aNow) {
      progress.mNext = progress.mMatch + 1;
      progress.mAdvancedAt = aNow;
    }
  }
  SendToOthers(true, aActions);
  ConfirmRounds();
}

void consensus_group::SendToOthers(bool aAlways, group_actions& aActions)
{
  for (const group_member& member : GetMembership().mMembers) {
    if (member.mMember != mSelf) {
      SendEntries(member, aAlways, aActions);
    }
  }
}

void consensus_group::SendEntries(const group_member& aMember,
                                  bool aAlways,
                                  group_actions& aActions)
{
  member_progress& progress = mProgress[aMember.mMember];
  if (progress.mNext <= mBaseIndex) {
    if (aAlways) {
      SendSnapshot(aMember, progress, aActions);
    }
    return;
  }
  append_request request;
  request.mTerm = mVote.mTerm;
  request.mLeader = mSelf;
  request.mPreviousIndex = progress.mNext - 1;
  request.mPreviousTerm = GetEntryTerm(request.mPreviousIndex);
  request.mCommitIndex = mCommitIndex;
  request.mRound = mRound;
  request.mGroup = GetMembership().mGroup;
  request.mReceiver = aMember.mMember;
  const std::size_t inFlight = progress.mNext - progress.mMatch - 1;
  const bool isFull = inFlight > kMaxMessagesInFlight * mSettings.mMaxEntriesPerMessage;
  if (!progress.mIsProbing && !isFull) {
    const log_index end =
      std::min(GetLastIndex() + 1, progress.mNext + mSettings.mMaxEntriesPerMessage);
    while (progress.mNext < end) {
      request.mEntries.push_back(GetEntry(progress.mNext++));
    }
  }
  if (aAlways || !request.mEntries.empty()) {
    aActions.emplace_back(send_to_member{ aMember.mVm, std::move(request) });
  }
}

void consensus_group::SendSnapshot(const group_member& aMember,
                                   member_progress& aProgress,
                                   group_actions& aActions)
{
  if (aProgress.mSnapshotIndex != mSnapshot->mLastIndex) {
    aProgress.mSnapshotIndex = mSnapshot->mLastIndex;
    aProgress.mSnapshotOffset = 0;
  }
  snapshot_chunk chunk;
  chunk.mTerm = mVote.mTerm;
  chunk.mLeader = mSelf;
  chunk.mLastIndex = mSnapshot->mLastIndex;
  chunk.mLastTerm = mSnapshot->mLastTerm;
  chunk.mMembership = mSnapshot->mMembership;
  chunk.mOffset = std::min<std::uint64_t>(aProgress.mSnapshotOffset, mSnapshot->mState.size());
  chunk.mBytes = mSnapshot->mState.substr(chunk.mOffset, mSettings.mSnapshotChunkBytes);
  chunk.mIsLast = chunk.mOffset + chunk.mBytes.size() == mSnapshot->mState.size();
  chunk.mRound = mRound;
  chunk.mGroup = GetMembership().mGroup;
  chunk.mReceiver = aMember.mMember;
  aActions.emplace_back(send_to_member{ aMember.mVm, std::move(chunk) });
}

std::uint64_t consensus_group::FindMajorityValue(std::uint64_t aOwn,
                                                 std::uint64_t member_progress::*aField) const
{
  std::vector<std::uint64_t> values;
  for (const group_member& member : GetMembership().mMembers) {
    if (member.mIsLearner) {
      continue;
    }
    const auto found = mProgress.find(member.mMember);
    const std::uint64_t value = found == mProgress.end() ? 0 : found->second.*aField;
    values.push_back(member.mMember == mSelf ? aOwn : value);
  }
  if (values.empty()) {
    return 0;
  }
  std::ranges::sort(values, std::greater{});
  return values[values.size() / 2];
}

void consensus_group::AdvanceCommit(group_actions& aActions)
{
  const log_index majorityMatch = FindMajorityValue(mSyncedIndex, &member_progress::mMatch);
  if (majorityMatch <= mCommitIndex || GetEntryTerm(majorityMatch) != mVote.mTerm) {
    return;
  }
  CommitTo(majorityMatch, aActions);
  // Followers serve reads too, so they get the new commit index without waiting for a heartbeat.
  for (const group_member& member : GetMembership().mMembers) {
    if (member.mMember != mSelf && mProgress[member.mMember].mNext > mBaseIndex) {
      SendEntries(member, true, aActions);
    }
  }
}

bool consensus_group::HasQuorumSince(instant aTime) const noexcept
{
  std::size_t reachable = 0;
  for (const auto& [member, progress] : mProgress) {
    if (GetMembership().IsVoter(member) && (member == mSelf || progress.mLastSeenAt > aTime)) {
      ++reachable;
    }
  }
  return reachable * 2 > GetMembership().CountVoters();
}

consensus_group::member_progress* consensus_group::RecordReply(member_id aMember,
                                                               term_number aTerm,
                                                               std::uint64_t aRound,
                                                               instant aNow,
                                                               group_actions& aActions)
{
  if (aTerm > mVote.mTerm) {
    BecomeFollower(aTerm, aActions);
    return nullptr;
  }
  const auto found = mProgress.find(aMember);
  if (mRole != role::Leader || aTerm != mVote.mTerm || found == mProgress.end() ||
      GetMembership().Find(aMember) == nullptr) {
    return nullptr;
  }
  found->second.mLastSeenAt = aNow;
  found->second.mRound = std::max(found->second.mRound, aRound);
  ConfirmRounds();
  return &found->second;
}

bool consensus_group::AcceptLeader(term_number aTerm,
                                   member_id aLeader,
                                   std::uint64_t aGroup,
                                   std::uint64_t aRound,
                                   instant aNow,
                                   group_actions& aActions)
{
  const std::uint64_t group = GetMembership().mGroup;
  if (group != 0 && group != aGroup) {
    return false;
  }
  if (aTerm < mVote.mTerm) {
    // The round belongs to an earlier term. If the sender leads the present term after a restart,
    // it counts its rounds anew and must not take this reply for a confirmation of one.
    aActions.emplace_back(
      send_to_member{ mSender, append_reply{ 0, mVote.mTerm, mSelf, false, 0, 0 } });
    return false;
  }
  if (IsSecondLeader(aTerm, aLeader)) {
    RefuseMessage("term " + std::to_string(aTerm) + " has another leader", aActions);
    return false;
  }
  if (aTerm > mVote.mTerm || mRole != role::Follower) {
    BecomeFollower(aTerm, aActions);
  }
  if (mLeaderVm != mSender) {
    mLeaderVm = mSender;
    mLeaderRound = 0;
  }
  mLeaderRound = std::max(mLeaderRound, aRound);
  mLeaderSeenAt = aNow;
  mWasLeaderSeen = true;
  ResetElectionTimer(aNow);
  return true;
}

void consensus_group::ReplyToLeader(bool aIsAccepted, log_index aMatch, group_actions& aActions)
{
  aActions.emplace_back(send_to_member{
    mLeaderVm, append_reply{ 0, mVote.mTerm, mSelf, aIsAccepted, aMatch, mLeaderRound } });
}

void consensus_group::ConfirmMatch(group_actions& aActions)
{
  // By this reply the follower promises to reject older terms, so its term must be durable first.
  if (IsTermStored()) {
    ReplyToLeader(true, std::min(mSyncedIndex, mVerifiedIndex), aActions);
  }
}

log_index consensus_group::FindConflictHint(log_index aPrevious) const noexcept
{
  if (aPrevious > GetLastIndex()) {
    return GetLastIndex();
  }
  const term_number term = GetEntryTerm(aPrevious);
  log_index hint = aPrevious - 1;
  while (hint > mCommitIndex && GetEntryTerm(hint) == term) {
    --hint;
  }
  return hint;
}

void consensus_group::HandleMessage(const append_request& aRequest,
                                    instant aNow,
                                    group_actions& aActions)
{
  if (aRequest.mReceiver != mSelf ||
      !AcceptLeader(
        aRequest.mTerm, aRequest.mLeader, aRequest.mGroup, aRequest.mRound, aNow, aActions)) {
    return;
  }
  if (const std::optional<log_index> conflict = FindCommittedConflict(aRequest)) {
    RefuseMessage(
      "the entry at index " + std::to_string(*conflict) + " contradicts a committed one", aActions);
    return;
  }
  const log_index previous = aRequest.mPreviousIndex;
  // Entries covered by the snapshot are committed, so they match.
  const bool isMatch = previous < mBaseIndex || (previous <= GetLastIndex() &&
                                                 GetEntryTerm(previous) == aRequest.mPreviousTerm);
  if (!isMatch) {
    if (IsTermStored()) {
      ReplyToLeader(false, FindConflictHint(previous), aActions);
    }
    return;
  }
  std::vector<log_entry> added;
  for (const log_entry& entry : aRequest.mEntries) {
    if (entry.mIndex <= mBaseIndex) {
      continue;
    }
    if (added.empty() && entry.mIndex <= GetLastIndex()) {
      if (GetEntryTerm(entry.mIndex) == entry.mTerm) {
        continue;
      }
      RemoveEntriesFrom(entry.mIndex);
    }
    added.push_back(entry);
  }
  if (!added.empty()) {
    AppendEntries(std::move(added), aActions);
  }
  mVerifiedIndex = std::max(mVerifiedIndex, previous + aRequest.mEntries.size());
  CommitTo(std::min(aRequest.mCommitIndex, mVerifiedIndex), aActions);
  ConfirmMatch(aActions);
}

void consensus_group::HandleMessage(const append_reply& aReply,
                                    instant aNow,
                                    group_actions& aActions)
{
  member_progress* progress =
    RecordReply(aReply.mMember, aReply.mTerm, aReply.mRound, aNow, aActions);
  if (progress == nullptr) {
    return;
  }
  const group_member member = *GetMembership().Find(aReply.mMember);
  if (!aReply.mIsAccepted) {
    // A late rejection must not move the index behind what this member confirmed in this term.
    if (aReply.mMatchIndex + 1 < progress->mNext) {
      progress->mNext = std::max(aReply.mMatchIndex + 1, progress->mMatch + 1);
      progress->mIsProbing = true;
      SendEntries(member, true, aActions);
    }
    return;
  }
  progress->mIsProbing = false;
  if (aReply.mMatchIndex > progress->mMatch) {
    progress->mMatch = aReply.mMatchIndex;
    progress->mAdvancedAt = aNow;
    progress->mNext = std::max(progress->mNext, progress->mMatch + 1);
    AdvanceCommit(aActions);
  }
  SendEntries(member, false, aActions);
}

void consensus_group::HandleMessage(const snapshot_chunk& aChunk,
                                    instant aNow,
                                    group_actions& aActions)
{
  if (aChunk.mReceiver != mSelf ||
      !AcceptLeader(aChunk.mTerm, aChunk.mLeader, aChunk.mGroup, aChunk.mRound, aNow, aActions)) {
    return;
  }
  snapshot_ack ack{ 0, mVote.mTerm, mSelf, aChunk.mLastIndex, 0, false, mLeaderRound };
  if (aChunk.mLastIndex <= mCommitIndex) {
    ack.mIsInstalled = mSyncedIndex >= aChunk.mLastIndex;
    ack.mNextOffset = aChunk.mOffset;
    SendDeferred(mSender, ack, aActions);
    return;
  }
  if (mIncomingSnapshot.mLastIndex != aChunk.mLastIndex ||
      mIncomingSnapshot.mLastTerm != aChunk.mLastTerm) {
    mIncomingSnapshot = { aChunk.mLastIndex, aChunk.mLastTerm, aChunk.mMembership, {} };
  }
  const bool isNext = aChunk.mOffset == mIncomingSnapshot.mState.size();
  if (isNext) {
    mIncomingSnapshot.mState += aChunk.mBytes;
  }
  ack.mNextOffset = mIncomingSnapshot.mState.size();
  if (isNext && aChunk.mIsLast) {
    InstallSnapshot(std::exchange(mIncomingSnapshot, {}), aActions);
    ack.mIsInstalled = true;
  }
  SendDeferred(mSender, ack, aActions);
}

void consensus_group::InstallSnapshot(snapshot_record aSnapshot, group_actions& aActions)
{
  const bool isSuffixKept = aSnapshot.mLastIndex <= GetLastIndex() &&
                            GetEntryTerm(aSnapshot.mLastIndex) == aSnapshot.mLastTerm;
  if (!isSuffixKept && mCommitIndex < GetLastIndex()) {
    RemoveEntriesFrom(mCommitIndex + 1);
  }
  result<group_membership> membership = DecodeMembership(aSnapshot.mMembership);
  std::erase_if(mMemberships, [&aSnapshot](const indexed_membership& aStored) {
    return aStored.mIndex <= aSnapshot.mLastIndex;
  });
  mMemberships.insert(
    mMemberships.begin(),
    { aSnapshot.mLastIndex, membership ? std::move(membership.Get()) : group_membership{} });
  const std::size_t covered =
    std::min<std::size_t>(mEntries.size(), aSnapshot.mLastIndex - mBaseIndex);
  mEntries.erase(mEntries.begin(), mEntries.begin() + static_cast<std::ptrdiff_t>(covered));
  mBaseIndex = aSnapshot.mLastIndex;
  mBaseTerm = aSnapshot.mLastTerm;
  mCommitIndex = mBaseIndex;
  mAppliedIndex = mBaseIndex;
  mVerifiedIndex = std::max(mVerifiedIndex, mBaseIndex);
  mSnapshot = aSnapshot;
  aActions.emplace_back(install_state{ aSnapshot });
  Persist({ 0, {}, std::move(aSnapshot), { mEntries.begin(), mEntries.end() } }, aActions);
}

void consensus_group::HandleMessage(const snapshot_ack& aAck, instant aNow, group_actions& aActions)
{
  member_progress* progress = RecordReply(aAck.mMember, aAck.mTerm, aAck.mRound, aNow, aActions);
  if (progress == nullptr) {
    return;
  }
  const group_member member = *GetMembership().Find(aAck.mMember);
  progress->mAdvancedAt = aNow;
  if (aAck.mIsInstalled) {
    progress->mMatch = std::max(progress->mMatch, aAck.mLastIndex);
    progress->mNext = std::max(progress->mNext, progress->mMatch + 1);
    progress->mIsProbing = false;
    AdvanceCommit(aActions);
    SendEntries(member, false, aActions);
    return;
  }
  const bool isCurrent = aAck.mLastIndex == progress->mSnapshotIndex;
  if (isCurrent && aAck.mNextOffset != progress->mSnapshotOffset) {
    progress->mSnapshotOffset = aAck.mNextOffset;
    SendEntries(member, true, aActions);
  }
}

} // namespace citronpulley
