#include "citronpulley/state/state_view.h"

namespace citronpulley {

bool state_view::Apply(const view_delta& aDelta)
{
  const bool isContiguous = aDelta.mIsSnapshot || aDelta.mFrom <= mIndex;
  if (!isContiguous || aDelta.mTo < mIndex) {
    return false;
  }
  if (aDelta.mConfiguration) {
    config_faults faults;
    std::optional<catalogue> parsed =
      ParseCatalogue(aDelta.mConfiguration->mText, "configuration", faults);
    if (!parsed) {
      // The text was probably written for a newer version of the software. The previous text stays
      // in force.
      return false;
    }
    mCatalogue = std::move(parsed);
    mVersion = aDelta.mConfiguration->mVersion;
  }
  if (aDelta.mIsSnapshot) {
    mKeys.clear();
    mSuspects.clear();
  }
  for (const key_record& key : aDelta.mKeys) {
    mKeys.insert_or_assign(key.mKey, key);
  }
  for (const key_id& key : aDelta.mWithdrawnKeys) {
    mKeys.erase(key);
  }
  for (const suspect_record& suspect : aDelta.mSuspects) {
    mSuspects.insert_or_assign(suspect.mFingerprint, suspect);
  }
  for (const digest& fingerprint : aDelta.mClearedSuspects) {
    mSuspects.erase(fingerprint);
  }
  if (aDelta.mPlan) {
    mPlan = *aDelta.mPlan;
  }
  mIndex = aDelta.mTo;
  return true;
}

const key_record* state_view::FindKey(const key_id& aKey) const noexcept
{
  const auto found = mKeys.find(aKey);
  return found == mKeys.end() ? nullptr : &found->second;
}

const suspect_record* state_view::FindSuspect(const digest& aFingerprint) const noexcept
{
  const auto found = mSuspects.find(aFingerprint);
  return found == mSuspects.end() ? nullptr : &found->second;
}

} // namespace citronpulley
