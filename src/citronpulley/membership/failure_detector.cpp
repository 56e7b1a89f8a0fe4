#include "citronpulley/membership/failure_detector.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace citronpulley {

namespace {

/** Multiple of log2 of the group size: number of messages that carry one piece of news. */
constexpr double kTransmissionFactor = 3;

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
      mProbeOrder.insert(mProbeOrder.begin() +
                           static_cast<std::ptrdiff_t>(mRandom() % (mProbeOrder.size() + 1)),
                         name);
    }
  }
  std::erase_if(mMembers, [&](const auto& aEntry) {
    return std::find(aMembers.begin(), aMembers.end(), aEntry.first) == aMembers.end();
  });
  std::erase_if(mProbeOrder, [&](const vm_name& aName) { return !mMembers.contains(aName); });
}

void failure_detector::Receive(const vm_name& aSender,
                               const swim_ping& aPing,
                               std::vector<detector_message>& aMessages)
{
  Apply(aPing.mUpdates);
  aMessages.push_back({ aSender, swim_ack{ aPing.mProbe, mSelf, CollectUpdates(aSender) } });
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
  aMessages.push_back({ aRequest.mTarget, swim_ping{ probe, CollectUpdates(aRequest.mTarget) } });
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
      { probe.mRequester,
        swim_ack{ probe.mRequesterProbe, probe.mTarget, CollectUpdates(probe.mRequester) } });
    mRelayed.erase(relayed);
    return;
  }
  if (aAck.mProbe == mTargetProbe && aAck.mTarget == mTarget) {
    mIsAnswered = true;
  }
}

void failure_detector::MarkDisconnected(const vm_name& aMember, instant aNow)
{
  const auto found = mMembers.find(aMember);
  if (found != mMembers.end() && found->second.mCondition != member_condition::Dead) {
    Suspect(found->second, aNow, kDisconnectedTimeout);
  }
}

void failure_detector::Tick(instant aNow, std::vector<detector_message>& aMessages)
{
  std::erase_if(mRelayed, [aNow](const auto& aProbe) { return aProbe.second.mExpiresAt <= aNow; });
  ProbeSuspects(aNow, aMessages);
  if (!mIsAnswered && !mHasRequestedIndirectPings && mProbedAt + kDirectProbeTimeout <= aNow) {
    RequestIndirectPings(aMessages);
  }
  if (mNextProbeAt <= aNow) {
    const auto target = mMembers.find(mTarget);
    if (!mIsAnswered && target != mMembers.end() &&
        target->second.mCondition == member_condition::Alive) {
      Suspect(target->second, aNow, kSuspicionTimeout);
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

void failure_detector::Suspect(member_state& aMember, instant aNow, microseconds aTimeout)
{
  SetCondition(aMember, member_condition::Suspect);
  aMember.mIsOwnSuspicion = true;
  aMember.mDeadAt = aNow + aTimeout;
  aMember.mNextSuspectProbeAt = aNow;
}

void failure_detector::ProbeSuspects(instant aNow, std::vector<detector_message>& aMessages)
{
  for (auto& [name, member] : mMembers) {
    if (member.mCondition != member_condition::Suspect || !member.mIsOwnSuspicion) {
      continue;
    }
    if (member.mDeadAt <= aNow) {
      SetCondition(member, member_condition::Dead);
    } else if (member.mNextSuspectProbeAt <= aNow) {
      member.mNextSuspectProbeAt = aNow + kSuspectProbeInterval;
      aMessages.push_back({ name, swim_ping{ ++mLastProbe, CollectUpdates(name) } });
    }
  }
}

void failure_detector::Apply(const std::vector<member_update>& aUpdates)
{
  for (const member_update& update : aUpdates) {
    if (update.mVm == mSelf) {
      const bool mustRefute = update.mCondition != member_condition::Alive &&
                              update.mIncarnation == mIncarnation &&
                              update.mRefutation >= mRefutation;
      if (mustRefute) {
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
    SetCondition(found->second, update.mCondition);
  }
}

void failure_detector::SetCondition(member_state& aMember, member_condition aCondition)
{
  aMember.mCondition = aCondition;
  aMember.mIsOwnSuspicion = false;
  aMember.mTransmissionsLeft = ComputeTransmissionCount();
}

std::vector<member_update> failure_detector::CollectUpdates(const vm_name& aReceiver)
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
    if (member.mTransmissionsLeft > 0 && name != aReceiver) {
      --member.mTransmissionsLeft;
      updates.push_back({ name, member.mIncarnation, member.mRefutation, member.mCondition });
    }
  }
  return updates;
}

void failure_detector::StartProbe(instant aNow, std::vector<detector_message>& aMessages)
{
  mNextProbeAt = aNow + kProbeInterval;
  mIsAnswered = true;
  if (mProbeOrder.empty()) {
    return;
  }
  if (mNextInProbeOrder >= mProbeOrder.size()) {
    std::shuffle(mProbeOrder.begin(), mProbeOrder.end(), mRandom);
    mNextInProbeOrder = 0;
  }
  // Dead members are probed too: a VM that comes back is found without anybody's help.
  mTarget = mProbeOrder[mNextInProbeOrder++];
  mTargetProbe = ++mLastProbe;
  mIsAnswered = false;
  mHasRequestedIndirectPings = false;
  mProbedAt = aNow;
  aMessages.push_back({ mTarget, swim_ping{ mTargetProbe, CollectUpdates(mTarget) } });
}

void failure_detector::RequestIndirectPings(std::vector<detector_message>& aMessages)
{
  mHasRequestedIndirectPings = true;
  std::vector<vm_name> others;
  for (const auto& [name, member] : mMembers) {
    if (name != mTarget && member.mCondition != member_condition::Dead) {
      others.push_back(name);
    }
  }
  std::shuffle(others.begin(), others.end(), mRandom);
  others.resize(std::min(others.size(), kIndirectProbes));
  for (const vm_name& other : others) {
    aMessages.push_back(
      { other, swim_ping_request{ mTargetProbe, mTarget, CollectUpdates(other) } });
  }
}

std::uint32_t failure_detector::ComputeTransmissionCount() const noexcept
{
  const double size = static_cast<double>(mMembers.size()) + 2;
  return static_cast<std::uint32_t>(std::ceil(kTransmissionFactor * std::log2(size)));
}

} // namespace citronpulley
