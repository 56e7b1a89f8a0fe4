#ifndef CITRONPULLEY_LIMITS_RATE_LEDGER_H
#define CITRONPULLEY_LIMITS_RATE_LEDGER_H

#include "citronpulley/base/instant.h"

#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace citronpulley {

/**
 * Token bucket of one limited resource at the granting VM, with its outstanding grants.
 *
 * Invariant: available tokens plus outstanding tokens (those that holders may still spend) never
 * exceed the burst. Therefore all holders together spend at most burst + rate * window in any time
 * window.
 */
class rate_ledger
{
public:
  /** Number of a grant, unique across all runs and leaders. */
  using grant_number = std::uint64_t;

  /**
   * @param aRate tokens per second
   * @param aBurst maximum number of available and outstanding tokens together
   * @param aBlockedUntil time until which all tokens count as granted by an earlier granting VM
   */
  rate_ledger(double aRate, double aBurst, instant aBlockedUntil) noexcept;

  /**
   * Grants up to the wanted number of tokens.
   *
   * @param aGrant number of the new grant
   * @param aWanted tokens wanted; greater than zero
   * @param aExpiresAt time after which the holder is certain not to spend the tokens any more
   * @param aNow current time
   * @return tokens granted, from zero to aWanted, a multiple of kTokenUnit; with zero no grant is
   * recorded
   */
  double Grant(grant_number aGrant, double aWanted, instant aExpiresAt, instant aNow);

  /**
   * Reduces a grant to the tokens that its holder has not spent yet. A grant is never increased, so
   * repeated or reordered reports have no effect.
   *
   * @param aGrant number of the grant; an unknown or expired one is ignored
   * @param aUnspent tokens that the holder keeps; the report is ignored if this is not finite
   * @param aNow current time
   */
  void ReduceGrant(grant_number aGrant, double aUnspent, instant aNow);

  /**
   * Ends a grant and makes its unspent tokens available again.
   *
   * @param aGrant number of the grant; an unknown or expired one is ignored
   * @param aUnspent tokens that the holder returns; the report is ignored if this is not finite
   * @param aNow current time
   */
  void ReturnGrant(grant_number aGrant, double aUnspent, instant aNow);

  /**
   * Sets the rate and burst. Outstanding grants stay valid; a lower burst applies fully only once
   * enough of them have been returned or have expired.
   */
  void SetLimit(double aRate, double aBurst, instant aNow);

  /** @return true while all tokens count as granted by an earlier granting VM */
  bool IsBlocked(instant aNow) const noexcept { return mIsBlocked && aNow < mBlockedUntil; }

  /** @return tokens per second */
  double GetRate() const noexcept { return mRate; }

  /** @return maximum number of available and outstanding tokens together */
  double GetBurst() const noexcept { return mBurst; }

  /** @return tokens available for new grants */
  double GetLevel(instant aNow);

  /** @return granted tokens that holders may still spend */
  double GetOutstanding(instant aNow);

private:
  struct granted_tokens
  {
    double mTokens = 0;
    instant mExpiresAt;
  };

  void Advance(instant aNow);
  void Refill(instant aUntil);
  void RemoveGrant(grant_number aGrant);

  double mRate;
  double mBurst;
  double mLevel = 0;
  double mOutstanding;
  instant mRefilledAt;
  instant mBlockedUntil;
  bool mIsBlocked = true;
  std::map<grant_number, granted_tokens> mGrants;
  std::set<std::pair<instant, grant_number>> mByExpiry;
};

} // namespace citronpulley

#endif
