#include "citronpulley/base/overloaded.h"
#include "citronpulley/fleet/backend_limit_ledger.h"
#include "citronpulley/fleet/backend_registry.h"
#include "citronpulley/fleet/entry_steering.h"
#include "citronpulley/steering/config_delta.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace citronpulley {

namespace {

/** Reports whose update is still used when it comes; an older one has nothing to tell any more. */
constexpr std::size_t kMaxAwaitedUpdates = 16;
/** Age of a load that the leader confirms: an interval of the reports. */
constexpr microseconds kConfirmedLoadAge{ 300'000 };

} // namespace

entry_report entry_steering::MakeReport(bool aIsAccepting, instant aNow)
{
  entry_report report;
  report.mLocation = mSettings.mLocation;
  report.mIsAccepting = aIsAccepting && mConfig != nullptr;
  report.mNumber = ++mNumber;
  mReportTimes.emplace(mNumber, aNow);
  if (mReportTimes.size() > kMaxAwaitedUpdates) {
    mReportTimes.erase(mReportTimes.begin());
  }
  report.mConfig = mConfig && !mNeedsWholeConfig ? mConfig->GetConfig().mVersion : 0;
  report.mListEpoch = mListEpoch;
  report.mListRevision = mListRevision;
  report.mStatusRevision = mStatusRevision;
  for (const workspace_meter::account_report& account : mMeter.Report(aNow)) {
    report.mDemands.push_back({ account.mWorkspace, account.mDemand, account.mTokens });
  }
  report.mCrashes = mCrashes.ListForReport(mNumber, aNow);
  AddLimits(report, aNow);
  report.mCutOff = mReach.ListCutOff();
  report.mRelayDigest = mRelays.GetDigest();
  for (const backend_pool::observation& seen : mPool.DrainObservations()) {
    backend_observation observation;
    observation.mBackend = seen.mBackend;
    observation.mTally = seen.mTally;
    const backend_record* record = mPool.FindRecord(seen.mBackend);
    if (record != nullptr && mReach.GetReach(record->mService) != reach::Reachable) {
      // Failures of this VM's own connections say nothing about the backend server.
      observation.mTally.mFailures = 0;
    }
    if (seen.mLoad) {
      observation.mHasLoad = true;
      observation.mRequests = seen.mLoad->mRequests;
      observation.mAge = (aNow - seen.mLoad->mSeenAt).count();
    }
    report.mObservations.push_back(std::move(observation));
  }
  return report;
}

void entry_steering::AddLimits(entry_report& aReport, instant aNow)
{
  for (const backend_pool::known_limit& known : mPool.ListLimits(mNumber, aNow)) {
    limit_report limit;
    limit.mBackend = known.mBackend;
    limit.mStartedAtMs = known.mStartedAtMs;
    std::visit(overloaded{
                 [](const limit_unknown&) {},
                 [&](const limit_none&) {
                   limit.mHasNotice = true;
                   limit.mRate = -1;
                 },
                 [&](const limit_rate& aLimit) {
                   limit.mHasNotice = true;
                   limit.mRate = aLimit.mRate;
                 },
               },
               known.mNotice);
    limit.mAge = (aNow - known.mNoticeAt).count();
    limit.mDemand = known.mDemand;
    limit.mShare = known.mShare;
    aReport.mLimits.push_back(std::move(limit));
  }
}

result<bool> entry_steering::UpdateConfig(const entry_update& aUpdate)
{
  const config_version currentVersion = mConfig ? mConfig->GetConfig().mVersion : 0;
  if (aUpdate.mConfig == currentVersion) {
    return false;
  }
  const result<config_delta> delta = DecodeConfigDelta(aUpdate.mConfigDelta);
  if (!delta) {
    return delta.GetError();
  }
  const traffic_config emptyConfig;
  const traffic_config& current = mConfig ? mConfig->GetConfig() : emptyConfig;
  result<traffic_config> config = ApplyConfigDelta(current, mConfigDigest, delta.Get());
  if (!config) {
    return config.GetError();
  }
  mConfig = std::make_shared<const route_index>(std::move(config.Get()));
  mConfigDigest = delta.Get().mDigest;
  mNeedsWholeConfig = false;
  return true;
}

result<bool> entry_steering::HandleUpdate(const entry_update& aUpdate, instant aNow)
{
  const auto report = mReportTimes.find(aUpdate.mNumber);
  // A confirmed leader never has an older configuration than one that was confirmed before.
  const bool isOlder = mConfig && aUpdate.mConfig < mConfig->GetConfig().mVersion;
  if (!aUpdate.mIsConfirmed || report == mReportTimes.end() || isOlder) {
    return false;
  }
  const instant sentAt = report->second;
  mReportTimes.erase(mReportTimes.begin(), std::next(report));
  result<std::vector<backend_record>> snapshot = std::vector<backend_record>();
  if (aUpdate.mIsWholeList) {
    snapshot = DecodeBackendList(aUpdate.mListSnapshot);
    if (!snapshot) {
      return snapshot.GetError();
    }
  }
  result<std::vector<backend_status>> statuses = std::vector<backend_status>();
  if (!aUpdate.mStatuses.empty()) {
    statuses = DecodeStatuses(aUpdate.mStatuses);
    if (!statuses) {
      return statuses.GetError();
    }
  }
  result<bool> isNewConfig = UpdateConfig(aUpdate);
  if (!isNewConfig) {
    mNeedsWholeConfig = true;
    return isNewConfig;
  }
  mFreshUntil = std::max(mFreshUntil, sentAt - microseconds(aUpdate.mProofAge) + mSettings.mLease);
  mPool.SetEvacuatedZones({ aUpdate.mEvacuatedZones.begin(), aUpdate.mEvacuatedZones.end() }, aNow);
  if (aUpdate.mListEpoch != mListEpoch) {
    mPool.ReportLimitsAgain();
  }
  mCrashes.HandleUpdate(aUpdate.mNumber, aUpdate.mListEpoch);
  UpdateBackends(aUpdate, std::move(snapshot.Get()), aNow);
  mPool.SetSharesValidUntil(sentAt + backend_limit_ledger::kShareLease);
  mMeter.RecordLeaderContact(aNow);
  for (const workspace_grant& grant : aUpdate.mGrants) {
    mMeter.Grant(grant.mWorkspace, grant.mTokens, grant.mFallbackRate, grant.mMaxTokens);
  }
  std::map<std::string, double> rates;
  for (const warmup_permit& permit : aUpdate.mPermits) {
    rates.emplace(permit.mBackend, permit.mRate);
  }
  mPool.SetWarmupRates(std::move(rates));
  UpdateStatuses(aUpdate, statuses.Get(), aNow);
  mQuarantined = { aUpdate.mQuarantined.begin(), aUpdate.mQuarantined.end() };
  mRelayToken = aUpdate.mRelayToken;
  if (aUpdate.mHasRelays) {
    mRelays.SetVms(aUpdate.mRelays);
  }
  return isNewConfig;
}

void entry_steering::UpdateStatuses(const entry_update& aUpdate,
                                    const std::vector<backend_status>& aChanges,
                                    instant aNow)
{
  if (aUpdate.mIsWholeStatus) {
    mStatuses.clear();
  }
  // The leader confirms loads that it does not name by not naming them.
  for (auto& [hash, told] : mStatuses) {
    told.mLoadSeenAt = std::max(told.mLoadSeenAt, aNow - kConfirmedLoadAge);
  }
  for (const backend_status& status : aChanges) {
    if (status.IsDefault()) {
      mStatuses.erase(status.mBackend);
    } else {
      mStatuses[status.mBackend] = { status, aNow - microseconds(status.mLoadAgeMs * 1'000) };
    }
  }
  mStatusRevision = aUpdate.mStatusRevision;
  std::map<std::string, backend_pool::shared_health> health;
  for (const auto& [hash, told] : mStatuses) {
    const std::string* id = mPool.FindByHash(hash);
    if (id == nullptr) {
      continue;
    }
    health.emplace(*id,
                   backend_pool::shared_health{ told.mStatus.mFailurePercent / 100.0,
                                                told.mStatus.mSlownessPercent / 100.0 });
    if (told.mStatus.IsBusy()) {
      mPool.UpdateLoad({ *id, static_cast<double>(told.mStatus.mRequests), told.mLoadSeenAt });
    }
  }
  mPool.SetSharedHealth(health);
  std::map<std::string, double> limits;
  for (const auto& [hash, told] : mStatuses) {
    const std::string* id = told.mStatus.IsLimited() ? mPool.FindByHash(hash) : nullptr;
    if (id != nullptr) {
      limits.emplace(*id, told.mStatus.mLimitPer100S / 100.0);
    }
  }
  mPool.SetLimits(limits, aUpdate.mNumber, aNow);
  for (const limit_share& share : aUpdate.mShares) {
    mPool.SetLimitShare(share.mBackend, share.mStartedAtMs, share.mShare, aNow);
  }
}

std::vector<backend_start> entry_steering::ListReplaced(
  const entry_update& aUpdate,
  const std::vector<backend_record>& aSnapshot) const
{
  std::vector<backend_start> replaced;
  std::set<std::string> listed;
  std::map<server_name, const backend_record*> byAddress;
  const auto addKnownStart = [&](const std::string& aBackend, const backend_record* aSuccessor) {
    const backend_record* known = mPool.FindRecord(aBackend);
    if (known == nullptr || aSuccessor == nullptr || known->mIsLeaving ||
        known->mStartedAtMs >= aSuccessor->mStartedAtMs) {
      return;
    }
    const bool hasDeparted =
      std::ranges::any_of(aUpdate.mDepartures, [known](const record_departure& aDeparture) {
        return aDeparture.mBackend == known->mId && aDeparture.mStartedAtMs >= known->mStartedAtMs;
      });
    if (!hasDeparted) {
      replaced.push_back({ known->mId, known->mStartedAtMs });
    }
  };
  for (const std::vector<backend_record>* records : { &aSnapshot, &aUpdate.mBackends }) {
    for (const backend_record& record : *records) {
      listed.insert(record.mId);
      byAddress[record.mAddress] = &record;
      addKnownStart(record.mId, &record);
    }
  }
  if (byAddress.empty()) {
    return replaced;
  }
  // A change removes what a later start replaced; with a full list the removals name only backend
  // servers that left.
  std::set<std::string> unlisted(aUpdate.mRemoved.begin(), aUpdate.mRemoved.end());
  if (aUpdate.mIsWholeList) {
    unlisted = mPool.ListMissing(listed);
    for (const std::string& id : aUpdate.mRemoved) {
      unlisted.erase(id);
    }
  }
  for (const std::string& id : unlisted) {
    const backend_record* known = mPool.FindRecord(id);
    const auto successor = known == nullptr ? byAddress.end() : byAddress.find(known->mAddress);
    addKnownStart(id, successor == byAddress.end() ? nullptr : successor->second);
  }
  return replaced;
}

void entry_steering::UpdateBackends(const entry_update& aUpdate,
                                    std::vector<backend_record> aSnapshot,
                                    instant aNow)
{
  for (const backend_start& start : ListReplaced(aUpdate, aSnapshot)) {
    if (const std::optional<backend_crash> crash = mCrashMonitor.HandleReplaced(start, aNow)) {
      AddFoundCrash(*crash, aNow);
    }
  }
  std::set<std::string> listed;
  for (backend_record& record : aSnapshot) {
    record.mColdForMs =
      std::max<std::int64_t>(0, record.mColdForMs - aUpdate.mListSnapshotAge / 1'000);
    mPool.Update(record, aNow);
    listed.insert(record.mId);
  }
  for (const backend_record& record : aUpdate.mBackends) {
    mPool.Update(record, aNow);
    listed.insert(record.mId);
  }
  if (aUpdate.mIsWholeList) {
    // A new leader may not have received the announcements of all backend servers yet. A list that
    // names at most half of the known ones therefore removes none at once.
    if (listed.size() * 2 > mPool.GetCount()) {
      mPool.KeepOnly(listed);
    }
    mUnlisted = mPool.ListMissing(listed);
    mUnlistedUntil = aNow + backend_registry::kExpireAfter;
  } else {
    std::erase_if(mUnlisted, [&](const std::string& aId) { return listed.contains(aId); });
  }
  if (mUnlistedUntil <= aNow) {
    for (const std::string& id : std::exchange(mUnlisted, {})) {
      mPool.Remove(id);
    }
  }
  for (const record_departure& departure : aUpdate.mDepartures) {
    mPool.RemoveStart(departure.mBackend, departure.mStartedAtMs);
  }
  for (const std::string& id : aUpdate.mRemoved) {
    mPool.Remove(id);
  }
  mListEpoch = aUpdate.mListEpoch;
  mListRevision = aUpdate.mListRevision;
}

} // namespace citronpulley
