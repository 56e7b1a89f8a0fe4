#ifndef CITRONPULLEY_STATE_VIEW_DELTA_H
#define CITRONPULLEY_STATE_VIEW_DELTA_H

#include "citronpulley/base/digest.h"
#include "citronpulley/base/identifiers.h"
#include "citronpulley/base/result.h"
#include "citronpulley/state/command.h"
#include "citronpulley/wire/poll_messages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace citronpulley {

/** Key of a workspace, with the digest of its secret. */
struct key_record
{
  key_id mKey;
  workspace_name mWorkspace;
  key_digest mDigest;

  friend bool operator==(const key_record&, const key_record&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mKey, mWorkspace, mDigest);
  }
};

/** Operators' text and its version. */
struct configuration_record
{
  std::uint64_t mVersion = 0;
  std::string mText;

  friend auto operator<=>(const configuration_record&, const configuration_record&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mVersion, mText);
  }
};

/** Fingerprint of a request that is suspected of crashing backend servers, with its crash counts.
 */
struct suspect_record
{
  digest mFingerprint;
  /** Crashes while other requests ran on the same server. */
  std::uint32_t mSharedCrashes = 0;
  /** Crashes while the request ran alone. */
  std::uint32_t mLoneCrashes = 0;
  bool mIsQuarantined = false;

  friend auto operator<=>(const suspect_record&, const suspect_record&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mFingerprint, mSharedCrashes, mLoneCrashes, mIsQuarantined);
  }
};

/** Changes between two log indexes of the part of the replicated state that entry VMs need. */
struct view_delta
{
  state_index mFrom = 0;
  state_index mTo = 0;
  /** True if the delta holds all keys and suspects; they replace those of the receiver. */
  bool mIsSnapshot = false;
  std::optional<configuration_record> mConfiguration;
  std::vector<key_record> mKeys;
  std::vector<key_id> mWithdrawnKeys;
  std::vector<suspect_record> mSuspects;
  std::vector<digest> mClearedSuspects;
  std::optional<std::vector<region_share>> mPlan;

  friend bool operator==(const view_delta&, const view_delta&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mFrom,
             mTo,
             mIsSnapshot,
             mConfiguration,
             mKeys,
             mWithdrawnKeys,
             mSuspects,
             mClearedSuspects,
             mPlan);
  }
};

std::string EncodeDelta(const view_delta& aDelta);

/** @return the delta, or `bad_message` if the bytes cannot be decoded */
result<view_delta> DecodeDelta(std::string_view aBytes);

} // namespace citronpulley

#endif
