#include "citronpulley/state/suspect_table.h"

namespace citronpulley {

std::vector<digest> suspect_table::ApplyReport(const crash_report& aReport)
{
  std::vector<digest> changed;
  if (aReport.mIsUnconfirmed) {
    return changed;
  }
  if (aReport.mIsCleared) {
    for (const digest& fingerprint : aReport.mFingerprints) {
      mLeases.erase(fingerprint);
      const suspect_record* suspect = Find(fingerprint);
      if (suspect != nullptr && !suspect->mIsQuarantined && ClearSuspicion(fingerprint)) {
        changed.push_back(fingerprint);
      }
    }
    return changed;
  }
  if (!mCountedCrashes.emplace(aReport.mServer, aReport.mInstance).second) {
    return changed;
  }
  // Several requests with the same fingerprint count as one request that ran alone.
  const std::set<digest> fingerprints(aReport.mFingerprints.begin(), aReport.mFingerprints.end());
  const bool ranAlone = fingerprints.size() == 1;
  for (const digest& fingerprint : fingerprints) {
    suspect_record& suspect = mSuspects[fingerprint];
    suspect.mFingerprint = fingerprint;
    ++(ranAlone ? suspect.mLoneCrashes : suspect.mSharedCrashes);
    const std::uint32_t crashes = suspect.mLoneCrashes + suspect.mSharedCrashes;
    suspect.mIsQuarantined = suspect.mLoneCrashes >= kLoneCrashLimit ||
                             (suspect.mLoneCrashes > 0 && crashes >= kCrashLimit);
    changed.push_back(fingerprint);
  }
  return changed;
}

suspect_lease_reply suspect_table::ApplyLeaseRequest(const suspect_lease_request& aRequest,
                                                     unix_time aNow)
{
  suspect_lease_reply reply{ aRequest.mFingerprint, aRequest.mHolder, {}, {} };
  const auto found = mLeases.find(aRequest.mFingerprint);
  const bool isHeld =
    found != mLeases.end() && found->second.mUntilMilliseconds > aNow.mMilliseconds;
  const bool isOwn = isHeld && found->second.mHolder == aRequest.mHolder;
  const suspect_record* suspect = Find(aRequest.mFingerprint);
  if (aRequest.mIsReturned) {
    if (isOwn) {
      mLeases.erase(found);
    }
    reply.mVerdict = suspect_verdict::NotSuspected;
  } else if (suspect == nullptr && !aRequest.mHasUnreplicatedCrash) {
    reply.mVerdict = suspect_verdict::NotSuspected;
  } else if (suspect != nullptr && suspect->mIsQuarantined) {
    reply.mVerdict = suspect_verdict::Quarantined;
  } else if (isHeld && !isOwn) {
    reply.mVerdict = suspect_verdict::Busy;
  } else {
    reply.mVerdict = suspect_verdict::Granted;
    mLeases[aRequest.mFingerprint] = { aRequest.mHolder,
                                       aNow.mMilliseconds + aRequest.mRemainingMilliseconds +
                                         kLeaseMarginMilliseconds };
  }
  return reply;
}

bool suspect_table::ClearSuspicion(const digest& aFingerprint)
{
  mLeases.erase(aFingerprint);
  return mSuspects.erase(aFingerprint) > 0;
}

const suspect_record* suspect_table::Find(const digest& aFingerprint) const noexcept
{
  const auto found = mSuspects.find(aFingerprint);
  return found == mSuspects.end() ? nullptr : &found->second;
}

} // namespace citronpulley
