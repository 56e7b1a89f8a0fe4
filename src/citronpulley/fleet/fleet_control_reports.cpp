#include "citronpulley/fleet/fleet_control.h"

#include "citronpulley/steering/key_hash.h"

#include <algorithm>
#include <utility>

namespace citronpulley {

namespace {

/**
 * Maximum number of departures sent with a full list, since an entry VM that switches to another
 * leader may have missed them.
 */
constexpr std::size_t kMaxSentDepartures = 200;

/** @return the same number at all leaders of a group, and another one in another group */
std::uint64_t ComputeRelayToken(std::uint64_t aGroup)
{
  return ComputeIdHash("relay " + std::to_string(aGroup)) | 1U;
}

} // namespace

void fleet_control::RecordCrashes(const entry_report& aReport,
                                  instant aNow,
                                  fleet_actions& aActions)
{
  for (const crash_notice& notice : aReport.mCrashes) {
    crash_record& record = mCrashes[notice.mFingerprint];
    record.mBackends.insert(notice.mBackend);
    record.mLastCrashAt = aNow;
    if (record.mBackends.size() == kQuarantineCrashes) {
      aActions.emplace_back(
        fleet_event{ "request_quarantined",
                     { { "fingerprint", ToHex(notice.mFingerprint) },
                       { "crashes", std::to_string(record.mBackends.size()) } } });
    }
  }
  std::erase_if(mCrashes, [aNow](const auto& aRecord) {
    return aRecord.second.mLastCrashAt + kQuarantineFor <= aNow;
  });
}

void fleet_control::FillPermits(const entry_report& aReport, instant aNow, entry_update& aUpdate)
{
  for (const backend_record* backend : mBackends.ListCold(aNow)) {
    const auto service =
      std::ranges::find(GetConfig().mServices, backend->mService, &service_rule::mName);
    if (service == GetConfig().mServices.end() || service->mWarmupRate <= 0) {
      continue;
    }
    const std::optional<double> rate =
      mEntries.FindWarmupRate(aReport.mLocation.mVm, *backend, service->mWarmupRate, aNow);
    if (rate) {
      aUpdate.mPermits.push_back({ backend->mId, *rate });
    }
  }
}

void fleet_control::HandleObservations(const entry_report& aReport, instant aNow)
{
  for (const backend_observation& seen : aReport.mObservations) {
    if (seen.mHasLoad) {
      mBackends.UpdateLoad({ seen.mBackend, seen.mRequests, seen.mAge }, aNow);
    }
    const backend_record* record = mBackends.Find(seen.mBackend);
    if (record != nullptr && !seen.mTally.IsEmpty()) {
      mHealth.RecordOutcomes(record->mId, record->mService, seen.mTally, aNow);
    }
  }
}

void fleet_control::UpdateSuspects(const std::vector<backend_health>& aSuspects,
                                   fleet_actions& aActions)
{
  std::set<std::string> suspects;
  for (const backend_health& suspect : aSuspects) {
    suspects.insert(suspect.mBackend);
    if (!mSuspects.contains(suspect.mBackend)) {
      aActions.emplace_back(fleet_event{ "backend_suspected",
                                         { { "backend", suspect.mBackend },
                                           { "failure_rate", std::to_string(suspect.mFailureRate) },
                                           { "slowness", std::to_string(suspect.mSlowness) } } });
    }
  }
  for (const std::string& id : mSuspects) {
    if (!suspects.contains(id)) {
      aActions.emplace_back(fleet_event{ "backend_trusted", { { "backend", id } } });
    }
  }
  mSuspects = std::move(suspects);
}

void fleet_control::LogLimits(const std::vector<backend_limit>& aLimits, fleet_actions& aActions)
{
  std::map<std::string, double> current;
  for (const backend_limit& limit : aLimits) {
    current.emplace(limit.mBackend, limit.mRate);
    const auto known = mLoggedLimits.find(limit.mBackend);
    if (known == mLoggedLimits.end() || known->second != limit.mRate) {
      aActions.emplace_back(fleet_event{
        "backend_limited",
        { { "backend", limit.mBackend }, { "per_second", std::to_string(limit.mRate) } } });
    }
  }
  for (const auto& [id, rate] : mLoggedLimits) {
    if (!current.contains(id)) {
      aActions.emplace_back(fleet_event{ "backend_limit_ended", { { "backend", id } } });
    }
  }
  mLoggedLimits = std::move(current);
}

void fleet_control::UpdateStatuses(instant aNow, fleet_actions& aActions)
{
  if (aNow < mNextStatusAt) {
    return;
  }
  mNextStatusAt = aNow + backend_status_table::kInterval;
  mLimits.RemoveOutdated([this](const std::string& aId) { return mBackends.GetStartedAtMs(aId); },
                         aNow);
  const std::vector<backend_health>& health = mHealth.List(aNow);
  const std::vector<backend_limit> limits = mLimits.ListLimits();
  mStatuses.Update(mBackends.ListBusy(aNow), health, limits, aNow);
  LogLimits(limits, aActions);
  UpdateSuspects(health, aActions);
}

fleet_message fleet_control::HandleReport(const entry_report& aReport,
                                          instant aNow,
                                          fleet_actions& aActions)
{
  entry_update update;
  update.mNumber = aReport.mNumber;
  update.mContacts = GetContacts();
  if (!mGroup.IsConfirmedLeader(aNow)) {
    return update;
  }
  mEntries.Update(aReport, aNow);
  RecordCrashes(aReport, aNow, aActions);
  HandleObservations(aReport, aNow);
  if (mLimits.HandleReport(aReport, aNow)) {
    // The answer to a report includes what the report said.
    mNextStatusAt = aNow;
  }
  update.mShares = mLimits.ListShares(aReport);
  UpdateStatuses(aNow, aActions);
  mStatuses.FillUpdate(aReport.mListEpoch == mEpoch ? aReport.mStatusRevision : 0, update);
  update.mIsConfirmed = true;
  update.mProofAge = (aNow - *mGroup.GetConfirmedAt()).count();
  update.mConfig = mState.GetVersion();
  if (aReport.mConfig != mState.GetVersion()) {
    update.mConfigDelta = mConfigs.GetEncodedDelta(aReport.mConfig);
  }
  update.mEvacuatedZones.assign(mState.GetEvacuatedZones().begin(),
                                mState.GetEvacuatedZones().end());
  mBackends.FillUpdate(aReport.mListEpoch, aReport.mListRevision, aNow, update);
  if (update.mIsWholeList) {
    const std::vector<record_departure> recent = mState.ListDepartures(kMaxSentDepartures);
    update.mDepartures.insert(update.mDepartures.end(), recent.begin(), recent.end());
    for (const auto& [id, until] : mDepartedUntil) {
      update.mRemoved.push_back(id);
    }
  }
  update.mGrants = mLedger.HandleReport(aReport, aNow);
  FillPermits(aReport, aNow, update);
  update.mRelayToken = ComputeRelayToken(mGroup.GetMembership().mGroup);
  mEntries.FillRelays(aReport, aNow, update);
  for (const auto& [fingerprint, record] : mCrashes) {
    if (record.mBackends.size() >= kQuarantineCrashes) {
      update.mQuarantined.push_back(fingerprint);
    }
  }
  return update;
}

} // namespace citronpulley
