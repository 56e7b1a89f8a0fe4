#include "citronpulley/fleet/fleet_control.h"

#include <utility>

namespace citronpulley {

void fleet_control::HandleStorageFailure(instant aNow, fleet_actions& aActions)
{
  if (!mGroup.IsFailed()) {
    FailStorage(aNow, aActions);
  }
}

void fleet_control::FailStorage(instant aNow, fleet_actions& aActions)
{
  group_actions actions;
  mGroup.HandleStorageFailure(actions);
  mReopenAt = aNow + kReopenInterval;
  Execute(actions, aNow, aActions);
}

void fleet_control::ReopenStorageIfDue(instant aNow, fleet_actions& aActions)
{
  if (mReopenAt && *mReopenAt <= aNow) {
    mReopenAt.reset();
    aActions.emplace_back(reopen_storage{});
  }
}

void fleet_control::HandleReopened(result<recovered_member> aRecovered,
                                   std::uint64_t aSeed,
                                   instant aNow,
                                   fleet_actions& aActions)
{
  if (!aRecovered) {
    mReopenAt = aNow + kReopenInterval;
    aActions.emplace_back(
      fleet_event{ "storage_unusable", { { "error", aRecovered.GetError().mMessage } } });
    return;
  }
  mState = RestoreState(aRecovered.Get());
  RemoveDepartedBackends();
  mConfigs = {};
  mBytesSinceSnapshot = 0;
  mGroup = consensus_group(MakeGroupSettings(mSettings), std::move(aRecovered.Get()), aSeed, aNow);
  mGroup.SetControlVms(mControlVms);
  RefreshConfig(aNow, aActions);
  aActions.emplace_back(fleet_event{ "storage_reopened",
                                     { { "last_index", std::to_string(mGroup.GetLastIndex()) },
                                       { "config", std::to_string(mState.GetVersion()) } } });
}

} // namespace citronpulley
