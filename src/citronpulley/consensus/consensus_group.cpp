#include "citronpulley/consensus/consensus_group.h"

#include "citronpulley/base/overloaded.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace citronpulley {

consensus_group::consensus_group(group_settings aSettings,
                                 recovered_member aRecovered,
                                 std::uint64_t aSeed,
                                 instant aNow)
  : mSettings(std::move(aSettings))
  , mRandom(aSeed)
  , mSelf(aRecovered.mMember)
  , mVote(aRecovered.mVote)
  , mStoredTerm(aRecovered.mVote.mTerm)
  , mSnapshot(std::move(aRecovered.mSnapshot))
  , mNextJoinAt(aNow)
{
  // A random first number keeps late replies to reads of an earlier run from matching reads of this
  // run.
  mReadNumber = mRandom();
  group_membership membership;
  if (mSnapshot) {
    mBaseIndex = mSnapshot->mLastIndex;
    mBaseTerm = mSnapshot->mLastTerm;
    result<group_membership> decoded = DecodeMembership(mSnapshot->mMembership);
    if (decoded) {
      membership = std::move(decoded.Get());
    }
  }
  mMemberships.push_back({ mBaseIndex, std::move(membership) });
  for (log_entry& entry : aRecovered.mEntries) {
    AddMembership(entry);
    mEntries.push_back(std::move(entry));
  }
  mSyncedIndex = GetLastIndex();
  mCommitIndex = mBaseIndex;
  mAppliedIndex = mBaseIndex;
  ResetElectionTimer(aNow);
  const group_membership& current = GetMembership();
  if (current.CountVoters() == 1 && current.IsVoter(mSelf)) {
    // A single voter wins its election at once, so it need not wait for a timeout.
    mElectionAt = aNow;
  }
}

const group_membership& consensus_group::GetMembership() const noexcept
{
  return mMemberships.back().mMembership;
}

void consensus_group::Tick(instant aNow, group_actions& aActions)
{
  if (mIsFailed) {
    return;
  }
  if (mRole == role::Leader) {
    if (!HasQuorumSince(aNow - mSettings.mElectionTimeout)) {
      BecomeFollower(mVote.mTerm, aActions);
      ResetElectionTimer(aNow);
    } else {
      RepairMembership(aNow, aActions);
      if (mNextHeartbeatAt <= aNow) {
        StartRound(aNow, aActions);
      }
    }
  } else if (mElectionAt <= aNow) {
    StartPreVote(aNow, aActions);
  }
  RequestJoin(aNow, aActions);
  FinishEvent(aNow, aActions);
}

void consensus_group::Receive(const vm_name& aSender,
                              const peer_message& aMessage,
                              instant aNow,
                              group_actions& aActions)
{
  if (mIsFailed) {
    return;
  }
  mSender = aSender;
  const auto handle = [&](const auto& aContent) {
    if (std::optional<std::string> fault = FindFault(aContent)) {
      RefuseMessage(std::move(*fault), aActions);
      return;
    }
    HandleMessage(aContent, aNow, aActions);
  };
  std::visit(overloaded{ [&](const vote_request& aContent) { handle(aContent); },
                         [&](const vote_reply& aContent) { handle(aContent); },
                         [&](const append_request& aContent) { handle(aContent); },
                         [&](const append_reply& aContent) { handle(aContent); },
                         [&](const snapshot_chunk& aContent) { handle(aContent); },
                         [&](const snapshot_ack& aContent) { handle(aContent); },
                         [&](const read_index_request& aContent) { handle(aContent); },
                         [&](const read_index_reply& aContent) { handle(aContent); },
                         [&](const join_request& aContent) { handle(aContent); },
                         [](const auto&) {} },
             aMessage);
  FinishEvent(aNow, aActions);
}

void consensus_group::HandleStored(std::uint64_t aNumber, instant aNow, group_actions& aActions)
{
  if (mIsFailed) {
    return;
  }
  while (!mPendingBatches.empty() && mPendingBatches.front().mNumber <= aNumber) {
    mStoredTerm = mPendingBatches.front().mTerm;
    mSyncedIndex = std::max(mSyncedIndex, mPendingBatches.front().mLastIndex);
    mPendingBatches.pop_front();
  }
  while (!mDeferredMessages.empty() && mDeferredMessages.front().mBatch <= aNumber) {
    aActions.emplace_back(send_to_member{ mDeferredMessages.front().mVm,
                                          std::move(mDeferredMessages.front().mMessage) });
    mDeferredMessages.pop_front();
  }
  if (mRole == role::Leader) {
    AdvanceCommit(aActions);
  } else if (mRole == role::Candidate) {
    CountVotes(aNow, aActions);
  } else if (!mLeaderVm.IsEmpty()) {
    ConfirmMatch(aActions);
  }
  FinishEvent(aNow, aActions);
}

void consensus_group::HandleStorageFailure(group_actions& aActions)
{
  mIsFailed = true;
  mRole = role::Follower;
  mLeaderVm = {};
  mConfirmedAt.reset();
  FailReads(aActions);
}

