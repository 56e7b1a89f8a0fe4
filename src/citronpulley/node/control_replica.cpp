#include "citronpulley/node/control_replica.h"

#include <utility>

namespace citronpulley {

namespace {

control_state RestoreState(const recovered_member& aRecovered)
{
  if (aRecovered.mSnapshot) {
    result<control_state> state = control_state::Decode(aRecovered.mSnapshot->mState);
    if (state) {
      return std::move(state.Get());
    }
  }
  return {};
}

} // namespace

control_replica::control_replica(group_settings aSettings,
                                 recovered_member aRecovered,
                                 std::uint64_t aSeed,
                                 instant aNow)
  : mState(RestoreState(aRecovered))
  , mGroup(std::move(aSettings), std::move(aRecovered), aSeed, aNow)
{
}

void control_replica::Tick(instant aNow, node_actions& aActions)
{
  group_actions actions;
  mGroup.Tick(aNow, actions);
  Execute(actions, aNow, aActions);
}

void control_replica::Receive(const peer_message_received& aMessage,
                              instant aNow,
                              node_actions& aActions)
{
  group_actions actions;
  mGroup.Receive(aMessage.mSender, aMessage.mMessage, aNow, actions);
  Execute(actions, aNow, aActions);
}

void control_replica::HandleStored(const batch_stored& aStored,
                                   instant aNow,
                                   node_actions& aActions)
{
  group_actions actions;
  if (aStored.mIsFailed) {
    mGroup.HandleStorageFailure(actions);
  } else {
    mGroup.HandleStored(aStored.mNumber, aNow, actions);
  }
  Execute(actions, aNow, aActions);
}

void control_replica::Propose(command_content aContent,
                              current_time aNow,
                              on_decided aOnDecided,
                              node_actions& aActions)
{
  group_actions actions;
  const std::optional<proposal> position =
    mGroup.Propose(EncodeCommand({ aNow.mWallClock.mMilliseconds, std::move(aContent) }),
                   aNow.mMonotonic,
                   actions);
  if (!position) {
    aOnDecided(nullptr, aActions);
    return;
  }
  mProposals.emplace(position->mIndex, pending_proposal{ position->mTerm, std::move(aOnDecided) });
  Execute(actions, aNow.mMonotonic, aActions);
}

void control_replica::Read(instant aNow, on_read aOnRead, node_actions& aActions)
{
  mWaitingReads.push_back(std::move(aOnRead));
  StartReads(aNow, aActions);
}

void control_replica::StartReads(instant aNow, node_actions& aActions)
{
  while (mCurrentReads.empty() && !mWaitingReads.empty()) {
    mCurrentReads = std::exchange(mWaitingReads, {});
    group_actions actions;
    mGroup.RequestRead(++mLastRead, aNow, actions);
    for (group_action& action : actions) {
      std::visit([this, &aActions](auto& aAction) { Execute(aAction, aActions); }, action);
    }
  }
}

void control_replica::Execute(group_actions& aGroupActions, instant aNow, node_actions& aActions)
{
  for (group_action& action : aGroupActions) {
    std::visit([this, &aActions](auto& aAction) { Execute(aAction, aActions); }, action);
  }
  if (!mGroup.IsLeader()) {
    FailProposals(aActions);
  }
  StartReads(aNow, aActions);
  // When this runs inside a callback, the state can lag behind the group, because some of the
  // group's actions have not been executed yet. A snapshot must not be taken then.
  if (mGroup.CountEntries() > kSnapshotEntries && mState.GetIndex() == mGroup.GetAppliedIndex()) {
    group_actions actions;
    mGroup.Compact(mState.Encode(), actions);
    for (group_action& action : actions) {
      std::visit([this, &aActions](auto& aAction) { Execute(aAction, aActions); }, action);
    }
  }
}

void control_replica::Execute(send_to_member& aSend, node_actions& aActions)
{
  aActions.emplace_back(send_peer_message{ std::move(aSend.mVm), std::move(aSend.mMessage) });
}

void control_replica::Execute(storage_batch& aBatch, node_actions& aActions)
{
  aActions.emplace_back(std::move(aBatch));
}

void control_replica::Execute(apply_entry& aApply, node_actions& aActions)
{
  const log_entry& entry = aApply.mEntry;
  std::optional<apply_result> outcome;
  if (!entry.mIsMembership && !entry.mPayload.empty()) {
    const result<command> decoded = DecodeCommand(entry.mPayload);
    if (decoded) {
      outcome = mState.Apply(entry.mIndex, decoded.Get());
    } else {
      aActions.emplace_back(write_log{ log_level::Error,
                                       "cannot decode the committed command at index " +
                                         std::to_string(entry.mIndex) +
                                         ", which is skipped: " + decoded.GetError().mMessage,
                                       "" });
    }
  }
  if (!outcome) {
    mState.Skip(entry.mIndex);
  }
  auto pending = mProposals.extract(entry.mIndex);
  if (!pending.empty()) {
    const bool isOwn = pending.mapped().mTerm == entry.mTerm && outcome.has_value();
    pending.mapped().mOnDecided(isOwn ? &*outcome : nullptr, aActions);
  }
}

void control_replica::Execute(install_state& aInstall, node_actions& aActions)
{
  result<control_state> state = control_state::Decode(aInstall.mSnapshot.mState);
  if (!state) {
    aActions.emplace_back(
      write_log{ log_level::Error,
                 "cannot decode the snapshot received from the leader, up to index " +
                   std::to_string(aInstall.mSnapshot.mLastIndex) +
                   "; the process stops: " + state.GetError().mMessage,
                 "" });
    group_actions actions;
    mGroup.HandleStorageFailure(actions);
    aActions.emplace_back(stop_process{});
    return;
  }
  mState = std::move(state.Get());
}

void control_replica::Execute(read_ready& aReady, node_actions& aActions)
{
  FinishReads(aReady.mRead, true, aActions);
}

void control_replica::Execute(read_failed& aFailed, node_actions& aActions)
{
  FinishReads(aFailed.mRead, false, aActions);
}

void control_replica::Execute(message_refused& aRefused, node_actions& aActions)
{
  aActions.emplace_back(
    write_log{ log_level::Warning,
               "ignored a group message of " + aRefused.mSender.mValue + ": " + aRefused.mReason,
               "" });
}

void control_replica::FinishReads(std::uint64_t aRead, bool aIsConfirmed, node_actions& aActions)
{
  if (aRead != mLastRead) {
    return;
  }
  for (const on_read& callback : std::exchange(mCurrentReads, {})) {
    callback(aIsConfirmed, aActions);
  }
}

void control_replica::FailProposals(node_actions& aActions)
{
  for (const auto& [index, pending] : std::exchange(mProposals, {})) {
    pending.mOnDecided(nullptr, aActions);
  }
}

} // namespace citronpulley
