#include "citronpulley/state/suspect_table.h"

namespace citronpulley {

std::vector<digest> suspect_table::Report(const crash_report& aReport)
{
  std::vector<digest> changed;
  if (aReport.mIsCleared) {
    for (const digest& fingerprint : aReport.mFingerprints) {
      const suspect_record* suspect = Find(fingerprint);
      if (suspect != nullptr && !suspect->mIsQuarantined && Clear(fingerprint)) {
        changed.push_back(fingerprint);
      }
    }
    return changed;
  }
  if (!mCountedCrashes.emplace(aReport.mServer, aReport.mInstance).second) {
    return changed;
  }
  const bool ranAlone = aReport.mFingerprints.size() == 1;
  for (const digest& fingerprint : aReport.mFingerprints) {
    suspect_record& suspect = mSuspects[fingerprint];
    suspect.mFingerprint = fingerprint;
    ++(ranAlone ? suspect.mLoneCrashes : suspect.mSharedCrashes);
    suspect.mIsQuarantined = suspect.mLoneCrashes >= kLoneCrashLimit;
    changed.push_back(fingerprint);
  }
  return changed;
}

bool suspect_table::Clear(const digest& aFingerprint)
{
  return mSuspects.erase(aFingerprint) > 0;
}

const suspect_record* suspect_table::Find(const digest& aFingerprint) const noexcept
{
  const auto found = mSuspects.find(aFingerprint);
  return found == mSuspects.end() ? nullptr : &found->second;
}

} // namespace citronpulley
