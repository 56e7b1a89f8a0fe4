#include "citronpulley/fleet/fleet_control.h"

#include "citronpulley/base/overloaded.h"

#include <algorithm>
#include <utility>

namespace citronpulley {

namespace {

/** Maximum age of the list of entry VMs that a new leader takes over from the former one. */
constexpr microseconds kMaxListAge{ 6'000'000 };
/** Time for which a leader that another control VM named is used: three requests for contacts. */
constexpr microseconds kNamedLeaderLifetime{ 900'000 };
/** Minimum number of voters for accepting changes, unless there are fewer seeds. */
constexpr std::size_t kMinVoters = 3;

} // namespace

std::optional<storage_batch> BootstrapGroup(const fleet_control_settings& aSettings,
                                            const recovered_member& aRecovered,
                                            std::uint64_t aGroup)
{
  const bool isEmpty =
    !aRecovered.mSnapshot && aRecovered.mEntries.empty() && aRecovered.mVote == vote_record{};
  const auto first = std::ranges::min_element(aSettings.mSeeds);
  if (!isEmpty || first == aSettings.mSeeds.end() || *first != aSettings.mSelf) {
    return std::nullopt;
  }
  storage_batch batch;
  batch.mEntries = { MakeBootstrapEntry(aGroup, aRecovered.mMember, aSettings.mSelf) };
  return batch;
}

fleet_state fleet_control::RestoreState(const recovered_member& aRecovered)
{
  if (aRecovered.mSnapshot) {
    result<fleet_state> state = fleet_state::Decode(aRecovered.mSnapshot->mState);
    if (state) {
      return std::move(state.Get());
    }
  }
  return {};
}

group_settings fleet_control::MakeGroupSettings(const fleet_control_settings& aSettings)
{
  group_settings settings;
  settings.mSelf = aSettings.mSelf;
  settings.mControlVms = aSettings.mSeeds;
  settings.mMaxVoters = kMaxVoters;
  settings.mAdmitsUnlisted = true;
  settings.mRemoveAfter = kRemoveAfter;
  settings.mReplaceVoterAfter = kReplaceVoterAfter;
  return settings;
}

fleet_control::fleet_control(fleet_control_settings aSettings,
                             config_reader aReader,
                             recovered_member aRecovered,
                             std::uint64_t aSeed,
                             instant aNow)
  : mSettings(std::move(aSettings))
  , mReader(std::move(aReader))
  , mState(RestoreState(aRecovered))
  , mGroup(MakeGroupSettings(mSettings), std::move(aRecovered), aSeed, aNow)
  , mEpoch(aSeed | 1U)
  , mBackends(mEpoch)
  , mLedger(mSettings.mQuota, mSettings.mLease)
{
  AddControlVms(mSettings.mSeeds);
  fleet_actions ignored;
  RefreshConfig(aNow, ignored);
}

void fleet_control::Tick(instant aNow, fleet_actions& aActions)
{
  group_actions actions;
  mGroup.Tick(aNow, actions);
  Execute(actions, aNow, aActions);
  mBackends.Expire(aNow);
  std::erase_if(mDepartedUntil, [aNow](const auto& aEntry) { return aEntry.second <= aNow; });
  ReopenStorageIfDue(aNow, aActions);
  RequestContacts(aNow, aActions);
  ForwardAnnouncements(aNow, aActions);
  SendDirectory(aNow, aActions);
}

void fleet_control::Receive(const fleet_message& aMessage,
                            instant aNow,
                            const std::function<void(fleet_message)>& aReply,
                            fleet_actions& aActions)
{
  std::visit(overloaded{
               [&](const contact_request&) { HandleContactRequest(aNow, aReply); },
               [&](const contact_reply& aContacts) {
                 AddControlVms(aContacts.mControlVms);
                 if (!aContacts.mLeader.IsEmpty()) {
                   mNamedLeader = aContacts.mLeader;
                   mNamedLeaderUntil = aNow + kNamedLeaderLifetime;
                 }
               },
               [&](const group_message& aGroupMessage) {
                 group_actions actions;
                 mGroup.Receive(aGroupMessage.mSender, aGroupMessage.mMessage, aNow, actions);
                 Execute(actions, aNow, aActions);
               },
               [&](const entry_report& aReport) { aReply(HandleReport(aReport, aNow, aActions)); },
               [](const entry_update&) {},
               [&](const announcement_batch& aBatch) {
                 for (const backend_record& record : aBatch.mAnnouncements) {
                   HandleAnnouncement(record, aNow);
                 }
               },
               [&](const directory_update& aUpdate) { HandleDirectory(aUpdate, aNow); },
             },
             aMessage);
}

void fleet_control::HandleStored(std::uint64_t aNumber, instant aNow, fleet_actions& aActions)
{
  group_actions actions;
  mGroup.HandleStored(aNumber, aNow, actions);
  Execute(actions, aNow, aActions);
}

const vm_name& fleet_control::GetLeader(instant aNow) const noexcept
{
  const bool isNamed = mGroup.GetLeaderVm().IsEmpty() && aNow < mNamedLeaderUntil;
  return isNamed ? mNamedLeader : mGroup.GetLeaderVm();
}

void fleet_control::Submit(const fleet_command& aCommand,
                           on_outcome aOnOutcome,
                           instant aNow,
                           fleet_actions& aActions)
{
  if (!CanAccept(aNow)) {
    aOnOutcome(std::nullopt);
    return;
  }
  group_actions actions;
  const std::optional<proposal> proposed =
    mGroup.Propose(EncodeFleetCommand(aCommand), aNow, actions);
  if (!proposed) {
    aOnOutcome(std::nullopt);
    return;
  }
  mPending.emplace(proposed->mIndex, pending_command{ proposed->mTerm, std::move(aOnOutcome) });
  Execute(actions, aNow, aActions);
}

void fleet_control::Read(on_read aOnRead, instant aNow, fleet_actions& aActions)
{
  if (!mGroup.IsLeader()) {
    aOnRead(false);
    return;
  }
  const std::uint64_t read = ++mLastRead;
  mReads.emplace(read, std::move(aOnRead));
  group_actions actions;
  mGroup.RequestRead(read, aNow, actions);
  Execute(actions, aNow, aActions);
}

bool fleet_control::CanAccept(instant aNow) const noexcept
{
  return mGroup.IsConfirmedLeader(aNow) &&
         mGroup.GetMembership().CountVoters() >= std::min(kMinVoters, mSettings.mSeeds.size());
}

std::vector<entry_location> fleet_control::ListEntryVms(instant aNow) const
{
  return mGroup.IsLeader() ? mEntries.ListAccepting(GetConfig().mServices.size(), aNow)
                           : mListedEntryVms;
}

void fleet_control::Execute(group_actions& aGroupActions, instant aNow, fleet_actions& aActions)
{
  for (group_action& action : aGroupActions) {
    std::visit([&](auto& aAction) { Execute(aAction, aNow, aActions); }, action);
  }
  HandleLeaderChange(aNow, aActions);
  CompactIfNeeded(aNow, aActions);
}

void fleet_control::Execute(send_to_member& aSend, instant, fleet_actions& aActions)
{
  aActions.emplace_back(send_fleet_message{
    std::move(aSend.mVm), group_message{ mSettings.mSelf, std::move(aSend.mMessage) } });
}

void fleet_control::Execute(storage_batch& aBatch, instant, fleet_actions& aActions)
{
  aActions.emplace_back(std::move(aBatch));
}

void fleet_control::Execute(apply_entry& aApply, instant aNow, fleet_actions& aActions)
{
  const log_entry& entry = aApply.mEntry;
  std::optional<fleet_outcome> outcome;
  mBytesSinceSnapshot += entry.mPayload.size();
  if (entry.mIsMembership) {
    std::vector<vm_name> members;
    for (const group_member& member : mGroup.GetMembership().mMembers) {
      members.push_back(member.mVm);
    }
    AddControlVms(members);
  } else if (!entry.mPayload.empty()) {
    const result<fleet_command> decoded = DecodeFleetCommand(entry.mPayload);
    if (decoded) {
      outcome = mState.Apply(entry.mIndex, decoded.Get());
      HandleApplied(decoded.Get(), *outcome, aNow, aActions);
    } else {
      aActions.emplace_back(fleet_event{
        "command_unreadable",
        { { "index", std::to_string(entry.mIndex) }, { "error", decoded.GetError().mMessage } } });
    }
  }
  if (!outcome) {
    mState.Skip(entry.mIndex);
  }
  auto own = mPending.extract(entry.mIndex);
  if (!own.empty()) {
    const bool isOwn = own.mapped().mTerm == entry.mTerm;
    own.mapped().mOnOutcome(isOwn ? outcome : std::nullopt);
  }
}

void fleet_control::Execute(install_state& aInstall, instant aNow, fleet_actions& aActions)
{
  result<fleet_state> state = fleet_state::Decode(aInstall.mSnapshot.mState);
  if (!state) {
    FailStorage(aNow, aActions);
    aActions.emplace_back(
      fleet_event{ "snapshot_unreadable", { { "error", state.GetError().mMessage } } });
    return;
  }
  mState = std::move(state.Get());
  RemoveDepartedBackends();
  RefreshConfig(aNow, aActions);
}

void fleet_control::Execute(read_ready& aReady, instant, fleet_actions&)
{
  FinishRead(aReady.mRead, true);
}

void fleet_control::Execute(read_failed& aFailed, instant, fleet_actions&)
{
  FinishRead(aFailed.mRead, false);
}

void fleet_control::Execute(message_refused& aRefused, instant, fleet_actions& aActions)
{
  aActions.emplace_back(fleet_event{
    "group_message_refused",
    { { "sender", aRefused.mSender.mValue }, { "reason", std::move(aRefused.mReason) } } });
}

void fleet_control::FinishRead(std::uint64_t aRead, bool aIsConfirmed)
{
  auto read = mReads.extract(aRead);
  if (!read.empty()) {
    read.mapped()(aIsConfirmed);
  }
}

void fleet_control::CompactIfNeeded(instant aNow, fleet_actions& aActions)
{
  const bool isLong =
    mGroup.CountEntries() > kSnapshotEntries || mBytesSinceSnapshot > kSnapshotBytes;
  if (!isLong || mState.GetIndex() != mGroup.GetAppliedIndex()) {
    return;
  }
  mBytesSinceSnapshot = 0;
  group_actions actions;
  mGroup.Compact(mState.Encode(), actions);
  for (group_action& action : actions) {
    std::visit([&](auto& aAction) { Execute(aAction, aNow, aActions); }, action);
  }
}

void fleet_control::HandleApplied(const fleet_command& aCommand,
                                  fleet_outcome aOutcome,
                                  instant aNow,
                                  fleet_actions& aActions)
{
  const std::string index = std::to_string(mState.GetIndex());
  const std::string outcome(ToString(aOutcome));
  std::visit(
    overloaded{
      [&](const put_config& aPut) {
        RefreshConfig(aNow, aActions);
        aActions.emplace_back(fleet_event{ "config",
                                           { { "version", std::to_string(aPut.mVersion) },
                                             { "base", std::to_string(aPut.mBase) },
                                             { "in_force", std::to_string(mState.GetVersion()) },
                                             { "index", index },
                                             { "outcome", outcome } } });
      },
      [&](const set_evacuation& aSet) {
        aActions.emplace_back(fleet_event{ aSet.mIsEvacuated ? "zone_evacuated" : "zone_taken_back",
                                           { { "zone", aSet.mZone.mValue }, { "index", index } } });
      },
      [&](const record_departure& aDeparture) {
        HandleDeparture(aDeparture, aNow);
        aActions.emplace_back(
          fleet_event{ "backend_leaves",
                       { { "backend", aDeparture.mBackend },
                         { "started_at_ms", std::to_string(aDeparture.mStartedAtMs) },
                         { "index", index } } });
      },
    },
    aCommand);
}

void fleet_control::RefreshConfig(instant aNow, fleet_actions& aActions)
{
  if (mState.GetVersion() == 0 || GetConfig().mVersion == mState.GetVersion()) {
    return;
  }
  result<traffic_config> config = mReader(mState.GetText());
  if (config) {
    mConfigs.Update(std::move(config.Get()));
    mLedger.SetRules(GetConfig().mWorkspaces, aNow);
    if (!GetConfig().mWarnings.empty()) {
      aActions.emplace_back(
        fleet_event{ "config_warnings",
                     { { "version", std::to_string(GetConfig().mVersion) },
                       { "warnings", std::to_string(GetConfig().mWarnings.size()) },
                       { "first", GetConfig().mWarnings.front() } } });
    }
    return;
  }
  aActions.emplace_back(
    fleet_event{ "config_unreadable", { { "error", config.GetError().mMessage } } });
}

void fleet_control::HandleLeaderChange(instant aNow, fleet_actions& aActions)
{
  if (mGroup.GetLeaderVm() == mLastLeader) {
    return;
  }
  mLastLeader = mGroup.GetLeaderVm();
  aActions.emplace_back(fleet_event{
    mLastLeader.IsEmpty() ? "leader_lost" : "leader",
    { { "leader", mLastLeader.mValue }, { "term", std::to_string(mGroup.GetTerm()) } } });
  if (mGroup.IsLeader()) {
    mLimits.StartLearning();
    mLedger.StartLeading(aNow);
    mLeadsSince = aNow;
  }
  if (mGroup.IsLeader() && aNow < mListedAt + kMaxListAge) {
    mEntries.Adopt(mListedEntryVms, aNow);
  }
  if (!mGroup.IsLeader()) {
    AbandonCommands();
    mBackendsToForward = mBackends.ListSeenSince(aNow - kMaxForwardAge);
  }
}

void fleet_control::AbandonCommands()
{
  // The next leader may or may not commit the commands that this VM proposed.
  for (auto& [index, pending] : std::exchange(mPending, {})) {
    pending.mOnOutcome(std::nullopt);
  }
}

void fleet_control::AddControlVms(const std::vector<vm_name>& aVms)
{
  bool isChanged = false;
  for (const vm_name& vm : aVms) {
    if (std::ranges::find(mControlVms, vm) == mControlVms.end()) {
      mControlVms.push_back(vm);
      isChanged = true;
    }
  }
  if (isChanged) {
    mGroup.SetControlVms(mControlVms);
  }
}

contact_reply fleet_control::GetContacts() const
{
  contact_reply contacts{ mGroup.GetLeaderVm(), {} };
  for (const group_member& member : mGroup.GetMembership().mMembers) {
    contacts.mControlVms.push_back(member.mVm);
  }
  return contacts;
}

void fleet_control::RequestContacts(instant aNow, fleet_actions& aActions)
{
  if (!mGroup.GetLeaderVm().IsEmpty() || aNow < mNextContactAt) {
    return;
  }
  mNextContactAt = aNow + kContactInterval;
  for (const vm_name& vm : mControlVms) {
    if (vm != mSettings.mSelf) {
      aActions.emplace_back(send_fleet_message{ vm, contact_request{ mSettings.mSelf } });
    }
  }
}

void fleet_control::HandleContactRequest(instant aNow,
                                         const std::function<void(fleet_message)>& aReply)
{
  aReply(GetContacts());
  // The sender knows no leader. It may have just started, without a list of entry VMs.
  const std::vector<entry_location> entries = ListEntryVms(aNow);
  if (!entries.empty()) {
    aReply(directory_update{ {}, GetContacts().mControlVms, entries });
  }
}

void fleet_control::HandleDirectory(const directory_update& aUpdate, instant aNow)
{
  AddControlVms(aUpdate.mControlVms);
  const bool isFromLeader = !aUpdate.mLeader.IsEmpty();
  if (isFromLeader || mListedEntryVms.empty()) {
    mListedEntryVms = aUpdate.mEntries;
  }
  if (isFromLeader) {
    mListedAt = aNow;
    std::vector<vm_name> listed;
    for (const entry_location& entry : aUpdate.mEntries) {
      listed.push_back(entry.mVm);
    }
    mLedger.RecordListed(listed, aNow);
  }
}

void fleet_control::SendDirectory(instant aNow, fleet_actions& aActions)
{
  if (!mGroup.IsConfirmedLeader(aNow) || aNow < mNextDirectoryAt) {
    return;
  }
  mNextDirectoryAt = aNow + kDirectoryInterval;
  const directory_update update{ mSettings.mSelf,
                                 GetContacts().mControlVms,
                                 mEntries.ListAccepting(GetConfig().mServices.size(), aNow) };
  for (const group_member& member : mGroup.GetMembership().mMembers) {
    if (member.mVm != mSettings.mSelf) {
      aActions.emplace_back(send_fleet_message{ member.mVm, update });
    }
  }
}

} // namespace citronpulley
