#include "citronpulley/membership/failure_detector.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace citronpulley {

namespace {

/** Multiple of log2 of the group size: number of messages that carry one piece of news. */
constexpr double kSpreadFactor = 3;

bool IsNewer(const member_update& aUpdate,
             incarnation aIncarnation,
             std::uint32_t aRefutation,
             member_condition aCondition) noexcept
{
  const auto known = std::tie(aIncarnation, aRefutation, aCondition);
  return std::tie(aUpdate.mIncarnation, aUpdate.mRefutation, aUpdate.mCondition) > known;
}

} // namespace

failure_detector::failure_detector(vm_name aSelf, incarnation aIncarnation, std::uint64_t aSeed)
  : mSelf(std::move(aSelf))
  , mIncarnation(aIncarnation)
  , mRandom(aSeed)
{
}

void failure_detector::SetMembers(const std::vector<vm_name>& aMembers)
{
  for (const vm_name& name : aMembers) {
    if (name != mSelf && mMembers.try_emplace(name).second) {
      // New members go to a random place, so that not all members probe them at the same time.
      mOrder.insert(mOrder.begin() + static_cast<std::ptrdiff_t>(mRandom() % (mOrder.size() + 1)),
                    name);
    }
  }
  std::erase_if(mMembers, [&](const auto& aEntry) {
    return std::find(aMembers.begin(), aMembers.end(), aEntry.first) == aMembers.end();
  });
  std::erase_if(mOrder, [&](const vm_name& aName) { return !mMembers.contains(aName); });
}

void failure_detector::Receive(const vm_name& aSender,
                               const swim_ping& aPing,
                               std::vector<detector_message>& aMessages)
{
  Apply(aPing.mUpdates);
  aMessages.push_back({ aSender, swim_ack{ aPing.mProbe, mSelf, TakeUpdates(aSender) } });
}

void failure_detector::Receive(const vm_name& aSender,
                               const swim_ping_request& aRequest,
                               instant aNow,
                               std::vector<detector_message>& aMessages)
{
  Apply(aRequest.mUpdates);
  const std::uint64_t probe = ++mLastProbe;
  mRelayed.emplace(
    probe, relayed_probe{ aSender, aRequest.mProbe, aRequest.mTarget, aNow + kProbeInterval });
  aMessages.push_back({ aRequest.mTarget, swim_ping{ probe, TakeUpdates(aRequest.mTarget) } });
}

void failure_detector::Receive(const vm_name& /*aSender*/,
                               const swim_ack& aAck,
                               std::vector<detector_message>& aMessages)
{
  Apply(aAck.mUpdates);
  const auto relayed = mRelayed.find(aAck.mProbe);
  if (relayed != mRelayed.end()) {
    const relayed_probe& probe = relayed->second;
    aMessages.push_back(
      { probe.mAsker, swim_ack{ probe.mAskersNumber, probe.mTarget, TakeUpdates(probe.mAsker) } });
    mRelayed.erase(relayed);
    return;
  }
  if (aAck.mProbe == mTargetProbe && aAck.mTarget == mTarget) {
    mIsAnswered = true;
  }
}

void failure_detector::MarkLost(const vm_name& aMember, instant aNow)
{
  const auto found = mMembers.find(aMember);
  if (found != mMembers.end() && found->second.mCondition != member_condition::Dead) {
    Suspect(found->second, aNow, kLostTime);
  }
}

void failure_detector::Tick(instant aNow, std::vector<detector_message>& aMessages)
{
  std::erase_if(mRelayed, [aNow](const auto& aProbe) { return aProbe.second.mExpiresAt <= aNow; });
  ProbeSuspects(aNow, aMessages);
  if (!mIsAnswered && !mHasAskedOthers && mProbedAt + kDirectTimeout <= aNow) {
    AskOthers(aMessages);
  }
  if (mNextProbeAt <= aNow) {
    const auto target = mMembers.find(mTarget);
    if (!mIsAnswered && target != mMembers.end() &&
        target->second.mCondition == member_condition::Alive) {
      Suspect(target->second, aNow, kSuspicionTime);
    }
    StartProbe(aNow, aMessages);
  }
}

bool failure_detector::IsAlive(const vm_name& aMember) const noexcept
{
  if (aMember == mSelf) {
    return true;
  }
  const auto found = mMembers.find(aMember);
  return found != mMembers.end() && found->second.mCondition != member_condition::Dead;
}

