#ifndef CITRONPULLEY_STATE_APPLY_RESULT_H
#define CITRONPULLEY_STATE_APPLY_RESULT_H

#include "citronpulley/base/digest.h"
#include "citronpulley/wire/request_messages.h"

#include <cstdint>
#include <variant>

namespace citronpulley {

/** Outcome of a submit_configuration command. */
struct submit_result
{
  bool mIsAccepted = false;
  /** Version and digest of the operators' text that is in force after the submission. */
  std::uint64_t mVersion = 0;
  digest mDigest;

  friend auto operator<=>(const submit_result&, const submit_result&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mIsAccepted, mVersion, mDigest);
  }
};

/** Outcome of a command that changes keys, the quarantine, the suspects or the steering plan. */
struct change_result
{
  /** For give_key: true if the id belongs to the given key, also when it did before. For other
   * commands: false if there was nothing to change. */
  bool mIsApplied = false;

  friend auto operator<=>(const change_result&, const change_result&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mIsApplied);
  }
};

/** Outcome of a command; the alternative depends on the kind of the command. */
using apply_result =
  std::variant<change_result, submit_result, claim_reply, claim_outcome_reply, suspect_lease_reply>;

} // namespace citronpulley

#endif
