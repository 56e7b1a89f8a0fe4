#ifndef CITRONPULLEY_STATE_STATE_VIEW_H
#define CITRONPULLEY_STATE_STATE_VIEW_H

#include "citronpulley/config/catalogue.h"
#include "citronpulley/state/view_delta.h"

#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace citronpulley {

/** Copy of the part of the replicated state that an entry VM needs. Its index never decreases. */
class state_view
{
public:
  /**
   * Applies a delta.
   *
   * @param aDelta delta that starts at or before the current index, or a snapshot
   * @return false if the delta is older than the view, starts after its index, or holds a text that
   * cannot be parsed; the view is then unchanged
   */
  bool Apply(const view_delta& aDelta);

  /** @return log index up to which the view is current; 0 before the first delta */
  state_index GetIndex() const noexcept { return mIndex; }

  /** @return the parsed operators' text, or null before the first one */
  const catalogue* GetCatalogue() const noexcept { return mCatalogue ? &*mCatalogue : nullptr; }

  /** @return version of the operators' text, 0 before the first one */
  std::uint64_t GetConfigurationVersion() const noexcept { return mVersion; }

  /** @return the key, or null if it does not exist or was withdrawn */
  const key_record* FindKey(const key_id& aKey) const noexcept;

  /** @return the suspect, or null when the request is not suspected */
  const suspect_record* FindSuspect(const digest& aFingerprint) const noexcept;

  /** @return the steering plan; empty before the first one */
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