void failure_detector::Suspect(member_state& aMember, instant aNow, microseconds aTime)
{
  Change(aMember, member_condition::Suspect);
  aMember.mIsOwnSuspicion = true;
  aMember.mDeadFrom = aNow + aTime;
  aMember.mNextSuspectProbeAt = aNow;
}

void failure_detector::ProbeSuspects(instant aNow, std::vector<detector_message>& aMessages)
{
  for (auto& [name, member] : mMembers) {
    if (member.mCondition != member_condition::Suspect || !member.mIsOwnSuspicion) {
      continue;
    }
    if (member.mDeadFrom <= aNow) {
      Change(member, member_condition::Dead);
    } else if (member.mNextSuspectProbeAt <= aNow) {
      member.mNextSuspectProbeAt = aNow + kSuspectProbeInterval;
      aMessages.push_back({ name, swim_ping{ ++mLastProbe, TakeUpdates(name) } });
    }
  }
}

void failure_detector::Apply(const std::vector<member_update>& aUpdates)
{
  for (const member_update& update : aUpdates) {
    if (update.mVm == mSelf) {
      const bool isToRefute = update.mCondition != member_condition::Alive &&
                              update.mIncarnation == mIncarnation &&
                              update.mRefutation >= mRefutation;
      if (isToRefute) {
        mRefutation = update.mRefutation + 1;
      }
      continue;
    }
    const auto found = mMembers.find(update.mVm);
    if (found == mMembers.end() || !IsNewer(update,
                                            found->second.mIncarnation,
                                            found->second.mRefutation,
                                            found->second.mCondition)) {
      continue;
    }
    found->second.mIncarnation = update.mIncarnation;
    found->second.mRefutation = update.mRefutation;
    Change(found->second, update.mCondition);
  }
}

void failure_detector::Change(member_state& aMember, member_condition aCondition)
{
  aMember.mCondition = aCondition;
  aMember.mIsOwnSuspicion = false;
  aMember.mSpreadsLeft = GetSpreadCount();
}

std::vector<member_update> failure_detector::TakeUpdates(const vm_name& aReceiver)
{
  std::vector<member_update> updates;
  // The own state always goes along, so that a member that suspects this VM learns its refutation.
  const auto receiver = mMembers.find(aReceiver);
  updates.push_back({ mSelf, mIncarnation, mRefutation, member_condition::Alive });
  if (receiver != mMembers.end() && receiver->second.mCondition != member_condition::Alive) {
    // The receiver learns that it is suspected and can refute it.
    const member_state& state = receiver->second;
    updates.push_back({ aReceiver, state.mIncarnation, state.mRefutation, state.mCondition });
  }
  for (auto& [name, member] : mMembers) {
    if (updates.size() >= kMaxUpdates) {
      break;
    }
    if (member.mSpreadsLeft > 0 && name != aReceiver) {
      --member.mSpreadsLeft;
      updates.push_back({ name, member.mIncarnation, member.mRefutation, member.mCondition });
    }
  }
  return updates;
}

void failure_detector::StartProbe(instant aNow, std::vector<detector_message>& aMessages)
{
  mNextProbeAt = aNow + kProbeInterval;
  mIsAnswered = true;
  if (mOrder.empty()) {
    return;
  }
  if (mNextInOrder >= mOrder.size()) {
    std::shuffle(mOrder.begin(), mOrder.end(), mRandom);
    mNextInOrder = 0;
  }
  // Dead members are probed too: a VM that comes back is found without anybody's help.
  mTarget = mOrder[mNextInOrder++];
  mTargetProbe = ++mLastProbe;
  mIsAnswered = false;
  mHasAskedOthers = false;
  mProbedAt = aNow;
  aMessages.push_back({ mTarget, swim_ping{ mTargetProbe, TakeUpdates(mTarget) } });
}

void failure_detector::AskOthers(std::vector<detector_message>& aMessages)
{
  mHasAskedOthers = true;
  std::vector<vm_name> others;
  for (const auto& [name, member] : mMembers) {
    if (name != mTarget && member.mCondition != member_condition::Dead) {
      others.push_back(name);
    }
  }
  std::shuffle(others.begin(), others.end(), mRandom);
  others.resize(std::min(others.size(), kIndirectProbes));
  for (const vm_name& other : others) {
    aMessages.push_back({ other, swim_ping_request{ mTargetProbe, mTarget, TakeUpdates(other) } });
  }
}

std::uint32_t failure_detector::GetSpreadCount() const noexcept
{
  const double size = static_cast<double>(mMembers.size()) + 2;
  return static_cast<std::uint32_t>(std::ceil(kSpreadFactor * std::log2(size)));
}

} // namespace citronpulley
