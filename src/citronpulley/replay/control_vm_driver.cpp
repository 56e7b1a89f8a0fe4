#include "citronpulley/replay/control_vm_driver.h"

#include <algorithm>
#include <utility>

namespace citronpulley {

namespace {

constexpr std::uint64_t kGroup = 1;
/** Virtual time from the submission of a batch until it is synced. */
constexpr microseconds kSyncTime{ 1'000 };

} // namespace

control_vm_driver::control_vm_driver(control_vm_setup aSetup)
  : mSetup(std::move(aSetup))
{
  const auto& vms = mSetup.mControlVms;
  const auto self = std::find(vms.begin(), vms.end(), mSetup.mVm);
  mDisk.mMember = member_id{ static_cast<std::uint64_t>(self - vms.begin()) + 1 };
  if (self == vms.begin()) {
    mDisk.mVote.mTerm = 1;
    mDisk.mEntries = { MakeBootstrapEntry(kGroup, mDisk.mMember, mSetup.mVm) };
  }
}

void control_vm_driver::Start(incarnation aIncarnation, instant aNow)
{
  mUnsyncedBatches.clear();
  group_settings settings;
  settings.mSelf = mSetup.mVm;
  settings.mControlVms = mSetup.mControlVms;
  mNode = std::make_unique<control_node>(
    std::move(settings),
    mDisk,
    mSetup.mSecret,
    mSetup.mOperatorKey,
    control_node::run_values{ aIncarnation, mSetup.mSeed * 1'000 + aIncarnation, aNow });
}

void control_vm_driver::Handle(const node_event& aEvent, current_time aNow, node_actions& aActions)
{
  if (std::holds_alternative<batch_stored>(aEvent)) {
    ApplySyncedBatch(mUnsyncedBatches.front());
    mUnsyncedBatches.pop_front();
  }
  node_actions actions;
  mNode->Handle(aEvent, aNow, actions);
  for (node_action& action : actions) {
    if (auto* batch = std::get_if<storage_batch>(&action)) {
      mSetup.mDeliverLater(kSyncTime, batch_stored{ batch->mNumber, false, {} });
      mUnsyncedBatches.push_back(std::move(*batch));
    } else {
      aActions.push_back(std::move(action));
    }
  }
}

void control_vm_driver::ApplySyncedBatch(const storage_batch& aBatch)
{
  if (aBatch.mVote) {
    mDisk.mVote = *aBatch.mVote;
  }
  if (aBatch.mSnapshot) {
    mDisk.mSnapshot = aBatch.mSnapshot;
    mDisk.mEntries = aBatch.mEntries;
    return;
  }
  if (!aBatch.mEntries.empty()) {
    const log_index first = aBatch.mEntries.front().mIndex;
    std::erase_if(mDisk.mEntries,
                  [first](const log_entry& aEntry) { return aEntry.mIndex >= first; });
    mDisk.mEntries.insert(mDisk.mEntries.end(), aBatch.mEntries.begin(), aBatch.mEntries.end());
  }
}

} // namespace citronpulley
