#ifndef CITRONPULLEY_LIMITS_RATE_LEDGER_H
#define CITRONPULLEY_LIMITS_RATE_LEDGER_H

#include "citronpulley/base/instant.h"

#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace citronpulley {

/**
 * Tokens of one limited resource, at the VM that grants them.
 *
 * Invariant: tokens at hand plus tokens that holders may still spend never exceed the burst. So
 * what is spent in any window is at most the burst plus rate times window, wherever and whenever
 * holders spend.
 */
class rate_ledger
{
public:
  /** Number of a grant, unique among all runs and leaders. */
  using grant_number = std::uint64_t;

  /**
   * @param aRate tokens per second
   * @param aBurst most tokens at hand or lent out at any time
   * @param aBlockedUntil until then all tokens count as lent out by an earlier granting VM
   */
  rate_ledger(double aRate, double aBurst, instant aBlockedUntil) noexcept;

  /**
   * Lends tokens.
   *
   * @param aGrant number of the new grant
   * @param aWanted tokens wanted; above zero
   * @param aExpiresAt time from which the holder certainly spends nothing more
   * @param aNow present time
   * @return tokens lent, from zero to the number wanted, a multiple of kTokenUnit
   */
  double Grant(grant_number aGrant, double aWanted, instant aExpiresAt, instant aNow);

  /**
   * Lowers a grant to what its holder still keeps of it. Spending only lowers it, so a repeated or
   * overtaken report changes nothing.
   *
   * @param aGrant number of the grant; an unknown or expired one changes nothing
   * @param aUnspent tokens that the holder keeps
   * @param aNow present time
   */
  void ReduceGrant(grant_number aGrant, double aUnspent, instant aNow);

  /**
   * Ends a grant by the holder's report. A report on an unknown or expired grant changes nothing.
   *
   * @param aGrant number of the grant
   * @param aUnspent tokens that the holder gives back
   * @param aNow present time
   */
  void ReturnGrant(grant_number aGrant, double aUnspent, instant aNow);

  /**
   * Takes over a changed rate or burst. Tokens lent out stay lent, so a lower burst holds from then
   * on.
   */
  void SetLimit(double aRate, double aBurst, instant aNow);

  /** @return true while all tokens count as lent out by an earlier granting VM */
  bool IsBlocked(instant aNow) const noexcept { return mIsBlocked && aNow < mBlockedUntil; }

  /** @return tokens per second */
  double GetRate() const noexcept { return mRate; }

  /** @return most tokens at hand or lent out at any time */
  double GetBurst() const noexcept { return mBurst; }

  /** @return tokens at hand at a time */
  double GetLevel(instant aNow);

  /** @return tokens that holders may still spend at a time */
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
