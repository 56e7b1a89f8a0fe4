#ifndef CITRONPULLEY_STATE_APPLY_RESULT_H
#define CITRONPULLEY_STATE_APPLY_RESULT_H

#include "citronpulley/base/digest.h"
#include "citronpulley/wire/request_messages.h"

#include <cstdint>
#include <variant>

namespace citronpulley {

/** Outcome of a submitted operators' text. */
struct submit_result
{
  bool mIsAccepted = false;
  /** Version and digest in force after the submission was decided. */
  std::uint64_t mVersion = 0;
  digest mDigest;

  friend auto operator<=>(const submit_result&, const submit_result&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mIsAccepted, mVersion, mDigest);
  }
};

/** Outcome of a change of keys or of the quarantine. */
struct change_result
{
  /** False when the key id is taken by another key, or the item to change is not there. */
  bool mIsApplied = false;

  friend auto operator<=>(const change_result&, const change_result&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mIsApplied);
  }
};

/** Outcome of a command. */
using apply_result =
  std::variant<change_result, submit_result, claim_reply, claim_outcome_reply, suspect_lease_reply>;

} // namespace citronpulley

#endif
