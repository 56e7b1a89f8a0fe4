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
 * State machine that the control group replicates: configuration, keys, claims, suspects and
 * steering plan. Deterministic: the same commands in the same order give the same state on each
 * replica. It decides the outcomes of commands; the leader validates texts and authenticates
 * callers before it proposes a command.
 */
class control_state
{
public:
  /**
   * Applies a committed command.
   *
   * @param aIndex log index of the command, greater than GetIndex()
   * @param aCommand command to apply
   * @return the outcome for the proposer
   */
  apply_result Apply(state_index aIndex, const command& aCommand);

  /** Records a committed entry that does not change the state, such as a membership change. */
  void Skip(state_index aIndex) noexcept { mIndex = aIndex; }

  /** @return log index of the last applied entry */
  state_index GetIndex() const noexcept { return mIndex; }

  /** @return the operators' text in force; version 0 and empty text before the first submission */
  const configuration_record& GetConfiguration() const noexcept { return mConfiguration; }

  /** @return all valid keys by id */
  const std::map<key_id, key_record>& GetKeys() const noexcept { return mKeys; }

  /** @return suspects and quarantined requests */
  const suspect_table& GetSuspects() const noexcept { return mSuspects; }

  /** @return claims of idempotency keys */
  const claim_table& GetClaims() const noexcept { return mClaims; }

  /** @return the steering plan; empty before the first one */
  const std::vector<region_share>& GetPlan() const noexcept { return mPlan; }

  /**
   * Makes a delta with the changes since an index of the part of the state that entry VMs need. The
   * cost is proportional to the number of changes, not to the size of the state, unless the index
   * is older than the retained changes.
   *
   * @param aFrom index that the receiver has applied; 0 gives a snapshot
   * @return the delta up to GetIndex()
   */
  view_delta MakeDelta(state_index aFrom) const;

  /** @return the encoded state, to be stored in a snapshot */
  std::string Encode() const;

  /** @return the state decoded from a snapshot, or `bad_message` */
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
  /** Latest time of any applied command. It never decreases, even if a new leader's clock is
   * behind. */
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
  /** Changed keys and suspects by the index of the change, removals included. */
  std::map<state_index, key_id> mKeyChanges;
  std::map<state_index, std::vector<digest>> mSuspectChanges;
  /** Changes up to this index may have been evicted; a receiver with an older index gets a
   * snapshot. */
  state_index mEvictedUntil = 0;
};

} // namespace citronpulley

#endif