std::optional<proposal> consensus_group::Propose(std::string aPayload,
                                                 instant aNow,
                                                 group_actions& aActions)
{
  if (mIsFailed || mRole != role::Leader) {
    return std::nullopt;
  }
  const proposal proposed{ GetLastIndex() + 1, mVote.mTerm };
  AppendEntries({ { proposed.mIndex, proposed.mTerm, std::move(aPayload), false } }, aActions);
  SendToOthers(false, aActions);
  FinishEvent(aNow, aActions);
  return proposed;
}

void consensus_group::Compact(std::string aState, group_actions& aActions)
{
  if (mIsFailed || mAppliedIndex == mBaseIndex) {
    return;
  }
  snapshot_record snapshot;
  snapshot.mLastIndex = mAppliedIndex;
  snapshot.mLastTerm = GetEntryTerm(mAppliedIndex);
  while (mMemberships.size() > 1 && mMemberships[1].mIndex <= mAppliedIndex) {
    mMemberships.erase(mMemberships.begin());
  }
  snapshot.mMembership = EncodeMembership(mMemberships.front().mMembership);
  snapshot.mState = std::move(aState);
  mEntries.erase(mEntries.begin(),
                 mEntries.begin() + static_cast<std::ptrdiff_t>(mAppliedIndex - mBaseIndex));
  mBaseIndex = snapshot.mLastIndex;
  mBaseTerm = snapshot.mLastTerm;
  mSnapshot = snapshot;
  Persist({ 0, {}, std::move(snapshot), { mEntries.begin(), mEntries.end() } }, aActions);
}

bool consensus_group::IsConfirmedLeader(instant aNow) const noexcept
{
  return mRole == role::Leader && !mIsFailed && mCommitIndex >= mTermStartIndex && mConfirmedAt &&
         aNow < *mConfirmedAt + kMaxConfirmationAge;
}

term_number consensus_group::GetEntryTerm(log_index aIndex) const noexcept
{
  assert(aIndex >= mBaseIndex && aIndex <= GetLastIndex());
  return aIndex == mBaseIndex ? mBaseTerm : GetEntry(aIndex).mTerm;
}

void consensus_group::AppendEntries(std::vector<log_entry> aEntries, group_actions& aActions)
{
  for (const log_entry& entry : aEntries) {
    assert(entry.mIndex == GetLastIndex() + 1);
    AddMembership(entry);
    mEntries.push_back(entry);
  }
  Persist({ 0, {}, {}, std::move(aEntries) }, aActions);
}

void consensus_group::RemoveEntriesFrom(log_index aIndex)
{
  assert(aIndex > mCommitIndex && aIndex > mBaseIndex);
  mEntries.erase(mEntries.begin() + static_cast<std::ptrdiff_t>(aIndex - mBaseIndex - 1),
                 mEntries.end());
  while (mMemberships.size() > 1 && mMemberships.back().mIndex >= aIndex) {
    mMemberships.pop_back();
  }
  mSyncedIndex = std::min(mSyncedIndex, aIndex - 1);
  for (pending_batch& batch : mPendingBatches) {
    batch.mLastIndex = std::min(batch.mLastIndex, aIndex - 1);
  }
}

void consensus_group::Persist(storage_batch aBatch, group_actions& aActions)
{
  aBatch.mNumber = ++mLastBatch;
  mPendingBatches.push_back({ aBatch.mNumber, mVote.mTerm, GetLastIndex() });
  aActions.emplace_back(std::move(aBatch));
}

void consensus_group::SaveVote(term_number aTerm, member_id aVotedFor, group_actions& aActions)
{
  mVote = { aTerm, aVotedFor };
  Persist({ 0, mVote, {}, {} }, aActions);
}

void consensus_group::SendDeferred(const vm_name& aVm,
                                   peer_message aMessage,
                                   group_actions& aActions)
{
  if (mPendingBatches.empty()) {
    aActions.emplace_back(send_to_member{ aVm, std::move(aMessage) });
    return;
  }
  mDeferredMessages.push_back({ mLastBatch, aVm, std::move(aMessage) });
}

void consensus_group::CommitTo(log_index aIndex, group_actions& aActions)
{
  mCommitIndex = std::max(mCommitIndex, std::min(aIndex, GetLastIndex()));
  while (mAppliedIndex < mCommitIndex) {
    aActions.emplace_back(apply_entry{ GetEntry(++mAppliedIndex) });
  }
}

void consensus_group::AddMembership(const log_entry& aEntry)
{
  if (!aEntry.mIsMembership) {
    return;
  }
  result<group_membership> membership = DecodeMembership(aEntry.mPayload);
  if (membership) {
    mMemberships.push_back({ aEntry.mIndex, std::move(membership.Get()) });
  }
}

void consensus_group::FinishEvent(instant aNow, group_actions& aActions)
{
  FinishReads(aNow, aActions);
}

} // namespace citronpulley
