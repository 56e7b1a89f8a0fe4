#ifndef CITRONPULLEY_STATE_CONTROL_STATE_H
#define CITRONPULLEY_STATE_CONTROL_STATE_H

#include "citronpulley/base/result.h"
#include "citronpulley/state/apply_result.h"
#include "citronpulley/state/claim_table.h"
#include "citronpulley/state/command.h"
#include "citronpulley/state/suspect_table.h"
#include "citronpulley/state/view_delta.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace citronpulley {

/**
 * State that the control group replicates: configuration, keys, claims, suspects and steering plan.
 * Deterministic: the same commands in the same order give the same state on each replica. It
 * decides outcomes but neither checks texts nor authenticates; the leader does so before it
 * proposes.
 */
class control_state
{
public:
  /**
   * Applies a committed command.
   *
   * @param aIndex index of the command in the log, above the last one applied
   * @param aCommand command
   * @return the outcome for the proposer
   */
  apply_result Apply(state_index aIndex, const command& aCommand);

  /** Notes a committed entry that changes nothing, such as a change of the group's members. */
  void Skip(state_index aIndex) noexcept { mIndex = aIndex; }

  /** @return index of the last entry applied */
  state_index GetIndex() const noexcept { return mIndex; }

  /** @return the operators' text in force; version 0 and an empty text before the first one */
  const configuration_record& GetConfiguration() const noexcept { return mConfiguration; }

  /** @return all keys in force */
  const std::map<key_id, key_record>& GetKeys() const noexcept { return mKeys; }

  /** @return suspects and quarantined requests */
  const suspect_table& GetSuspects() const noexcept { return mSuspects; }

  /** @return claims of idempotency keys */
  const claim_table& GetClaims() const noexcept { return mClaims; }

  /** @return the division of traffic among regions */
  const std::vector<region_share>& GetPlan() const noexcept { return mPlan; }

  /**
   * Makes the changes of the entry VMs' part of the state since an index. The cost follows the
   * number of changes, not the size of the state, unless the index lies before the remembered
   * removals.
   *
   * @param aFrom index that the receiver has applied; 0 gives everything
   * @return the delta up to GetIndex()
   */
  view_delta MakeDelta(state_index aFrom) const;

  /** @return the encoded state for a snapshot */
  std::string Encode() const;

  /** @return the state of a snapshot, or `bad_message` */
  static result<control_state> Decode(std::string_view aBytes);

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mIndex,
             mUnixMilliseconds,
             mWindowMilliseconds,
             mConfiguration,
             mKeys,
             mClaims,
             mSuspects,
             mPlan,
             mSubmissions,
             mSubmissionOrder,
             mConfigurationIndex,
             mPlanIndex,
             mKeyChanges,
             mSuspectChanges,
             mEvictedUntil);
  }

private:
  apply_result ApplyContent(const submit_configuration& aCommand);
  apply_result ApplyContent(const give_key& aCommand);
  apply_result ApplyContent(const withdraw_key& aCommand);
  apply_result ApplyContent(const clear_quarantine& aCommand);
  apply_result ApplyContent(const set_steering_plan& aCommand);
  apply_result ApplyContent(const claim_request& aCommand);
  apply_result ApplyContent(const claim_outcome& aCommand);
  apply_result ApplyContent(const crash_report& aCommand);
  apply_result ApplyContent(const suspect_lease_request& aCommand);
  void RecordSubmission(const submission_id& aSubmission, const submit_result& aResult);
  void EvictOldChanges();

  state_index mIndex = 0;
  /** Latest time of any command; it never goes back, even when a new leader's clock is behind. */
  std::int64_t mUnixMilliseconds = 0;
  std::int64_t mWindowMilliseconds = 3'600'000;
  configuration_record mConfiguration;
  std::map<key_id, key_record> mKeys;
  claim_table mClaims;
  suspect_table mSuspects;
  std::vector<region_share> mPlan;
  std::map<submission_id, submit_result> mSubmissions;
  std::vector<submission_id> mSubmissionOrder;
  state_index mConfigurationIndex = 0;
  state_index mPlanIndex = 0;
  /** Keys and suspects by the index of their last change, removals included. */
  std::map<state_index, key_id> mKeyChanges;
  std::map<state_index, std::vector<digest>> mSuspectChanges;
  /** Changes up to this index may have been forgotten; an older receiver gets everything. */
  state_index mEvictedUntil = 0;
};

} // namespace citronpulley

#endif
