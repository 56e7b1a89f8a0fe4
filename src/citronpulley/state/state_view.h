#ifndef CITRONPULLEY_STATE_STATE_VIEW_H
#define CITRONPULLEY_STATE_STATE_VIEW_H

#include "citronpulley/config/catalogue.h"
#include "citronpulley/state/view_delta.h"

#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace citronpulley {

/** Copy of the replicated state that an entry VM serves from. Its index never goes back. */
class state_view
{
public:
  /**
   * Applies a delta.
   *
   * @param aDelta delta that begins at or before the present index, or a snapshot
   * @return false when the delta is older than the view or does not join it; the view is unchanged
   * then
   */
  bool Apply(const view_delta& aDelta);

  /** @return index of the state, 0 before the first delta */
  state_index GetIndex() const noexcept { return mIndex; }

  /** @return the parsed operators' text, or null before the first one */
  const catalogue* GetCatalogue() const noexcept { return mCatalogue ? &*mCatalogue : nullptr; }

  /** @return version of the operators' text, 0 before the first one */
  std::uint64_t GetConfigurationVersion() const noexcept { return mVersion; }

  /** @return the key, or null when it was never given or is withdrawn */
  const key_record* FindKey(const key_id& aKey) const noexcept;

  /** @return the suspect, or null when the request is not suspected */
  const suspect_record* FindSuspect(const digest& aFingerprint) const noexcept;

  /** @return the division of traffic among regions; empty before the first plan */
  const std::vector<region_share>& GetPlan() const noexcept { return mPlan; }

private:
  state_index mIndex = 0;
  std::uint64_t mVersion = 0;
  std::optional<catalogue> mCatalogue;
  std::map<key_id, key_record> mKeys;
  std::map<digest, suspect_record> mSuspects;
  std::vector<region_share> mPlan;
};

} // namespace citronpulley

#endif
