#include "citronpulley/state/control_state.h"

#include "citronpulley/config/catalogue.h"
#include "citronpulley/wire/codec.h"

#include <algorithm>
#include <cassert>
#include <set>

namespace citronpulley {

namespace {

constexpr std::size_t kMaxRetainedSubmissions = 10'000;
constexpr std::size_t kMaxRetainedChanges = 20'000;
constexpr std::int64_t kMillisecondsPerSecond = 1'000;

} // namespace

apply_result control_state::Apply(state_index aIndex, const command& aCommand)
{
  assert(aIndex > mIndex);
  mIndex = aIndex;
  mUnixMilliseconds = std::max(mUnixMilliseconds, aCommand.mUnixMilliseconds);
  apply_result outcome =
    std::visit([this](const auto& aContent) { return ApplyContent(aContent); }, aCommand.mContent);
  EvictOldChanges();
  return outcome;
}

apply_result control_state::ApplyContent(const submit_configuration& aCommand)
{
  const auto earlier = mSubmissions.find(aCommand.mSubmission);
  if (earlier != mSubmissions.end()) {
    return earlier->second;
  }
  submit_result outcome;
  outcome.mIsAccepted = aCommand.mExpectedVersion == mConfiguration.mVersion;
  if (outcome.mIsAccepted) {
    mConfiguration.mVersion += 1;
    mConfiguration.mText = aCommand.mText;
    mConfigurationIndex = mIndex;
    config_faults faults;
    const std::optional<catalogue> parsed = ParseCatalogue(aCommand.mText, "configuration", faults);
    if (parsed) {
      mWindowMilliseconds = parsed->mIdempotencyWindowSeconds * kMillisecondsPerSecond;
    }
  }
  outcome.mVersion = mConfiguration.mVersion;
  outcome.mDigest = ComputeDigest(mConfiguration.mText);
  RecordSubmission(aCommand.mSubmission, outcome);
  return outcome;
}

apply_result control_state::ApplyContent(const give_key& aCommand)
{
  const key_record record{ aCommand.mKey, aCommand.mWorkspace, aCommand.mDigest };
  const auto [entry, isNew] = mKeys.try_emplace(aCommand.mKey, record);
  if (isNew) {
    mKeyChanges.emplace(mIndex, aCommand.mKey);
  }
  return change_result{ entry->second == record };
}

apply_result control_state::ApplyContent(const withdraw_key& aCommand)
{
  const bool wasPresent = mKeys.erase(aCommand.mKey) > 0;
  if (wasPresent) {
    mKeyChanges.emplace(mIndex, aCommand.mKey);
  }
  return change_result{ wasPresent };
}

apply_result control_state::ApplyContent(const clear_quarantine& aCommand)
{
  const bool wasPresent = mSuspects.ClearSuspicion(aCommand.mFingerprint);
  if (wasPresent) {
    mSuspectChanges[mIndex].push_back(aCommand.mFingerprint);
  }
  return change_result{ wasPresent };
}

apply_result control_state::ApplyContent(const set_steering_plan& aCommand)
{
  mPlan = aCommand.mShares;
  mPlanIndex = mIndex;
  return change_result{ true };
}

apply_result control_state::ApplyContent(const claim_request& aCommand)
{
  const unix_time now{ mUnixMilliseconds };
  mClaims.Expire(now, mWindowMilliseconds);
  return mClaims.Claim(aCommand, now);
}

apply_result control_state::ApplyContent(const claim_outcome& aCommand)
{
  return mClaims.RecordOutcome(aCommand);
}

apply_result control_state::ApplyContent(const crash_report& aCommand)
{
  std::vector<digest> changed = mSuspects.ApplyReport(aCommand);
  const bool isChanged = !changed.empty();
  if (isChanged) {
    mSuspectChanges.emplace(mIndex, std::move(changed));
  }
  return change_result{ isChanged };
}

apply_result control_state::ApplyContent(const suspect_lease_request& aCommand)
{
  return mSuspects.ApplyLeaseRequest(aCommand, unix_time{ mUnixMilliseconds });
}

void control_state::RecordSubmission(const submission_id& aSubmission, const submit_result& aResult)
{
  mSubmissions.emplace(aSubmission, aResult);
  mSubmissionOrder.push_back(aSubmission);
  if (mSubmissionOrder.size() > kMaxRetainedSubmissions) {
    mSubmissions.erase(mSubmissionOrder.front());
    mSubmissionOrder.erase(mSubmissionOrder.begin());
  }
}

void control_state::EvictOldChanges()
{
  while (mKeyChanges.size() > kMaxRetainedChanges) {
    mEvictedUntil = std::max(mEvictedUntil, mKeyChanges.begin()->first);
    mKeyChanges.erase(mKeyChanges.begin());
  }
  while (mSuspectChanges.size() > kMaxRetainedChanges) {
    mEvictedUntil = std::max(mEvictedUntil, mSuspectChanges.begin()->first);
    mSuspectChanges.erase(mSuspectChanges.begin());
  }
}

view_delta control_state::MakeDelta(state_index aFrom) const
{
  view_delta delta;
  delta.mFrom = aFrom;
  delta.mTo = mIndex;
  delta.mIsSnapshot = aFrom == 0 || aFrom < mEvictedUntil;
  if (mConfiguration.mVersion > 0 && (delta.mIsSnapshot || mConfigurationIndex > aFrom)) {
    delta.mConfiguration = mConfiguration;
  }
  if (mPlanIndex > 0 && (delta.mIsSnapshot || mPlanIndex > aFrom)) {
    delta.mPlan = mPlan;
  }
  if (delta.mIsSnapshot) {
    for (const auto& [id, key] : mKeys) {
      delta.mKeys.push_back(key);
    }
    for (const auto& [fingerprint, suspect] : mSuspects.GetAll()) {
      delta.mSuspects.push_back(suspect);
    }
    return delta;
  }
  std::set<key_id> changedKeys;
  for (auto change = mKeyChanges.upper_bound(aFrom); change != mKeyChanges.end(); ++change) {
    changedKeys.insert(change->second);
  }
  for (const key_id& id : changedKeys) {
    const auto found = mKeys.find(id);
    if (found == mKeys.end()) {
      delta.mWithdrawnKeys.push_back(id);
    } else {
      delta.mKeys.push_back(found->second);
    }
  }
  std::set<digest> changedSuspects;
  for (auto change = mSuspectChanges.upper_bound(aFrom); change != mSuspectChanges.end();
       ++change) {
    changedSuspects.insert(change->second.begin(), change->second.end());
  }
  for (const digest& fingerprint : changedSuspects) {
    const suspect_record* suspect = mSuspects.Find(fingerprint);
    if (suspect == nullptr) {
      delta.mClearedSuspects.push_back(fingerprint);
    } else {
      delta.mSuspects.push_back(*suspect);
    }
  }
  return delta;
}

std::string control_state::Encode() const
{
  return EncodeValue(*this);
}

result<control_state> control_state::Decode(std::string_view aBytes)
{
  return DecodeValue<control_state>(aBytes);
}

} // namespace citronpulley
