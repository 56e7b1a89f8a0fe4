#ifndef CITRONPULLEY_STATE_CLAIM_TABLE_H
#define CITRONPULLEY_STATE_CLAIM_TABLE_H

#include "citronpulley/base/instant.h"
#include "citronpulley/wire/request_messages.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

namespace citronpulley {

enum class claim_stage : std::uint8_t
{
  Claimed,
  Completed,
  Released,
};

/** Claim of an idempotency key: its current holder and, once completed, the answer. */
struct claim_record
{
  claim_holder mHolder;
  digest mRequestDigest;
  claim_stage mStage = claim_stage::Claimed;
  bool mHasWholeAnswer = false;
  /** Without `mHasWholeAnswer`, only its status is set. */
  http_answer mAnswer;
  /** Last incarnation and request number of each VM that released the claim. A claim message that
   * is not newer than these arrives after its own release and is not granted. */
  std::map<vm_name, std::pair<incarnation, std::uint64_t>> mReleasedBy;

  friend auto operator<=>(const claim_record&, const claim_record&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mHolder, mRequestDigest, mStage, mHasWholeAnswer, mAnswer, mReleasedBy);
  }
};

/**
 * Parses the creation time of an idempotency key.
 *
 * @param aKey UUID of version 7 in text form
 * @return the time of the key, or nothing if it is not a lower-case UUID of version 7
 */
std::optional<unix_time> ParseIdempotencyKeyTime(std::string_view aKey) noexcept;

/**
 * Claims of idempotency keys, part of the replicated state. Deterministic: each replica gets the
 * same calls in the same order. The table stores the newest key time that has ever been outside the
 * window and refuses keys up to this time permanently. So the claims of these keys can be removed:
 * neither a longer window nor a leader whose clock is behind can make a removed key valid again.
 */
class claim_table
{
public:
  /** Maximum size of an answer body that is stored with a claim, in bytes. */
  static constexpr std::size_t kMaxKeptAnswerBytes = 4096;
  /** Maximum number of claims. A full table refuses new claims; it evicts none before its key is
   * outside the window. */
  static constexpr std::size_t kMaxClaims = 1'000'000;
  /** Maximum time by which a caller's clock may be ahead, in milliseconds. */
  static constexpr std::int64_t kMaxFutureMilliseconds = 60'000;

  /**
   * Decides a request for the claim of a key.
   *
   * @param aRequest key, holder and digest of the request
   * @param aNow time of the command
   * @return the verdict for the holder
   */
  claim_reply Claim(const claim_request& aRequest, unix_time aNow);

  /**
   * Records the outcome that a holder reports. A report of an earlier holder changes nothing. A
   * release that arrives before its claim prevents the claim from being granted later, unless the
   * table is full.
   *
   * @return the acknowledgement
   */
  claim_outcome_reply RecordOutcome(const claim_outcome& aOutcome);

  /**
   * Removes claims whose keys are outside the idempotency window. Call it before each Claim().
   *
   * @param aNow time of the command
   * @param aWindowMilliseconds idempotency window as configured in the operators' text
   */
  void Expire(unix_time aNow, std::int64_t aWindowMilliseconds);

  std::size_t GetCount() const noexcept { return mClaims.size(); }

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mClaims, mKeysByTime, mRefusedUntil);
  }

private:
  claim_record* Insert(const claim_key& aKey, unix_time aIssued);

  std::map<claim_key, claim_record> mClaims;
  std::set<std::pair<std::int64_t, claim_key>> mKeysByTime;
  /** Keys with this time or an earlier one are refused, in milliseconds since 1970. */
  std::int64_t mRefusedUntil = 0;
};

} // namespace citronpulley

#endif
