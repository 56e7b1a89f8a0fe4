#include "citronpulley/consensus/consensus_group.h"

#include <algorithm>
#include <utility>

namespace citronpulley {

namespace {

/** A read that is not confirmed within this time fails; the caller may request it again. */
constexpr microseconds kReadTimeout{ 500'000 };
constexpr microseconds kJoinInterval{ 500'000 };
/** A member without contact with a leader for this long sends join requests, since the group may
 * have removed it. */
constexpr microseconds kLeaderLossTimeout{ 5'000'000 };

} // namespace

void consensus_group::RequestRead(std::uint64_t aRead, instant aNow, group_actions& aActions)
{
  if (mIsFailed || mLeaderVm.IsEmpty()) {
    aActions.emplace_back(read_failed{ aRead });
    return;
  }
  pending_read read;
  read.mRead = aRead;
  read.mDeadline = aNow + kReadTimeout;
  read.mNumber = ++mReadNumber;
  mPendingReads.push_back(read);
  if (mRole != role::Leader) {
    aActions.emplace_back(
      send_to_member{ mLeaderVm, read_index_request{ 0, read.mNumber, mSelf } });
  }
  FinishReads(aNow, aActions);
}

void consensus_group::ConfirmRounds()
{
  const std::uint64_t confirmed = FindMajorityValue(mRound, &member_progress::mRound);
  if (confirmed <= mConfirmedRound) {
    return;
  }
  mConfirmedRound = confirmed;
  while (!mUnconfirmedRounds.empty() && mUnconfirmedRounds.front().first <= confirmed) {
    mConfirmedAt = mUnconfirmedRounds.front().second;
    mUnconfirmedRounds.pop_front();
  }
}

void consensus_group::FinishReads(instant aNow, group_actions& aActions)
{
  if (mPendingReads.empty()) {
    return;
  }
  if (mRole == role::Leader) {
    // Reads that arrive while a heartbeat round is in flight share the next round.
    const bool isRoundInFlight = std::ranges::any_of(
      mPendingReads, [this](const pending_read& aRead) { return aRead.mRound > mConfirmedRound; });
    const bool isAnyWaiting = std::ranges::any_of(mPendingReads, [](const pending_read& aRead) {
      return aRead.mRound == 0 && !aRead.mIsConfirmed;
    });
    if (isAnyWaiting && !isRoundInFlight) {
      StartRound(aNow, aActions);
    }
  }
  std::erase_if(mPendingReads, [&](pending_read& aRead) {
    if (mRole == role::Leader && aRead.mRound != 0 && aRead.mRound <= mConfirmedRound) {
      aRead.mIsConfirmed = true;
    }
    if (aRead.mIsConfirmed && aRead.mRequester != member_id{}) {
      const group_member* member = GetMembership().Find(aRead.mRequester);
      if (member != nullptr) {
        aActions.emplace_back(
          send_to_member{ member->mVm, read_index_reply{ 0, aRead.mNumber, true, *aRead.mIndex } });
      }
      return true;
    }
    if (aRead.mIsConfirmed && mAppliedIndex >= *aRead.mIndex) {
      aActions.emplace_back(read_ready{ aRead.mRead });
      return true;
    }
    if (aRead.mDeadline > aNow) {
      return false;
    }
    if (aRead.mRequester == member_id{}) {
      aActions.emplace_back(read_failed{ aRead.mRead });
    }
    return true;
  });
}

void consensus_group::FailReads(group_actions& aActions)
{
  for (const pending_read& read : std::exchange(mPendingReads, {})) {
    if (read.mRequester == member_id{}) {
      aActions.emplace_back(read_failed{ read.mRead });
    }
  }
}

void consensus_group::HandleMessage(const read_index_request& aRequest,
                                    instant aNow,
                                    group_actions& aActions)
{
  if (mRole != role::Leader || GetMembership().Find(aRequest.mMember) == nullptr) {
    aActions.emplace_back(
      send_to_member{ mSender, read_index_reply{ 0, aRequest.mReadNumber, false, 0 } });
    return;
  }
  pending_read read;
  read.mRequester = aRequest.mMember;
  read.mNumber = aRequest.mReadNumber;
  read.mDeadline = aNow + kReadTimeout;
  mPendingReads.push_back(read);
}

void consensus_group::HandleMessage(const read_index_reply& aReply,
                                    instant /*aNow*/,
                                    group_actions& aActions)
{
  const auto found = std::ranges::find_if(mPendingReads, [&aReply](const pending_read& aRead) {
    return aRead.mRequester == member_id{} && aRead.mNumber == aReply.mReadNumber;
  });
  if (found == mPendingReads.end() || found->mIsConfirmed) {
    return;
  }
  if (aReply.mIsConfirmed) {
    found->mIsConfirmed = true;
    found->mIndex = aReply.mIndex;
    return;
  }
  aActions.emplace_back(read_failed{ found->mRead });
  mPendingReads.erase(found);
}

bool consensus_group::CanChangeMembership() const noexcept
{
  return mRole == role::Leader && mCommitIndex >= mTermStartIndex &&
         mMemberships.back().mIndex <= mCommitIndex;
}

void consensus_group::ProposeMembership(const group_membership& aMembership,
                                        instant aNow,
                                        group_actions& aActions)
{
  for (const group_member& member : aMembership.mMembers) {
    const auto [position, isNew] = mProgress.try_emplace(member.mMember);
    if (isNew) {
      position->second.mNext = GetLastIndex() + 1;
      position->second.mLastSeenAt = aNow;
      position->second.mAdvancedAt = aNow;
    }
  }
  AppendEntries({ { GetLastIndex() + 1, mVote.mTerm, EncodeMembership(aMembership), true } },
                aActions);
  SendToOthers(true, aActions);
}

void consensus_group::RepairMembership(instant aNow, group_actions& aActions)
{
  if (!CanChangeMembership()) {
    return;
  }
  for (const group_member& member : GetMembership().mMembers) {
    const member_progress& progress = mProgress[member.mMember];
    const bool isCaughtUp = progress.mMatch >= member.mAdmittedAt &&
                            progress.mMatch + mSettings.mMaxEntriesPerMessage >= GetLastIndex() &&
                            progress.mLastSeenAt + mSettings.mElectionTimeout > aNow;
    if (!member.mIsLearner || !isCaughtUp) {
      continue;
    }
    group_membership changed = GetMembership();
    const group_member* former = changed.FindVoterOn(member.mVm);
    const bool hasFreeVoterSlot = changed.CountVoters() < GetVoterLimit();
    if (former == nullptr && !hasFreeVoterSlot) {
      former = FindUnreachableMember(false, aNow);
      if (former == nullptr) {
        continue;
      }
    }
    if (former != nullptr) {
      // The former member is removed first and the learner is promoted by a later entry: with one
      // change at a time, the majorities of consecutive memberships overlap.
      std::erase(changed.mMembers, group_member(*former));
    } else {
      std::ranges::find(changed.mMembers, member.mMember, &group_member::mMember)->mIsLearner =
        false;
    }
    ProposeMembership(changed, aNow, aActions);
    return;
  }
  if (const group_member* lost = FindUnreachableMember(true, aNow)) {
    group_membership changed = GetMembership();
    std::erase(changed.mMembers, group_member(*lost));
    ProposeMembership(changed, aNow, aActions);
  }
}

const group_member* consensus_group::FindUnreachableMember(bool aIsLearner, instant aNow) const
{
  if (!mSettings.mRemoveAfter) {
    return nullptr;
  }
  const microseconds timeout = aIsLearner
                                 ? *mSettings.mRemoveAfter
                                 : mSettings.mReplaceVoterAfter.value_or(*mSettings.mRemoveAfter);
  for (const group_member& member : GetMembership().mMembers) {
    const auto found = mProgress.find(member.mMember);
    if (member.mIsLearner == aIsLearner && member.mMember != mSelf && found != mProgress.end() &&
        found->second.mLastSeenAt + timeout <= aNow) {
      return &member;
    }
  }
  return nullptr;
}

std::size_t consensus_group::GetVoterLimit() const noexcept
{
  const std::size_t members = GetMembership().mMembers.size();
  if (mSettings.mMaxVoters == 0) {
    return members;
  }
  // An even number of voters tolerates no more failures than the odd number below it.
  return std::min(mSettings.mMaxVoters, members % 2 == 0 ? members - 1 : members);
}

void consensus_group::RequestJoin(instant aNow, group_actions& aActions)
{
  const bool isMember = GetMembership().Find(mSelf) != nullptr;
  const bool hasLostLeader = mLeaderVm.IsEmpty() && mLeaderSeenAt + kLeaderLossTimeout <= aNow;
  if ((isMember && !hasLostLeader) || aNow < mNextJoinAt) {
    return;
  }
  mNextJoinAt = aNow + kJoinInterval;
  for (const vm_name& vm : mSettings.mControlVms) {
    if (vm != mSettings.mSelf) {
      aActions.emplace_back(send_to_member{ vm, join_request{ mSelf, mSettings.mSelf } });
    }
  }
}

void consensus_group::HandleMessage(const join_request& aRequest,
                                    instant aNow,
                                    group_actions& aActions)
{
  const bool isAllowed =
    aRequest.mVm == mSender && aRequest.mVm != mSettings.mSelf &&
    (mSettings.mAdmitsUnlisted ||
     std::ranges::find(mSettings.mControlVms, aRequest.mVm) != mSettings.mControlVms.end());
  if (!isAllowed || !CanChangeMembership() || GetMembership().Find(aRequest.mMember) != nullptr) {
    return;
  }
  group_membership changed = GetMembership();
  std::erase_if(changed.mMembers, [&aRequest](const group_member& aMember) {
    return aMember.mIsLearner && aMember.mVm == aRequest.mVm;
  });
  changed.mMembers.push_back({ aRequest.mMember, aRequest.mVm, true, GetLastIndex() + 1 });
  ProposeMembership(changed, aNow, aActions);
}

} // namespace citronpulley
